import assert from 'node:assert/strict';
import {test} from 'node:test';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {PlacementSimulation} from '../src/placementSimulation.js';
import {ZipfSampler} from '../src/zipf.js';

test('The same seed gives the same results, so that a missed bound can be reproduced', () => {
  const results = [1, 2].map(() =>
    new PlacementSimulation({servers: 5, weighsMost: 'churn', seed: 4}).runRounds(3),
  );
  assert.deepEqual(results[0], results[1]);
});

test('Sampled counts follow the Zipf distribution within random variation', () => {
  const counts = new ZipfSampler(1_000, 1.1).sampleCounts(xoroshiro128plus(3), 1_000_000);
  const total = counts.reduce((sum, count) => sum + count, 0);
  assert.ok(Math.abs(total - 1_000_000) < 5_000, `total ${total}`);
  assert.ok(Math.abs(counts[0]! / counts[9]! / 10 ** 1.1 - 1) < 0.05);
});
