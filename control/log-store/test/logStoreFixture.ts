import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import type {TestContext} from 'node:test';
import {nodeFileSystem} from '@medlarlane/log-store';
import type {FileSystem, LogEntry, StoreFile} from '@medlarlane/log-store';

/** A folder that is removed after the test. */
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

export interface FaultyFiles extends FileSystem {
  syncCount: number;
  /** Called before each write and sync; throws to inject a failure. */
  before: (step: 'write' | 'sync') => void | Promise<void>;
}

export function faultyFiles(): FaultyFiles {
  const faulty: FaultyFiles = {
    ...nodeFileSystem,
    syncCount: 0,
    before: () => undefined,
    open: async (file, mode) => wrap(await nodeFileSystem.open(file, mode)),
  };
  const wrap = (file: StoreFile): StoreFile => ({
    write: async (bytes, position) => {
      await faulty.before('write');
      await file.write(bytes, position);
    },
    sync: async () => {
      faulty.syncCount++;
      await faulty.before('sync');
      await file.sync();
    },
    truncate: (sizeBytes) => file.truncate(sizeBytes),
    close: () => file.close(),
  });
  return faulty;
}
