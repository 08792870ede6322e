import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runRandomFaults} from '@medlarlane/fault-tables';

const SEEDS = [11, 4711];
const DURATION_MS = 15_000;

// Guards against combinations of faults that the fault tables do not cover.
for (const seed of SEEDS) {
  void test(`Random faults with seed ${seed} violate no invariant`, async () => {
    const {violations, faults, served, changes} = await runRandomFaults({
      seed,
      durationMs: DURATION_MS,
    });
    assert.deepEqual(violations, []);
    assert.ok(faults > 0 && served > 0 && changes > 0, 'no faults, served requests or changes');
  });
}
