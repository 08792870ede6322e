import assert from 'node:assert/strict';
import {test} from 'node:test';
import {startControlGroup, waitFor} from './controlGroup.js';

// Guards against a group that never elects a leader again: for some seconds after the planned stop of a
// replica, the group was one voter short although its successor had caught up.
test('A control group bears two lost disks right after the planned replacement of a replica', async (t) => {
  const group = await startControlGroup(t, {count: 5, lossesTolerated: 2});
  const leader = await group.leader();
  const voters = (): readonly string[] => leader.replica.status().members.voters;
  await waitFor('five voters', () => voters().length === 5);
  const successor = await group.start(5);
  await waitFor(
    'the successor has caught up',
    () => leader.replica.status().peers?.[successor.replica.replicaId]?.caughtUp,
  );
  const followers = [0, 1, 2, 3, 4].filter((instance) => group.running.get(instance) !== leader);
  const [replaced, first, second] = followers as [number, number, number];
  const {replicaId: replacedId} = group.running.get(replaced)!.replica;
  await group.running.get(replaced)!.stop();
  await group.loseDisk(replaced);
  assert.ok(!voters().includes(replacedId), 'the stopping replica has handed over its vote');
  assert.ok(voters().includes(successor.replica.replicaId));
  assert.equal(voters().length, 5);

  await Promise.all([group.loseDisk(first), group.loseDisk(second)]);
  await Promise.all([group.start(first), group.start(second)]);
  const next = await group.leader();
  assert.equal((await next.configurationService.readConfiguration()).version, 0);
  await waitFor('five voters again', () => next.replica.status().members.voters.length === 5);
});

// Guards against a leader that closes before its own removal is committed, and against a stop that waits for
// a successor that does not exist.
test('A leader hands over its vote when it stops, and does not wait without a successor', async (t) => {
  const group = await startControlGroup(t, {count: 4, lossesTolerated: 1});
  const leader = await group.leader();
  await waitFor('three voters and a learner', () => {
    const {members, peers} = leader.replica.status();
    const [learner] = members.learners;
    return members.voters.length === 3 && learner !== undefined && peers?.[learner]?.caughtUp;
  });
  const {replicaId} = leader.replica;
  await leader.stop();
  const instance = [...group.running].find(([, process]) => process === leader)![0];
  await group.kill(instance);
  const next = await group.leader();
  const {voters} = next.replica.status().members;
  assert.ok(!voters.includes(replicaId));
  assert.equal(voters.length, 3);

  const startedAtMs = performance.now();
  const follower = [...group.running.values()].find((process) => process !== next)!;
  await follower.stop();
  assert.ok(performance.now() - startedAtMs < 1_000, 'the stop ends at once');
  assert.equal(next.replica.status().members.voters.length, 3);
});
