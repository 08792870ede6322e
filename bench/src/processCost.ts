import {readFileSync} from 'node:fs';

const TICKS_PER_S = 100;
const PAGE_BYTES = 4096;

/** Reads the CPU time used by a process, in microseconds. */
export function readCpuUs(pid: number): number {
  // The program name is in parentheses and may contain spaces.
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
  const [userTicks, systemTicks] = [Number(fields[11]), Number(fields[12])];
  return ((userTicks + systemTicks) * 1e6) / TICKS_PER_S;
}

/** Reads the resident memory of a process, in bytes. */
export function readResidentBytes(pid: number): number {
  const pages = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]);
  return pages * PAGE_BYTES;
}
