import {POSITION_END, type Range} from '@medlarlane/model';
import {planMoves, type PlacementInput} from '@medlarlane/placement';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {atMost, rounded, type BenchOptions, type Figure} from './figure.js';

const SESSIONS = 2_300;
const RANGES_PER_SESSION = 16;
const HOT_KEYS = 230;
const RUNS = 15;
const BOUND_MS = 100;

/** Median time of one plan at the design size and at twice that size, and the slope between them. */
export function planCost({trials}: BenchOptions): Figure[] {
  const once = medianPlanMs(SESSIONS, trials);
  const twice = medianPlanMs(2 * SESSIONS, trials);
  const slopeUs = ((twice - once) * 1000) / (SESSIONS * RANGES_PER_SESSION);
  const points: Array<[number, number]> = [
    [SESSIONS * RANGES_PER_SESSION, rounded(once)],
    [2 * SESSIONS * RANGES_PER_SESSION, rounded(twice)],
  ];
  return [
    {...atMost('plan-cost.design-size', rounded(once), 'ms', BOUND_MS), points, pointsX: 'ranges'},
    {name: 'plan-cost.twice-design-size', value: rounded(twice), unit: 'ms'},
    {name: 'plan-cost.per-range', value: rounded(slopeUs), unit: 'us/range'},
  ];
}

function medianPlanMs(sessionCount: number, trials: number): number {
  const durations: number[] = [];
  for (let trial = 0; trial < trials; trial++) {
    const input = randomInput(sessionCount, trial);
    for (let run = 0; run < RUNS; run++) {
      const startMs = performance.now();
      planMoves(input);
      durations.push(performance.now() - startMs);
    }
  }
  return durations.sort((a, b) => a - b)[durations.length >> 1]!;
}

/** Ranges with loads between 50% and 150% of the mean, so that many servers need moves. */
function randomInput(sessionCount: number, seed: number): PlacementInput {
  const random = xoroshiro128plus(seed);
  const count = sessionCount * RANGES_PER_SESSION;
  const ranges: Range[] = Array.from({length: count}, (_, at) => ({
    startPosition: Math.floor(POSITION_END / count) * at,
    ownerSessionId: (at % sessionCount) + 1,
    nextSessionId: 0,
    epoch: 1,
  }));
  return {
    ranges,
    sessions: Array.from({length: sessionCount}, (_, at) => ({
      sessionId: at + 1,
      draining: at === 0,
      availabilityZone: `zone-${at % 12}`,
    })),
    rangeLoads: new Map(
      ranges.map(({startPosition}) => [startPosition, uniformInt(random, 500, 1500)]),
    ),
    hotKeys: Array.from({length: HOT_KEYS}, (_, rank) => ({
      position: Math.floor(POSITION_END / HOT_KEYS) * rank + 7,
      rateRps: 300_000 / (rank + 1) ** 1.1,
    })),
    elapsedMs: 60_000,
    weighsMost: 'unavailable-time',
  };
}
