import assert from 'node:assert/strict';
import {test} from 'node:test';
import {assignUnownedRanges} from '@medlarlane/placement';
import {serviceInput, session} from './placementFixture.js';

test('The ranges of a lost server are spread over all the others', () => {
  const {ranges} = serviceInput({servers: 5});
  const orphans = [...ranges.keys()].filter((at) => ranges[at]!.ownerSessionId === 3);
  const owners = assignUnownedRanges(
    ranges,
    orphans,
    [1, 2, 4, 5].map((id) => session(id)),
  );
  for (const id of [1, 2, 4, 5]) assert.equal(owners.filter((owner) => owner === id).length, 4);
});

test('With known loads the ranges of a lost server go where there is least load', () => {
  const {ranges, rangeLoads} = serviceInput({
    servers: 3,
    rateRps: (_, owner) => (owner === 1 ? 500 : 100),
  });
  const orphans = [...ranges.keys()].filter((at) => ranges[at]!.ownerSessionId === 3);
  const owners = assignUnownedRanges(ranges, orphans, [session(1), session(2)], rangeLoads);
  assert.ok(owners.every((owner) => owner === 2));
});

test('Without any session the ranges stay without an owner', () => {
  const {ranges} = serviceInput({servers: 2});
  assert.deepEqual(assignUnownedRanges(ranges, [0, 1], []), [0, 0]);
});
