import {callAdmin} from '@medlarlane/fixtures';
import {roundFigure} from './figure.js';
import type {BenchOptions, Figure} from './figure.js';
import {KeyedSystem} from './keyedSystem.js';

/** Measures the longest time a key is not served during a planned move to another server. */
export async function moveGapBench({trials}: BenchOptions): Promise<Figure[]> {
  const system = await KeyedSystem.start();
  const unavailableTimesMs: number[] = [];
  try {
    const {admin} = system.scenario;
    for (let trial = 0; trial < trials; trial++) {
      let drained: Parameters<KeyedSystem['killServer']>[0] | undefined;
      const {unavailableMs} = await system.measureDisruption((owner) => {
        drained = owner;
        return callAdmin(admin, 'drain', {instanceId: owner.name});
      });
      unavailableTimesMs.push(unavailableMs);
      // A session cannot leave the drained state, so the server is restarted with a new session.
      await system.killServer(drained!);
      await system.restore();
    }
  } finally {
    await system.dispose();
  }
  unavailableTimesMs.sort((a, b) => a - b);
  return [
    {
      name: 'move-gap.median',
      value: roundFigure(unavailableTimesMs[Math.floor(trials / 2)]!),
      unit: 'ms',
    },
    {
      name: `move-gap.worst-of-${trials}`,
      value: roundFigure(unavailableTimesMs.at(-1)!),
      unit: 'ms',
    },
  ];
}
