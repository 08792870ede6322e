import {callAdmin} from '@medlarlane/fixtures';
import {rounded} from './figure.js';
import type {BenchOptions, Figure} from './figure.js';
import {KeyedSystem} from './keyedSystem.js';

/** Longest time during which a key is not served while a planned move takes it to another server. */
export async function moveGapBench({trials}: BenchOptions): Promise<Figure[]> {
  const system = await KeyedSystem.start();
  const gapsMs: number[] = [];
  try {
    const {admin} = system.scenario;
    for (let trial = 0; trial < trials; trial++) {
      let drained: Parameters<KeyedSystem['endServer']>[0] | undefined;
      const {gapMs} = await system.disruption((owner) => {
        drained = owner;
        return callAdmin(admin, 'drain', {instanceId: owner.name});
      });
      gapsMs.push(gapMs);
      // A drained session stays so; the server registers anew as a restarted one does.
      await system.endServer(drained!);
      await system.restore();
    }
  } finally {
    await system.dispose();
  }
  gapsMs.sort((a, b) => a - b);
  return [
    {name: 'move-gap.median', value: rounded(gapsMs[Math.floor(trials / 2)]!), unit: 'ms'},
    {name: `move-gap.worst-of-${trials}`, value: rounded(gapsMs.at(-1)!), unit: 'ms'},
  ];
}
