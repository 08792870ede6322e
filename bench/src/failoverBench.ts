import type {Server} from '@medlarlane/fault-tables';
import {atMost, roundFigure} from './figure.js';
import type {Bench, BenchOptions, Figure} from './figure.js';
import {KeyedSystem} from './keyedSystem.js';

type FaultInjector = (system: KeyedSystem, owner: Server) => Promise<unknown>;

const MAX_FAILOVER_MS = 3000;
const DEFAULT_TRIALS = 20;

const FAULTS: Readonly<Record<string, {description: string; injectFault: FaultInjector}>> = {
  'failover-target': {
    description: 'Time until a key is served again after its target is killed',
    injectFault: (_system, {target}) => target.end(),
  },
  'failover-daemon': {
    description: 'Time until a key is served again after the daemon of its owner is killed',
    injectFault: (_system, {daemon}) => daemon.end(),
  },
  'failover-leader': {
    description: 'Longest time a key is not served after the control leader is killed',
    injectFault: (system) => system.killControlLeader(),
  },
  'failover-daemon-and-leader': {
    description: 'Time until a key is served again after its owner and the leader are killed',
    injectFault: (system, {daemon}) => Promise.all([system.killControlLeader(), daemon.end()]),
  },
};

/** The failover benches by name, and `double-owner`, which runs all of them. */
export const failoverBenches: Readonly<Record<string, Bench>> = {
  ...Object.fromEntries(
    Object.entries(FAULTS).map(([name, {description}]) => [
      name,
      createTimedBench(description, ({trials}) => measureFaults([name], trials)),
    ]),
  ),
  'double-owner': createTimedBench(
    'Responses from two owners of one key over all failover benches',
    ({trials}) => measureFaults(Object.keys(FAULTS), trials),
  ),
};

function createTimedBench(
  description: string,
  run: (opts: BenchOptions) => Promise<Figure[]>,
): Bench {
  return {kind: 'timed', description, defaultTrials: DEFAULT_TRIALS, run};
}

async function measureFaults(names: readonly string[], trials: number): Promise<Figure[]> {
  const system = await KeyedSystem.start();
  const figures: Figure[] = [];
  let doubleOwnerCount = 0;
  try {
    for (const name of names) {
      const unavailableTimesMs: number[] = [];
      for (let trial = 0; trial < trials; trial++) {
        const result = await system.measureDisruption((owner) =>
          FAULTS[name]!.injectFault(system, owner),
        );
        unavailableTimesMs.push(result.unavailableMs);
        doubleOwnerCount += result.violationCount;
        await system.restore();
      }
      unavailableTimesMs.sort((a, b) => a - b);
      const median = unavailableTimesMs[Math.floor(unavailableTimesMs.length / 2)]!;
      figures.push(
        atMost(`${name}.median`, roundFigure(median), 'ms', MAX_FAILOVER_MS),
        atMost(
          `${name}.worst-of-${trials}`,
          roundFigure(unavailableTimesMs.at(-1)!),
          'ms',
          MAX_FAILOVER_MS,
        ),
      );
    }
  } finally {
    await system.dispose();
  }
  const label = names.length === 1 ? `${names[0]!}.double-owner` : 'double-owner';
  return [...figures, atMost(label, doubleOwnerCount, 'answers', 0)];
}
