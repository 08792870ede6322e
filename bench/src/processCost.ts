import {readFileSync} from 'node:fs';

const TICKS_PER_S = 100;
const PAGE_BYTES = 4096;

/** Processor time that a process has used, in microseconds. */
export function cpuUsOf(pid: number): number {
  // The name of the program stands in parentheses and may hold spaces.
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
  const [userTicks, systemTicks] = [Number(fields[11]), Number(fields[12])];
  return ((userTicks + systemTicks) * 1e6) / TICKS_PER_S;
}

/** Resident memory of a process, in bytes. */
export function residentBytesOf(pid: number): number {
  const pages = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]);
  return pages * PAGE_BYTES;
}
