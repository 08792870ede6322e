import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import type {TestContext} from 'node:test';
import {nodeFileSystem, openLogStore} from '@medlarlane/log-store';
import type {FileSystem, LogEntry, RecoveredLog, Snapshot} from '@medlarlane/log-store';

/** Creates a folder that is removed after the test. */
export async function temporaryFolder(test: TestContext): Promise<string> {
  const folder = await mkdtemp(path.join(tmpdir(), 'log-store-'));
  test.after(() => rm(folder, {recursive: true, force: true}));
  return folder;
}

export function entry(index: number, text = `entry ${index}`, term = 1): LogEntry {
  return {index, term, kind: 'command', payload: new Uint8Array(Buffer.from(text))};
}

export function entries(from: number, to: number, term = 1): LogEntry[] {
  return Array.from({length: to - from + 1}, (_, i) => entry(from + i, undefined, term));
}

export function snapshotAt(index: number): Snapshot {
  const members = {voters: ['a'], learners: [], addresses: {a: '127.0.0.1:1'}};
  return {index, term: 1, members, payload: new Uint8Array(Buffer.from(`state ${index}`))};
}

/** Opens a store and closes it again. */
export async function recover(folder: string, files?: FileSystem): Promise<RecoveredLog> {
  const store = await openLogStore(folder, files ? {files} : {});
  await store.close();
  return store.recovered;
}

export interface FaultyFiles extends FileSystem {
  syncCount: number;
  /** Thrown by every write or sync while set. */
  writeFailure: Error | undefined;
  syncFailure: Error | undefined;
}

/** The real file system with injectable failures. */
export function faultyFiles(): FaultyFiles {
  const faulty: FaultyFiles = {
    ...nodeFileSystem,
    syncCount: 0,
    writeFailure: undefined,
    syncFailure: undefined,
    open: async (file, mode) => {
      const opened = await nodeFileSystem.open(file, mode);
      return {
        ...opened,
        write: async (bytes, position) => {
          // A full disk accepts some of the bytes before the write fails.
          if (faulty.writeFailure) await opened.write(bytes.subarray(0, 7), position);
          if (faulty.writeFailure) throw faulty.writeFailure;
          await opened.write(bytes, position);
        },
        sync: async () => {
          faulty.syncCount++;
          if (faulty.syncFailure) throw faulty.syncFailure;
          await opened.sync();
        },
      };
    },
  };
  return faulty;
}
