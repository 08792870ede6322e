import {atMost, type BenchOptions, type Figure} from './figure.js';
import {HOT_KEYS, PlacementSimulation, ROUND_MS} from './placementSimulation.js';

const MAX_IMBALANCE = 1.15;
const ROUNDS = 48;
/** The hottest keys change every few minutes, so the load must be even again within one minute. */
const MAX_SETTLE_S = 60;
/** The design has 16 ranges per instance; a hot key in the middle of a range adds two. */
const RANGES_PER_SERVER = 16;
const RANGES_PER_HOT_KEY = 2;
const FURTHER_CHANGES = 8;
const FURTHER_ROUNDS = 12;

const CASES = [
  {servers: 5, weighsMost: 'churn'},
  {servers: 6, weighsMost: 'unavailable-time'},
  {servers: 50, weighsMost: 'churn'},
] as const;

/**
 * Counts the rounds after a change of the hot keys until the imbalance is within its target again,
 * and the ranges that remain after further changes.
 */
export function hotKeySettle({trials}: BenchOptions): Figure[] {
  return CASES.flatMap(({servers, weighsMost}) => {
    let rounds = 0;
    let ranges = 0;
    for (let seed = 1; seed <= trials; seed++) {
      const simulation = new PlacementSimulation({servers, weighsMost, seed});
      simulation.runRounds(ROUNDS);
      simulation.changeHotKeys();
      const after = simulation.runRounds(ROUNDS);
      const lastImbalancedRound = after.findLastIndex(
        ({maxOverLevel}) => maxOverLevel > MAX_IMBALANCE,
      );
      rounds = Math.max(rounds, lastImbalancedRound + 1);
      for (let change = 0; change < FURTHER_CHANGES; change++) {
        simulation.changeHotKeys();
        ranges = Math.max(ranges, simulation.runRounds(FURTHER_ROUNDS).at(-1)!.rangeCount);
      }
    }
    const name = `hot-key-settle.servers-${servers}`;
    return [
      {name: `${name}.rounds`, value: rounds, unit: 'rounds'},
      atMost(`${name}.time`, (rounds * ROUND_MS) / 1000, 's', MAX_SETTLE_S),
      atMost(
        `${name}.ranges`,
        ranges,
        'ranges',
        RANGES_PER_SERVER * servers + RANGES_PER_HOT_KEY * HOT_KEYS,
      ),
    ];
  });
}
