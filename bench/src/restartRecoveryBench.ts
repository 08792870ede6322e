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
  /** Opens per length; the figure is their median. */
  readonly opens?: number;
}

const ENTRIES_PER_APPEND = 100;

/** Time to open a log, which reads and checks every entry after the snapshot, against its length. */
export async function restartRecoveryBench(
  opts: RestartRecoveryBenchOptions = {},
): Promise<Figure[]> {
  const {logLengths = [1_000, 10_000, 100_000], payloadBytes = 256, opens = 5} = opts;
  const figures: Figure[] = [];
  for (const length of logLengths) {
    const folder = await mkdtemp(path.join(opts.parentFolder ?? tmpdir(), 'medlarlane-recovery-'));
    try {
      await writeLog(folder, length, new Uint8Array(payloadBytes));
      const spentMs: number[] = [];
      for (let i = 0; i < opens; i++) spentMs.push(await timeOpen(folder, length));
      const median = spentMs.sort((a, b) => a - b)[Math.floor(opens / 2)]!;
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
  const spentMs = performance.now() - startMs;
  await store.close();
  if (store.recovered.entries.length !== length) throw new Error('Recovered log is incomplete');
  return spentMs;
}
