import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runRandomFaults} from '@medlarlane/fault-tables';

const SEEDS = [11, 4711];
const DURATION_MS = 15_000;

// Guards against faults in combinations that no table names.
for (const seed of SEEDS) {
  void test(`Random faults of seed ${seed} contradict no invariant`, async () => {
    const {violations, faults, served, changes} = await runRandomFaults({
      seed,
      durationMs: DURATION_MS,
    });
    assert.deepEqual(violations, []);
    assert.ok(faults > 0 && served > 0 && changes > 0, 'nothing was tested');
  });
}
