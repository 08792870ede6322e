import {readFileSync} from 'node:fs';
import path from 'node:path';
import {MedlarlaneError} from '@medlarlane/errors';
import type {FileSystem} from './fileSystem.js';

const LOCK_NAME = /^lock-(\d+)-(\d+)-([0-9a-z]+)-(\d+)$/;
// By name only, because one folder may be reached by several paths.
const heldInThisProcess = new Set<string>();
let lockCount = 0;

/**
 * Locks a folder for this process and returns the release function.
 *
 * Each contender creates a file of its own before it lists the folder, so of two contenders at
 * least one sees the other. The file name states process id, process start time and boot, so that
 * the lock of a dead process is recognised at once even when its id is in use again.
 * @throws MedlarlaneError `LOG_LOCKED` while another live holder exists.
 */
export async function lockFolder(folder: string, files: FileSystem): Promise<() => Promise<void>> {
  const boot = bootId();
  const ownName = `lock-${process.pid}-${startTimeTicks(process.pid) ?? 0}-${boot}-${++lockCount}`;
  const ownPath = path.join(folder, ownName);
  heldInThisProcess.add(ownName);
  const release = async (): Promise<void> => {
    heldInThisProcess.delete(ownName);
    await files.remove(ownPath).catch(() => undefined);
  };
  try {
    await (await files.open(ownPath, 'create')).close();
    for (const name of await files.list(folder)) {
      const match = LOCK_NAME.exec(name);
      if (!match || name === ownName) continue;
      if (isLive(name, match, boot)) {
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

function isLive(lockName: string, match: RegExpExecArray, boot: string): boolean {
  const processId = Number(match[1]);
  if (match[3] !== boot) return false;
  if (processId === process.pid && Number(match[2]) === (startTimeTicks(processId) ?? 0)) {
    return heldInThisProcess.has(lockName);
  }
  const startTicks = startTimeTicks(processId);
  if (startTicks !== undefined) return startTicks === Number(match[2]);
  // Without /proc only the process id can be compared.
  return Number(match[2]) === 0 && processExists(processId);
}

/** Start time of a process in clock ticks since boot; `undefined` when it does not run. */
function startTimeTicks(processId: number): number | undefined {
  const stat = readText(`/proc/${processId}/stat`);
  // The second field is the program name in parentheses and may contain spaces.
  const fields = stat?.slice(stat.lastIndexOf(')') + 2).split(' ');
  // A zombie has exited; its parent has not yet collected it.
  if (!fields || fields[0] === 'Z' || fields[0] === 'X') return undefined;
  return Number(fields[19]);
}

function bootId(): string {
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
