import type {Server} from '@medlarlane/fault-tables';
import {atMost, rounded} from './figure.js';
import type {Bench, BenchOptions, Figure} from './figure.js';
import {KeyedSystem} from './keyedSystem.js';

type Strike = (system: KeyedSystem, owner: Server) => Promise<unknown>;

const FAILOVER_BOUND_MS = 3000;
const DEFAULT_TRIALS = 20;

const STRIKES: Readonly<Record<string, {description: string; strike: Strike}>> = {
  'failover-target': {
    description: 'Time until a key is served again after its target is killed',
    strike: (_system, {target}) => target.end(),
  },
  'failover-daemon': {
    description: 'Time until a key is served again after the daemon of its owner is killed',
    strike: (_system, {daemon}) => daemon.end(),
  },
  'failover-leader': {
    description: 'Longest time a key is not served after the control leader is killed',
    strike: (system) => system.killLeader(),
  },
  'failover-daemon-and-leader': {
    description: 'Time until a key is served again after its owner and the leader are killed',
    strike: (system, {daemon}) => Promise.all([system.killLeader(), daemon.end()]),
  },
};

/** The failover benches by name, and `double-owner`, which runs all of them. */
export const failoverBenches: Readonly<Record<string, Bench>> = {
  ...Object.fromEntries(
    Object.entries(STRIKES).map(([name, {description}]) => [
      name,
      timed(description, ({trials}) => runStrikes([name], trials)),
    ]),
  ),
  'double-owner': timed('Answers of two owners of one key over all failover benches', ({trials}) =>
    runStrikes(Object.keys(STRIKES), trials),
  ),
};

function timed(description: string, run: (opts: BenchOptions) => Promise<Figure[]>): Bench {
  return {kind: 'timed', description, defaultTrials: DEFAULT_TRIALS, run};
}

async function runStrikes(names: readonly string[], trials: number): Promise<Figure[]> {
  const system = await KeyedSystem.start();
  const figures: Figure[] = [];
  let doubleOwners = 0;
  try {
    for (const name of names) {
      const gapsMs: number[] = [];
      for (let trial = 0; trial < trials; trial++) {
        const result = await system.disruption((owner) => STRIKES[name]!.strike(system, owner));
        gapsMs.push(result.gapMs);
        doubleOwners += result.doubleOwners;
        await system.restore();
      }
      gapsMs.sort((a, b) => a - b);
      const median = gapsMs[Math.floor(gapsMs.length / 2)]!;
      figures.push(
        atMost(`${name}.median`, rounded(median), 'ms', FAILOVER_BOUND_MS),
        atMost(`${name}.worst-of-${trials}`, rounded(gapsMs.at(-1)!), 'ms', FAILOVER_BOUND_MS),
      );
    }
  } finally {
    await system.dispose();
  }
  const label = names.length === 1 ? `${names[0]!}.double-owner` : 'double-owner';
  return [...figures, atMost(label, doubleOwners, 'answers', 0)];
}
