import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {KeyLoad} from '@medlarlane/key-holds';
import {ManualClock} from '@medlarlane/lifecycle';

const KEY_COUNT = 65_536;

describe('The key load', () => {
  it('is the request rate of a range, also when its ends are inside a block of partial sums', () => {
    const {load} = startLoad();
    for (const key of [0, 99, 100, 255, 256, 600, 1_023, 1_024]) load.recordRequest(key);
    const rateOf = (fromKey: number, toKey: number): number => load.rateOf([{fromKey, toKey}]);
    const one = rateOf(99, 99);
    assert.ok(one > 0);
    assert.equal(Math.round(rateOf(0, KEY_COUNT - 1) / one), 8);
    assert.equal(Math.round(rateOf(100, 1_023) / one), 5);
    assert.equal(Math.round(rateOf(256, 511) / one), 1);
    assert.equal(rateOf(257, 511), 0);
  });

  it('decays old requests, also after the counts have been rescaled', async () => {
    const {load, clock} = startLoad();
    const all = [{fromKey: 0, toKey: KEY_COUNT - 1}];
    for (let minute = 0; minute < 5; minute += 1) {
      for (let count = 0; count < 30; count += 1) load.recordRequest(7);
      const rate = load.rateOf(all);
      assert.ok(rate > 19 && rate < 21, `${rate} after ${minute} minutes`);
      await clock.advance(1_500);
      const later = load.rateOf(all);
      assert.ok(later > 6 && later < 9, `${later} after 1.5 s more`);
      await clock.advance(60_000);
      assert.ok(load.rateOf(all) < 0.001);
    }
  });

  // Guards against a new target that gets no keys: load that is spread evenly over many ranges has no single
  // range that carries the requested part.
  it('selects a whole range if every range carries less than the requested part', () => {
    const {load} = startLoad();
    const ranges = Array.from({length: 32}, (_, index) => ({
      fromKey: index * 2_048,
      toKey: index * 2_048 + 2_047,
    }));
    for (const {fromKey} of ranges) {
      for (let count = 0; count < 10; count += 1) load.recordRequest(fromKey + 100 * count);
    }
    load.recordRequest(4_096 + 50);
    const [selected] = load.selectRanges(ranges, [0.5]);
    assert.deepEqual(selected, {fromKey: 4_096, toKey: 4_996});
  });

  it('selects nothing if a single key carries far more than the requested part', () => {
    const {load} = startLoad();
    for (let count = 0; count < 100; count += 1) load.recordRequest(7);
    assert.deepEqual(load.selectRanges([{fromKey: 0, toKey: 2_047}], [0.3]), [undefined]);
  });
});

function startLoad(): {load: KeyLoad; clock: ManualClock} {
  const clock = new ManualClock();
  return {clock, load: new KeyLoad({clock, keyCount: KEY_COUNT})};
}
