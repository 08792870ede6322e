import {readFileSync} from 'node:fs';
import path from 'node:path';
import {MedlarlaneError} from '@medlarlane/errors';
import type {FileSystem} from './fileSystem.js';

const LOCK_FILE_PATTERN = /^lock-(\d+)-(\d+)-([0-9a-z]+)-(\d+)$/;
// Contains file names without folders, because several paths can lead to the same folder.
const locksOfThisProcess = new Set<string>();
let lockCount = 0;

/**
 * Locks a folder for this process and returns a function that releases the lock.
 *
 * Each process creates its own lock file before it lists the folder, so that of two competing
 * processes at least one sees the other. The file name contains the process id, the start time of
 * the process and the boot id, so that the lock of a dead process is recognised immediately even
 * when its process id has been reused.
 * @throws MedlarlaneError `LOG_LOCKED` while a running process holds the lock.
 */
export async function lockFolder(folder: string, files: FileSystem): Promise<() => Promise<void>> {
  const bootId = readBootId();
  const ownName = `lock-${process.pid}-${startTimeTicks(process.pid) ?? 0}-${bootId}-${++lockCount}`;
  const ownPath = path.join(folder, ownName);
  locksOfThisProcess.add(ownName);
  const release = async (): Promise<void> => {
    locksOfThisProcess.delete(ownName);
    await files.remove(ownPath).catch(() => undefined);
  };
  try {
    await (await files.open(ownPath, 'create')).close();
    for (const name of await files.list(folder)) {
      const match = LOCK_FILE_PATTERN.exec(name);
      if (!match || name === ownName) continue;
      if (isHeld(name, match, bootId)) {
        throw new MedlarlaneError('LOG_LOCKED', `Data folder is in use by process ${match[1]}`, {
          details: {folder, processId: Number(match[1])},
        });
      }
      await files.remove(path.join(folder, name));
    }
  } catch (failure) {
    await release();
    throw failure;
  }
  return release;
}

function isHeld(lockName: string, match: RegExpExecArray, bootId: string): boolean {
  const processId = Number(match[1]);
  if (match[3] !== bootId) return false;
  if (processId === process.pid && Number(match[2]) === (startTimeTicks(processId) ?? 0)) {
    return locksOfThisProcess.has(lockName);
  }
  const startTicks = startTimeTicks(processId);
  if (startTicks !== undefined) return startTicks === Number(match[2]);
  // Without /proc only the process id can be compared.
  return Number(match[2]) === 0 && processExists(processId);
}

/**
 * Start time of a process in clock ticks since boot; `undefined` when the process does not exist.
 */
function startTimeTicks(processId: number): number | undefined {
  const stat = readText(`/proc/${processId}/stat`);
  // The second field is the program name in parentheses, which may contain spaces.
  const fields = stat?.slice(stat.lastIndexOf(')') + 2).split(' ');
  // A zombie (Z) or dead (X) process has exited; only its parent has not reaped it yet.
  if (!fields || fields[0] === 'Z' || fields[0] === 'X') return undefined;
  return Number(fields[19]);
}

function readBootId(): string {
  const text = readText('/proc/sys/kernel/random/boot_id') ?? 'none';
  return text.replace(/[^0-9a-z]/g, '');
}

function readText(file: string): string | undefined {
  try {
    return readFileSync(file, 'utf8');
  } catch {
    return undefined;
  }
}

function processExists(processId: number): boolean {
  try {
    process.kill(processId, 0);
    return true;
  } catch (failure) {
    return (failure as NodeJS.ErrnoException).code === 'EPERM';
  }
}
