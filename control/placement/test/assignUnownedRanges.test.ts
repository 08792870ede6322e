import assert from 'node:assert/strict';
import {test} from 'node:test';
import {assignUnownedRanges} from '@medlarlane/placement';
import {serviceInput, session} from './placementFixture.js';

test('The ranges of a lost server are spread over all others', () => {
  const {ranges} = serviceInput({servers: 5});
  const unowned = [...ranges.keys()].filter((i) => ranges[i]!.ownerSessionId === 3);
  const owners = assignUnownedRanges(
    ranges,
    unowned,
    [1, 2, 4, 5].map((id) => session(id)),
  );
  for (const id of [1, 2, 4, 5]) assert.equal(owners.filter((owner) => owner === id).length, 4);
});

test('With known loads the ranges of a lost server go to the least loaded server', () => {
  const {ranges, rangeLoads} = serviceInput({
    servers: 3,
    rateRps: (_, owner) => (owner === 1 ? 500 : 100),
  });
  const unowned = [...ranges.keys()].filter((i) => ranges[i]!.ownerSessionId === 3);
  const owners = assignUnownedRanges(ranges, unowned, [session(1), session(2)], rangeLoads);
  assert.ok(owners.every((owner) => owner === 2));
});

test('Without any session the ranges stay unowned', () => {
  const {ranges} = serviceInput({servers: 2});
  assert.deepEqual(assignUnownedRanges(ranges, [0, 1], []), [0, 0]);
});
