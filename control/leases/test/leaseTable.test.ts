import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@medlarlane/lifecycle';
import {LeaseTable} from '@medlarlane/leases';

function createTable(): {clock: ManualClock; table: LeaseTable} {
  const clock = new ManualClock();
  return {clock, table: new LeaseTable({clock, leaseTtlMs: 1000, maxClockDriftRatio: 0.01})};
}

test('A lease expires only after the TTL plus the clock drift bound', async () => {
  const {clock, table} = createTable();
  table.grant(7);
  await clock.advance(1009);
  assert.deepEqual(table.expiredSessionIds(), []);
  await clock.advance(1);
  assert.deepEqual(table.expiredSessionIds(), [7]);
});

test('A session whose end is proposed cannot be renewed, so that its keys can be reassigned', () => {
  const {table} = createTable();
  table.grant(7);
  table.markEnding(7);
  assert.equal(table.renew(7, 1), false);
});

test('A new leader waits one full TTL for sessions that an earlier leader may have renewed', async () => {
  const {clock, table} = createTable();
  await clock.advance(5000);
  table.reset([3, 4]);
  assert.equal(table.renew(3, 1), true);
  await clock.advance(500);
  assert.equal(table.renew(3, 1), true);
  await clock.advance(510);
  assert.deepEqual(table.expiredSessionIds(), [4]);
});

test('A renewal does not grant a lease to an unknown session', () => {
  assert.equal(createTable().table.renew(9, 1), false);
});
