import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {MemberChange, PeerStatus, Replica} from '@medlarlane/consensus';
import {ManualClock} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';
import {MemberManager} from '@medlarlane/site-control';

const UP: PeerStatus = {matchIndex: 9, reachable: true, caughtUp: true, failed: false};
const UNREACHABLE: PeerStatus = {...UP, reachable: false};

describe('MemberManager', () => {
  it('adds a joining replica as a learner', async () => {
    const group = startGroup({voters: ['a', 'b', 'c'], learners: []}, {b: UP, c: UP});
    group.manager.join({replicaId: 'd', address: 'd:1'});
    await group.manager.reconcile();
    assert.deepEqual(group.changes, [{kind: 'addLearner', replicaId: 'd', address: 'd:1'}]);
  });

  it('promotes a learner while there are too few voters', async () => {
    const group = startGroup({voters: ['a', 'b', 'c'], learners: ['d']}, {b: UP, c: UP, d: UP});
    await group.manager.reconcile();
    assert.deepEqual(group.changes, [{kind: 'promote', replicaId: 'd'}]);
  });

  it('does not promote a learner that has not caught up', async () => {
    const behind = {...UP, caughtUp: false};
    const group = startGroup({voters: ['a', 'b', 'c'], learners: ['d']}, {b: UP, c: UP, d: behind});
    await group.manager.reconcile();
    assert.deepEqual(group.changes, []);
  });

  it('removes the former replica when a new one joins at its address', async () => {
    const group = startGroup({voters: ['a', 'b', 'c'], learners: []}, {b: UP, c: UNREACHABLE});
    group.manager.join({replicaId: 'c#2', address: 'c:1'});
    await group.manager.reconcile();
    assert.deepEqual(group.changes, [{kind: 'remove', replicaId: 'c'}]);
  });

  it('replaces a voter only after the unreachable timeout and when a learner is available', async () => {
    const voters = ['a', 'b', 'c', 'd', 'e'];
    const withoutLearner = startGroup(
      {voters, learners: []},
      {b: UP, c: UP, d: UP, e: UNREACHABLE},
    );
    await withoutLearner.passTime(5_000);
    assert.deepEqual(withoutLearner.changes, []);
    const peers = {b: UP, c: UP, d: UP, e: UNREACHABLE, f: UP};
    const group = startGroup({voters, learners: ['f']}, peers);
    await group.passTime(2_500);
    assert.deepEqual(group.changes, []);
    await group.passTime(1_000);
    assert.deepEqual(group.changes[0], {kind: 'remove', replicaId: 'e'});
  });
});

function startGroup(
  members: {voters: string[]; learners: string[]},
  peers: Record<string, PeerStatus>,
) {
  const clock = new ManualClock();
  const changes: MemberChange[] = [];
  const all = [...members.voters, ...members.learners];
  const addresses = Object.fromEntries(all.map((id) => [id, `${id}:1`]));
  const replica = {
    replicaId: 'a',
    status: () => ({members: {...members, addresses}, peers}),
    changeMembers: async (change: MemberChange) => void changes.push(change),
  } as unknown as Replica;
  const manager = new MemberManager({replica, clock, logger: silentLogger, targetVoterCount: 5});
  const passTime = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 250) {
      await manager.reconcile();
      await clock.advance(250);
    }
  };
  return {manager, changes, passTime};
}
