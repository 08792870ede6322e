import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {decodeValue, encodeValue, rangeSchema, sessionSchema} from '@medlarlane/model';
import {LoadAggregator} from '@medlarlane/placement';
import {z} from 'zod';
import {roundFigure, type Figure} from './figure.js';
import {sampleRanges, sampleSessions} from './sampleState.js';

const RANGES = 200_000;
const SESSIONS = 20_000;
const RANGES_PER_SESSION = 16;

/** Measures heap bytes per range and session of the control state, and per reported range load. */
export function stateMemory(): Figure[] {
  const ranges = encodeValue(sampleRanges(RANGES));
  const sessions = encodeValue(sampleSessions(SESSIONS));
  const perRange = measureHeapBytes(() => decodeValue(z.array(rangeSchema), ranges)) / RANGES;
  const perSession =
    measureHeapBytes(() => decodeValue(z.array(sessionSchema), sessions)) / SESSIONS;
  const perLoad = measureHeapBytes(createLoadAggregator) / (SESSIONS * RANGES_PER_SESSION);
  return [
    {name: 'state-memory.per-range-load', value: roundFigure(perLoad), unit: 'B/range'},
    {name: 'state-memory.per-range', value: roundFigure(perRange), unit: 'B/range'},
    {name: 'state-memory.per-session', value: roundFigure(perSession), unit: 'B/session'},
  ];
}

function createLoadAggregator(): LoadAggregator {
  const aggregator = new LoadAggregator();
  const ranges = sampleRanges(SESSIONS * RANGES_PER_SESSION);
  for (let session = 0; session < SESSIONS; session++) {
    const first = session * RANGES_PER_SESSION;
    const owned = ranges.slice(first, first + RANGES_PER_SESSION);
    const rangeLoads = owned.map(({startPosition}) => ({startPosition, rateRps: 0.5 + session}));
    aggregator.mergeReport(session + 1, {rangeLoads, keyLoads: []}, 0);
  }
  return aggregator;
}

function measureHeapBytes(build: () => unknown): number {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const retained = [build()];
  collectGarbage();
  const bytes = process.memoryUsage().heapUsed - before;
  retained.pop();
  return bytes;
}

function collectGarbage(): void {
  setFlagsFromString('--expose-gc');
  const gc = runInNewContext('gc') as () => void;
  gc();
}
