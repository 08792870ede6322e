import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {LogEntry} from '@medlarlane/log-store';
import {startGroup} from './replicaGroup.js';
import type {ReplicaGroup, ReplicaGroupOptions, TestReplica} from './replicaGroup.js';

interface FaultRow {
  readonly fault: string;
  readonly invariant: string;
  readonly opts?: ReplicaGroupOptions;
  /**
   * Injects the fault into a group of a, b and c with ten committed commands; checks the invariant.
   */
  readonly run: (group: ReplicaGroup, leader: TestReplica) => Promise<void>;
}

const ROWS: readonly FaultRow[] = [
  {
    fault: 'The leader is killed while commands are in flight',
    invariant: 'acknowledged commands survive on the other replicas, which continue to commit',
    run: async (group, leader) => {
      const outcomes = Array.from({length: 200}, async (_, i) => {
        await group.clock.sleep(i);
        return group.propose(leader, `in flight ${i}`);
      });
      await group.run(100);
      group.kill(leader.id);
      const codes = new Set(await group.runUntilSettled(Promise.all(outcomes)));
      assert.deepEqual([...codes].sort(), ['COMMIT_UNKNOWN', 'NOT_LEADER', 'ok']);
      await group.commit(await group.leader(), 5, 'later');
      group.start(leader.id);
      await group.assertAgreement();
    },
  },
  {
    fault: 'The leader is isolated',
    invariant: 'its lease expires before another leader holds one, and it acknowledges nothing',
    run: async (group, leader) => {
      group.network.isolate(leader.id);
      const command = group.propose(leader, 'isolated');
      await group.run(200);
      assert.ok(leader.replica.isLeaderLeaseValid(), 'the lease survives a short isolation');
      await group.until('the lease has expired', () => !leader.replica.isLeaderLeaseValid());
      assert.equal(leader.replica.status().role, 'leader');
      const read = leader.replica.readBarrier();
      await assert.rejects(group.runUntilSettled(read), {code: 'NOT_LEADER'});
      const next = await group.leader(group.others(leader.id));
      await group.commit(next, 5, 'next term');
      assert.equal(await group.runUntilSettled(command), 'COMMIT_UNKNOWN');
      group.network.restoreLinks();
      await group.assertAgreement();
    },
  },
  {
    fault: 'The leader is frozen and resumes later',
    invariant: 'its lease has expired when it resumes, before any message from the next leader',
    run: async (group, leader) => {
      leader.clock.freeze();
      const next = await group.leader(group.others(leader.id));
      await group.commit(next, 5, 'next term');
      assert.equal(leader.replica.status().role, 'leader');
      assert.equal(leader.replica.isLeaderLeaseValid(), false);
      leader.clock.resume();
      await group.assertAgreement();
      assert.notEqual(leader.replica.status().role, 'leader');
    },
  },
  {
    fault: 'The leader can send but not receive',
    invariant: 'it steps down and another leader commits',
    run: async (group, leader) => {
      for (const id of group.others(leader.id)) group.network.cutOneWay(id, leader.id);
      const next = await group.leader(group.others(leader.id));
      await group.commit(next, 5, 'next term');
      group.network.restoreLinks();
      await group.assertAgreement();
    },
  },
  {
    fault: 'An isolated follower reconnects',
    invariant: 'the term and the leader do not change',
    run: async (group, leader) => {
      const {term} = leader.replica;
      const [follower] = group.others(leader.id);
      group.network.isolate(follower!);
      await group.run(5_000);
      group.network.restoreLinks();
      await group.commit(leader, 5, 'later');
      await group.run(2_000);
      assert.equal(leader.replica.term, term);
      assert.ok(leader.replica.isLeader());
    },
  },
  {
    fault: 'A follower restarts and the leader is isolated at the same time',
    invariant: 'the follower grants no vote while the lease of the leader is valid',
    run: async (group, leader) => {
      const [follower, third] = group.others(leader.id);
      group.network.cut(leader.id, third!);
      await group.run(1_000);
      group.network.isolate(leader.id);
      group.kill(follower!);
      group.start(follower!);
      assert.ok(leader.replica.isLeaderLeaseValid());
      await checkVotesDuringLease(group, leader);
    },
  },
  {
    fault: 'Responses to the leader are slow when it is isolated',
    invariant: 'its lease starts at the send time, so no majority grants votes while it is valid',
    run: async (group, leader) => {
      group.network.delayMs = (_from, to) => (to === leader.id ? 100 : 0);
      await group.run(3_000);
      group.network.filter = (from) => from !== leader.id;
      await checkVotesDuringLease(group, leader);
    },
  },
  {
    fault: 'A replica restarts right after it granted its vote',
    invariant: 'it grants no second vote in that term',
    run: async (group, leader) => {
      const [voter, ...candidates] = group.others(leader.id).concat(leader.id);
      group.network.isolate(voter!);
      await group.run(1_000);
      const {commitIndex: lastLogIndex, term: lastLogTerm} = leader.replica;
      const grants: boolean[] = [];
      for (const candidateId of candidates) {
        const term = lastLogTerm + 5;
        const vote = {kind: 'vote', preVote: false, term, candidateId} as const;
        const {replica} = group.get(voter!);
        const answered = replica.handle({...vote, lastLogIndex, lastLogTerm}).then((response) => {
          group.kill(voter!);
          return response.kind === 'vote' && response.granted;
        });
        grants.push(await group.runUntilSettled(answered));
        group.start(voter!);
        await group.run(450);
      }
      assert.deepEqual(grants, [true, false]);
    },
  },
  {
    fault: 'The disk of the leader fails',
    invariant: 'it steps down and reports the reason, and the other replicas commit without it',
    run: async (group, leader) => {
      leader.store.failsSyncs = true;
      const outcome = await group.runUntilSettled(group.propose(leader, 'unwritten'));
      assert.equal(outcome, 'COMMIT_UNKNOWN');
      assert.equal(leader.replica.status().failure?.code, 'LOG_WRITE_FAILED');
      const next = await group.leader(group.others(leader.id));
      await group.commit(next, 5, 'next term');
      assert.equal(leader.replica.isLeader(), false);
      assert.equal(next.replica.status().lossesTolerated, 0);
    },
  },
  {
    fault: 'The disk of a follower fails',
    invariant: 'it acknowledges nothing more and the leader tolerates no further loss',
    run: async (group, leader) => {
      const [failing, other] = group.others(leader.id);
      assert.equal(leader.replica.status().lossesTolerated, 1);
      group.get(failing!).store.failsSyncs = true;
      await group.commit(leader, 5, 'two left');
      await group.until('the leader detects the failed disk', () => {
        const {peers, lossesTolerated} = leader.replica.status();
        return peers?.[failing!]?.failed && lossesTolerated === 0;
      });
      group.kill(other!);
      const outcome = await group.runUntilSettled(group.propose(leader, 'no majority'));
      assert.equal(outcome, 'COMMIT_UNKNOWN');
    },
  },
  {
    fault: 'A replica loses its disk and a second one fails before the replacement has caught up',
    invariant: 'the leader tolerates no loss, refuses the promotion and loses no entry',
    run: async (group, leader) => {
      const [lost, second] = group.others(leader.id);
      group.kill(lost!);
      const replacement = group.start('d', false);
      const added = leader.replica.changeMembers({
        kind: 'addLearner',
        replicaId: 'd',
        address: 'd:1',
      });
      await group.runUntilSettled(added);
      group.network.filter = (_from, to) => to !== 'd';
      const promote = {kind: 'promote', replicaId: 'd'} as const;
      const refused = leader.replica.changeMembers(promote);
      await assert.rejects(group.runUntilSettled(refused), {code: 'REPLICA_BEHIND'});
      await group.run(500);
      assert.equal(leader.replica.status().lossesTolerated, 0);
      group.kill(second!);
      assert.equal(
        await group.runUntilSettled(group.propose(leader, 'no majority')),
        'COMMIT_UNKNOWN',
      );
      group.start(second!);
      group.network.filter = () => true;
      const next = await group.leader();
      const behind = (): boolean => !next.replica.status().peers?.['d']?.caughtUp;
      await group.until('the replacement has caught up', () => !behind());
      await group.runUntilSettled(next.replica.changeMembers({kind: 'remove', replicaId: lost!}));
      await group.runUntilSettled(next.replica.changeMembers(promote));
      await group.until('a loss is tolerated', () => next.replica.status().lossesTolerated === 1);
      assert.deepEqual(replacement.replica.status().members.learners, []);
      await group.assertAgreement();
    },
  },
  ...[true, false].map((bootstrap) => ({
    fault: `A replica restarts under its old id with an empty disk, ${bootstrap ? 'with' : 'without'} bootstrap`,
    invariant: 'it votes for no replica that lacks entries it had acknowledged',
    run: async (group: ReplicaGroup, leader: TestReplica): Promise<void> => {
      const [restarted, lagging] = group.others(leader.id);
      group.network.isolate(lagging!);
      await group.commit(leader, 5, 'on two');
      group.kill(leader.id);
      group.kill(restarted!);
      group.disks.delete(restarted!);
      group.start(restarted!, bootstrap);
      group.network.restoreLinks();
      await group.run(5_000);
      assert.ok(!group.others().some((id) => group.get(id).replica.isLeader()));
      group.start(leader.id);
      await group.assertAgreement();
    },
  })),
  {
    fault: 'A replica is down while 500 entries commit',
    invariant: 'it catches up by append messages',
    run: async (group, leader) => {
      const [follower] = group.others(leader.id);
      group.kill(follower!);
      await group.commit(leader, 500, 'missed');
      group.start(follower!);
      await group.assertAgreement();
    },
  },
  {
    fault: 'A replica is down until the entries it misses are compacted',
    invariant: 'it catches up from a snapshot and restarts from it',
    opts: {snapshotEveryEntries: 200},
    run: async (group, leader) => {
      const [follower] = group.others(leader.id);
      group.kill(follower!);
      for (let i = 0; i < 8; i++) await group.commit(leader, 250, `missed ${i}`);
      let snapshots = 0;
      group.network.filter = (_from, to, {kind}) => {
        if (to === follower && kind === 'installSnapshot') snapshots++;
        return true;
      };
      group.start(follower!);
      await group.assertAgreement();
      assert.equal(snapshots, 1);
      for (const id of group.others()) group.kill(id);
      for (const id of ['a', 'b', 'c']) group.start(id);
      await group.assertAgreement();
    },
  },
  {
    fault: 'Members change while the group works, and the leader removes itself',
    invariant: 'changes run one at a time and no acknowledged command is lost',
    run: async (group, leader) => {
      group.start('d', false);
      const change = leader.replica.changeMembers.bind(leader.replica);
      const add = change({kind: 'addLearner', replicaId: 'd', address: 'd:1'});
      const concurrent = change({kind: 'remove', replicaId: leader.id});
      await assert.rejects(group.runUntilSettled(concurrent), {code: 'MEMBER_CHANGE_PENDING'});
      await group.runUntilSettled(add);
      await group.commit(leader, 50, 'between');
      await group.until(
        'd has caught up',
        () => leader.replica.status().peers?.['d']?.caughtUp === true,
      );
      await group.runUntilSettled(change({kind: 'promote', replicaId: 'd'}));
      await group.runUntilSettled(change({kind: 'remove', replicaId: leader.id}));
      const next = await group.leader(group.others(leader.id));
      await group.commit(next, 5, 'after');
      assert.deepEqual(
        [...next.replica.status().members.voters].sort(),
        group.others(leader.id).sort(),
      );
      await group.assertAgreement(group.others(leader.id));
    },
  },
];

for (const {fault, invariant, opts, run} of ROWS) {
  test(`${fault}: ${invariant}`, async (t) => {
    const group = startGroup(t, ['a', 'b', 'c'], opts);
    const leader = await group.leader();
    await group.commit(leader, 10, 'before');
    await group.assertAgreement();
    await run(group, leader);
  });
}

test('Entries of an earlier term on a majority do not commit before one of the current term', async (t) => {
  const group = startGroup(t, ['a', 'b', 'c']);
  await group.run(20);
  for (const id of ['a', 'b', 'c']) group.kill(id);
  const disk = group.disks.get('a')!;
  const old = Array.from({length: 1_500}, (_, i): LogEntry => {
    return {index: i + 2, term: 2, kind: 'command', payload: new Uint8Array(Buffer.from(`${i}`))};
  });
  disk.entries.push(...old);
  for (const [, each] of group.disks) each.hardState = {term: 2, votedFor: 'a'};
  // Withholds the no-op of the new leader from the other replicas. A message holds 1,024 entries.
  group.network.filter = (_from, _to, request) =>
    request.kind !== 'append' ||
    request.entries.length === 1 ||
    request.entries.every(({kind}) => kind !== 'noop');
  // Of a and c, only a can win the election.
  for (const id of ['a', 'c']) group.start(id);
  await group.until('a leads', () => group.get('a').replica.status().role === 'leader');
  group.start('b');
  await group.until('a majority holds the old entries', () =>
    ['b', 'c'].every((id) => group.disks.get(id)!.entries.length > 1_000),
  );
  await group.run(500);
  assert.ok(group.get('a').replica.commitIndex <= 1, 'no entry of term 2 is committed');
  group.network.filter = () => true;
  await group.assertAgreement();
  assert.equal(group.get('c').list.commands.length, old.length);
});

test('A replica without bootstrap and data neither starts an election nor becomes leader', async (t) => {
  const group = startGroup(t, []);
  const {replica} = group.start('a', false);
  await group.run(5_000);
  assert.deepEqual([replica.term, replica.status().role], [0, 'follower']);
  await assert.rejects(replica.propose(new Uint8Array()), {code: 'NOT_LEADER'});
});

test('A NOT_LEADER error contains the id and address of the leader', async (t) => {
  const group = startGroup(t, ['a', 'b', 'c']);
  const leader = await group.leader();
  await group.assertAgreement();
  const [follower] = group.others(leader.id);
  await assert.rejects(group.get(follower!).replica.propose(new Uint8Array()), {
    code: 'NOT_LEADER',
    details: {leaderId: leader.id, leaderAddress: `${leader.id}:1`},
  });
});

/**
 * Requests pre-votes from the followers until the leader lease expires; no majority may grant them.
 */
async function checkVotesDuringLease(group: ReplicaGroup, leader: TestReplica): Promise<void> {
  const {term, commitIndex} = leader.replica;
  const vote = {kind: 'vote', preVote: true, candidateId: 'x', lastLogTerm: term + 1} as const;
  let checks = 0;
  for (; leader.replica.isLeaderLeaseValid(); checks++) {
    const asked = group
      .others(leader.id)
      .map((id) =>
        group.get(id).replica.handle({...vote, term: term + 1, lastLogIndex: commitIndex}),
      );
    const responses = await Promise.all(asked);
    const grants = responses.filter((response) => response.kind === 'vote' && response.granted);
    assert.ok(grants.length < 2, 'a majority would elect another leader');
    await group.run(5);
  }
  assert.ok(checks > 10);
  await group.leader(group.others(leader.id));
}
