import assert from 'node:assert/strict';
import {test} from 'node:test';
import {startGroup} from './replicaGroup.js';
import type {ReplicaGroup, TestReplica} from './replicaGroup.js';

const ENTRY_BYTES = 400_000;
const ENTRIES = 30;
/** The interval between snapshots, the entries retained in memory and those in flight. */
const MAX_LOG_BYTES = 9_000_000;

// Guards against replicas that run out of memory after a few hundred changes of a large configuration, and
// again at each start: the log was compacted by the number of its entries only.
test('The log stays small on disk and in memory when its entries are large', async (t) => {
  const group = startGroup(t, ['a', 'b', 'c']);
  const leader = await group.leader();
  await commitLargeEntries(group, leader);
  for (const id of group.others()) {
    const {entries, snapshot} = group.disks.get(id)!;
    const bytes = entries.reduce((sum, {payload}) => sum + payload.length, 0);
    assert.ok(bytes <= MAX_LOG_BYTES, `log of ${id} has ${bytes} bytes on disk`);
    assert.ok((snapshot?.index ?? 0) > ENTRIES / 2, `snapshot of ${id} at ${snapshot?.index}`);
  }

  const [follower] = group.others(leader.id);
  group.kill(follower!);
  await commitLargeEntries(group, leader);
  let snapshots = 0;
  group.network.filter = (_from, to, {kind}) => {
    if (to === follower && kind === 'installSnapshot') snapshots += 1;
    return true;
  };
  const {replica} = group.start(follower!);
  await group.until(
    'the follower has caught up',
    () => replica.appliedIndex === leader.replica.appliedIndex,
  );
  assert.equal(snapshots, 1, 'the leader has dropped the entries that the follower lacks');
});

async function commitLargeEntries(group: ReplicaGroup, leader: TestReplica): Promise<void> {
  for (let i = 0; i < ENTRIES; i += 1) {
    // The state of the group stays small; only the log is to grow.
    for (const id of group.others()) group.get(id).list.commands = [];
    const command = `${i} `.padEnd(ENTRY_BYTES, 'x');
    assert.equal(await group.runUntilSettled(group.propose(leader, command)), 'ok');
  }
  for (const id of group.others()) group.get(id).list.commands = [];
  group.acknowledged.clear();
}
