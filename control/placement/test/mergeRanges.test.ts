import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {mergeRanges, planMoves} from '@medlarlane/placement';
import {applyMoves, serviceInput} from './placementFixture.js';

const range = (startPosition: number, ownerSessionId: number, nextSessionId = 0, epoch = 1) => ({
  startPosition,
  ownerSessionId,
  nextSessionId,
  epoch,
});

test('Merging never changes the owner or destination of a position or lowers its epoch', () => {
  const ranges = fc
    .array(fc.tuple(fc.integer({min: 1, max: 9}), fc.nat(3), fc.nat(1), fc.nat(50)), {minLength: 1})
    .map((rows) => {
      let start = 0;
      return rows.map(([width, owner, next, epoch], i) => {
        const startPosition = i === 0 ? 0 : (start += width);
        return range(startPosition, owner, next, epoch);
      });
    });
  fc.assert(
    fc.property(ranges, fc.nat(20), (before, maxRanges) => {
      const after = mergeRanges(before, {maxRanges});
      assert.ok(after.length <= before.length);
      for (const old of before) {
        const now = after.findLast(({startPosition}) => startPosition <= old.startPosition)!;
        assert.equal(now.ownerSessionId, old.ownerSessionId);
        assert.equal(now.nextSessionId, old.nextSessionId);
        assert.ok(now.epoch >= old.epoch);
      }
    }),
    {seed: 20_262, numRuns: 300},
  );
});

test('Only the surplus ranges are merged, the narrowest first', () => {
  const ranges = [range(0, 1), range(1000, 1), range(1001, 1), range(5000, 2)];
  const starts = mergeRanges(ranges, {maxRanges: 3}).map(({startPosition}) => startPosition);
  assert.deepEqual(starts, [0, 1001, 5000]);
});

test('Ranges of former hot keys are consolidated with adjacent ranges when there are too many', () => {
  const limits = {rangesPerServer: 16, rangesPerService: 0};
  let input = serviceInput({servers: 5});
  const keys = input.ranges.slice(0, 40).map((each, i) => ({
    fromPosition: each.startPosition + 10,
    toPosition: each.startPosition + 11,
    fromSessionId: each.ownerSessionId,
    toSessionId: (i % 5) + 1 === 5 ? 1 : (i % 5) + 2,
  }));
  input = applyMoves(input, keys);
  assert.equal(input.ranges.length, 160);
  for (let round = 0; round < 3; round++) {
    input = applyMoves(input, planMoves(input, {limits}));
    input = {...input, ranges: mergeRanges(input.ranges, {maxRanges: 80})};
  }
  assert.equal(input.ranges.length, 80);
});
