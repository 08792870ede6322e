import {atMost, type BenchOptions, type Figure} from './figure.js';
import {HOT_KEYS, PlacementRun, ROUND_MS} from './placementRun.js';

const TARGET = 1.15;
const ROUNDS = 48;
/** The hottest keys change within minutes, so a change must be absorbed within one. */
const SETTLE_BOUND_S = 60;
/** 16 ranges per instance, as in the design; a hot key in the middle of a range adds two. */
const RANGES_PER_SERVER = 16;
const RANGES_PER_HOT_KEY = 2;
const FURTHER_CHANGES = 8;
const FURTHER_ROUNDS = 12;

const CASES = [
  {servers: 5, weighsMost: 'churn'},
  {servers: 6, weighsMost: 'unavailable-time'},
  {servers: 50, weighsMost: 'churn'},
] as const;

/** Counts the rounds after a change of the hot keys until the imbalance meets its target again, and the ranges that many changes leave. */
export function hotKeySettle({trials}: BenchOptions): Figure[] {
  return CASES.flatMap(({servers, weighsMost}) => {
    let rounds = 0;
    let ranges = 0;
    for (let seed = 1; seed <= trials; seed++) {
      const run = new PlacementRun({servers, weighsMost, seed});
      run.rounds(ROUNDS);
      run.changeHotKeys();
      const after = run.rounds(ROUNDS);
      const last = after.findLastIndex(({maxOverLevel}) => maxOverLevel > TARGET);
      rounds = Math.max(rounds, last + 1);
      for (let change = 0; change < FURTHER_CHANGES; change++) {
        run.changeHotKeys();
        ranges = Math.max(ranges, run.rounds(FURTHER_ROUNDS).at(-1)!.ranges);
      }
    }
    const name = `hot-key-settle.servers-${servers}`;
    return [
      {name: `${name}.rounds`, value: rounds, unit: 'rounds'},
      atMost(`${name}.time`, (rounds * ROUND_MS) / 1000, 's', SETTLE_BOUND_S),
      atMost(
        `${name}.ranges`,
        ranges,
        'ranges',
        RANGES_PER_SERVER * servers + RANGES_PER_HOT_KEY * HOT_KEYS,
      ),
    ];
  });
}
