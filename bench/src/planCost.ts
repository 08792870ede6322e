import {POSITION_END, type Range} from '@medlarlane/model';
import {planMoves, type PlacementInput} from '@medlarlane/placement';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {atMost, roundFigure, type BenchOptions, type Figure} from './figure.js';

const SESSIONS = 2_300;
const RANGES_PER_SESSION = 16;
const HOT_KEYS = 230;
const RUNS = 15;
const MAX_PLAN_MS = 100;

/** Measures the median planning time at the design size and at twice that size, and their slope. */
export function planCost({trials}: BenchOptions): Figure[] {
  const designSizeMs = medianPlanMs(SESSIONS, trials);
  const twiceDesignSizeMs = medianPlanMs(2 * SESSIONS, trials);
  const slopeUs = ((twiceDesignSizeMs - designSizeMs) * 1000) / (SESSIONS * RANGES_PER_SESSION);
  const points: Array<[number, number]> = [
    [SESSIONS * RANGES_PER_SESSION, roundFigure(designSizeMs)],
    [2 * SESSIONS * RANGES_PER_SESSION, roundFigure(twiceDesignSizeMs)],
  ];
  return [
    {
      ...atMost('plan-cost.design-size', roundFigure(designSizeMs), 'ms', MAX_PLAN_MS),
      points,
      pointsX: 'ranges',
    },
    {name: 'plan-cost.twice-design-size', value: roundFigure(twiceDesignSizeMs), unit: 'ms'},
    {name: 'plan-cost.per-range', value: roundFigure(slopeUs), unit: 'us/range'},
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

/** Creates ranges with loads of 50% to 150% of the mean, so that many servers need moves. */
function randomInput(sessionCount: number, seed: number): PlacementInput {
  const random = xoroshiro128plus(seed);
  const count = sessionCount * RANGES_PER_SESSION;
  const ranges: Range[] = Array.from({length: count}, (_, index) => ({
    startPosition: Math.floor(POSITION_END / count) * index,
    ownerSessionId: (index % sessionCount) + 1,
    nextSessionId: 0,
    epoch: 1,
  }));
  return {
    ranges,
    sessions: Array.from({length: sessionCount}, (_, index) => ({
      sessionId: index + 1,
      draining: index === 0,
      availabilityZone: `zone-${index % 12}`,
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
