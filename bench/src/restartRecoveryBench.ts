import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import type {Figure} from './figure.js';
import {openLogStore} from '@medlarlane/log-store';
import type {LogEntry} from '@medlarlane/log-store';

export interface RestartRecoveryBenchOptions {
  /** Parent of the data folders. */
  readonly parentFolder?: string;
  readonly logLengths?: readonly number[];
  readonly payloadBytes?: number;
  /** Number of opens per log length; the figure is the median. */
  readonly opens?: number;
}

const ENTRIES_PER_APPEND = 100;

/** Measures by log length the time to open a log, which checks all entries after the snapshot. */
export async function restartRecoveryBench(
  opts: RestartRecoveryBenchOptions = {},
): Promise<Figure[]> {
  const {logLengths = [1_000, 10_000, 100_000], payloadBytes = 256, opens = 5} = opts;
  const figures: Figure[] = [];
  for (const length of logLengths) {
    const folder = await mkdtemp(path.join(opts.parentFolder ?? tmpdir(), 'medlarlane-recovery-'));
    try {
      await writeLog(folder, length, new Uint8Array(payloadBytes));
      const elapsedMs: number[] = [];
      for (let i = 0; i < opens; i++) elapsedMs.push(await timeOpen(folder, length));
      const median = elapsedMs.sort((a, b) => a - b)[Math.floor(opens / 2)]!;
      figures.push({
        name: `recovery.${length}-entries`,
        value: Math.round(median * 10) / 10,
        unit: 'ms',
      });
    } finally {
      await rm(folder, {recursive: true, force: true});
    }
  }
  return figures;
}

async function writeLog(folder: string, length: number, payload: Uint8Array): Promise<void> {
  const store = await openLogStore(folder);
  for (let first = 1; first <= length; first += ENTRIES_PER_APPEND) {
    const count = Math.min(ENTRIES_PER_APPEND, length - first + 1);
    const entries = Array.from({length: count}, (_, i): LogEntry => {
      return {index: first + i, term: 1, kind: 'command', payload};
    });
    await store.append({entries});
  }
  await store.close();
}

async function timeOpen(folder: string, length: number): Promise<number> {
  const startMs = performance.now();
  const store = await openLogStore(folder);
  const elapsedMs = performance.now() - startMs;
  await store.close();
  if (store.recovered.entries.length !== length) throw new Error('Recovered log is incomplete');
  return elapsedMs;
}
