import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {PushedGrants, HostedTarget} from '@medlarlane/key-holds';
import type {FencedKeyRange, KeyGrantRequest, GrantOutcome, GrantPlan} from '@medlarlane/key-holds';
import {createDeferred, ManualClock} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';

const HOLD_MS = 3_200;
const LEASE_MS = 60_000;
const RANGE = {fromKey: 0, toKey: 99, epoch: 7, handover: ''};

describe('Grants by calls', () => {
  it('are in force from the answer on and end before the target counts them out', async () => {
    const {grants, clock, step} = startGrants();
    assert.equal(grants.holdsKey(5), false);
    await step({keep: [RANGE]});
    assert.ok(grants.holdsKey(5));
    await clock.advance(HOLD_MS);
    assert.equal(grants.holdsKey(5), false);
    assert.ok(grants.mayHoldKeys, 'a slow clock of the target may count longer');
    await clock.advance(200);
    assert.equal(grants.mayHoldKeys, false);
  });

  it('are renewed by the same call before they run out', async () => {
    const {grants, clock, target, step} = startGrants();
    await step({keep: [RANGE]});
    await clock.advance(1_700);
    await step({keep: [RANGE]});
    assert.deepEqual(
      target.granted.map(({epoch}) => epoch),
      [7, 7],
    );
    await clock.advance(2_000);
    assert.ok(grants.holdsKey(5));
  });

  it('never last longer than the lease, counted at their latest arrival', async () => {
    const {clock, target, step} = startGrants();
    await step({keep: [RANGE], leaseUntilMs: clock.nowMs() + 1_000});
    assert.ok(target.granted[0]!.holdMs <= 600);
    await step({keep: [{...RANGE, fromKey: 100, toKey: 199}], leaseUntilMs: clock.nowMs() + 500});
    assert.equal(target.granted.length, 1, 'too little time is left');
  });

  it('without an answer are asked for again, and the keys are not given back while one may come into force', async () => {
    const {grants, clock, target, givenBack, step} = startGrants();
    target.nextOutcome = 'unanswered';
    await step({keep: [RANGE]});
    assert.equal(grants.holdsKey(5), false);
    await clock.advance(150);
    await step({keep: [RANGE]});
    assert.ok(grants.holdsKey(5));
    // The unanswered grant may be applied after the release and hold the keys again.
    await step({revoke: [RANGE], revokeImmediately: true});
    assert.equal(target.released.length, 1);
    assert.equal(grants.holdsKey(5), false);
    assert.deepEqual(givenBack, []);
    await clock.advance(3_100);
    assert.equal(givenBack.length, 0);
    await clock.advance(100);
    assert.deepEqual(givenBack, [{fromKey: 0, toKey: 99, handover: 'h-0-99'}]);
  });

  it('without an answer put off a transfer, and the keys go on being served', async () => {
    const {grants, clock, target, step} = startGrants();
    target.nextOutcome = 'unanswered';
    await step({keep: [RANGE]});
    await clock.advance(150);
    await step({keep: [RANGE]});
    await step({keep: [RANGE], revoke: [{fromKey: 0, toKey: 9}]});
    assert.equal(target.released.length, 0);
    assert.ok(grants.holdsKey(5));
  });

  it('are taken back in part, and the rest is renewed under the same token', async () => {
    const {grants, clock, target, givenBack, step} = startGrants();
    await step({keep: [RANGE]});
    const rest = {...RANGE, fromKey: 10};
    await step({keep: [rest], revoke: [{fromKey: 0, toKey: 9}]});
    assert.deepEqual(target.released, [{fromKey: 0, toKey: 9, epoch: 7}]);
    assert.deepEqual(givenBack, [{fromKey: 0, toKey: 9, handover: 'h-0-9'}]);
    assert.equal(grants.holdsKey(5), false);
    assert.ok(grants.holdsKey(10));
    await clock.advance(1_700);
    await step({keep: [rest]});
    assert.deepEqual([target.granted.at(-1)?.fromKey, target.granted.at(-1)?.epoch], [10, 7]);
  });

  it('whose release has no answer count as given back only when they have run out', async () => {
    const {clock, target, givenBack, step} = startGrants();
    await step({keep: [RANGE]});
    target.answersReleases = false;
    await step({revoke: [RANGE], revokeImmediately: true});
    await clock.advance(1_000);
    await step({revoke: [RANGE], revokeImmediately: true});
    assert.deepEqual(givenBack, []);
    await clock.advance(2_400);
    await step({revoke: [RANGE], revokeImmediately: true});
    assert.deepEqual(givenBack, [{fromKey: 0, toKey: 99, handover: ''}]);
  });

  it('are not released while a renewal is under way, which could arrive after the release', async () => {
    const {clock, target, step} = startGrants();
    await step({keep: [RANGE]});
    await clock.advance(1_700);
    const answer = createDeferred<GrantOutcome>();
    target.nextAnswer = answer.promise;
    await step({keep: [RANGE]});
    await step({revoke: [RANGE], revokeImmediately: true});
    assert.equal(target.released.length, 0);
    answer.resolve('granted');
    await step({revoke: [RANGE], revokeImmediately: true});
    await step({revoke: [RANGE], revokeImmediately: true});
    assert.equal(target.released.length, 1);
  });

  it('are never asked for again under a token that was refused', async () => {
    const {grants, clock, target, givenBack, step} = startGrants();
    target.nextOutcome = 'fenced';
    await step({keep: [RANGE]});
    for (let second = 0; second < 5; second += 1) {
      await clock.advance(1_000);
      await step({keep: [RANGE]});
    }
    assert.equal(target.granted.length, 1);
    assert.equal(grants.holdsKey(5), false);
    assert.deepEqual(givenBack, [{fromKey: 0, toKey: 99, handover: ''}]);
    await step({keep: [{...RANGE, epoch: 9}]});
    assert.ok(grants.holdsKey(5), 'a higher token is a new order');
  });

  it('say nothing about another life: an answer that comes after it began is dropped', async () => {
    const {grants, target, step} = startGrants();
    const answer = createDeferred<GrantOutcome>();
    target.nextAnswer = answer.promise;
    await step({keep: [RANGE]});
    grants.reset();
    answer.resolve('granted');
    await step({});
    assert.equal(grants.holdsKey(5), false);
  });

  it('present the proof of the last release only until the target holds the keys', async () => {
    const {clock, target, step} = startGrants();
    const proven = {...RANGE, handover: 'proof'};
    await step({keep: [proven]});
    await clock.advance(1_700);
    await step({keep: [proven]});
    assert.deepEqual(
      target.granted.map(({handover}) => handover),
      ['proof', ''],
    );
  });
});

describe('A hosted target that is granted keys by calls', () => {
  it('gets them as soon as the leader has assigned them, and gives them back when it drains', async () => {
    const {hosted, target, beat, lease} = startHosted();
    beat({sequence: 1});
    await lease({});
    assert.ok(hosted.holdsKey(10));
    assert.equal(target.granted.length, 1);
    await lease({hasSuccessors: true});
    beat({sequence: 2, state: 'draining'});
    await settle();
    assert.equal(hosted.holdsKey(10), false);
    assert.deepEqual(hosted.released, [
      {life: 'i-1/1000', fromKey: 0, toKey: 99, handover: 'h-0-99', transferId: 0},
    ]);
    assert.ok(hosted.mayHoldKeys, 'the leader has not taken the release yet');
  });

  it('gets none before the life has been heard by this process', async () => {
    const {hosted, target, beat, lease} = startHosted();
    hosted.restore({
      targetId: 'i-1',
      life: 'i-1/1000',
      service: 's',
      state: 'ready',
      slots: 4,
    });
    await lease({});
    assert.equal(target.granted.length, 0);
    beat({sequence: 8});
    await settle();
    assert.equal(target.granted.length, 1);
  });

  it('gets none in a new life under the tokens of the former one', async () => {
    const {hosted, target, beat, lease} = startHosted();
    beat({sequence: 1});
    await lease({});
    beat({sequence: 1, bornMs: 2_000});
    await settle();
    assert.equal(target.granted.length, 1);
    assert.equal(hosted.holdsKey(10), false);
  });
});

function startGrants() {
  const clock = new ManualClock();
  const givenBack: unknown[] = [];
  const target = scriptedTarget();
  const grants = new PushedGrants({
    api: target.calls,
    clock,
    steadyClock: clock,
    logger: silentLogger,
    holdMs: HOLD_MS,
    minHoldMs: 300,
    clockRateMargin: 0.97,
    onReleased: (stretch, handover) => givenBack.push({...stretch, handover}),
  });
  const step = async (plan: Partial<GrantPlan>): Promise<void> => {
    const leaseUntilMs = clock.nowMs() + LEASE_MS;
    grants.applyPlan({keep: [], revoke: [], revokeImmediately: false, leaseUntilMs, ...plan});
    await settle();
  };
  return {clock, grants, target, givenBack, step};
}

function startHosted() {
  const clock = new ManualClock();
  const target = scriptedTarget();
  const hosted = new HostedTarget({
    clock,
    steadyClock: clock,
    logger: silentLogger,
    heartbeatIntervalMs: 1_000,
    drainMs: 2_000,
    maxHoldMs: 10_000,
    keyCount: 1_000,
    grantApi: target.calls,
  });
  const beat = (next: {sequence: number; bornMs?: number; state?: 'ready' | 'draining'}): void => {
    hosted.handleHeartbeat({
      targetId: 'i-1',
      startedAtMs: 1_000,
      service: 's',
      state: 'ready',
      slots: 4,
      coldLeftMs: 0,
      holds: [],
      freed: [],
      ...next,
    });
  };
  const lease = async ({hasSuccessors = false}: {hasSuccessors?: boolean}): Promise<void> => {
    const ranges = [{...RANGE, ownerLife: 'i-1/1000'}];
    const sentAtMs = clock.nowMs();
    hosted.applyReportResponse({sentAtMs, leaseMs: 4_500, ranges, transfers: [], hasSuccessors});
    await settle();
  };
  return {clock, target, hosted, beat, lease};
}

function scriptedTarget() {
  const script = {
    granted: [] as KeyGrantRequest[],
    released: [] as FencedKeyRange[],
    nextOutcome: 'granted' as GrantOutcome,
    nextAnswer: undefined as Promise<GrantOutcome> | undefined,
    answersReleases: true,
    calls: {
      grant: (order: KeyGrantRequest): Promise<GrantOutcome> => {
        script.granted.push(order);
        const answer = script.nextAnswer ?? Promise.resolve(script.nextOutcome);
        script.nextAnswer = undefined;
        script.nextOutcome = 'granted';
        return answer;
      },
      release: (order: FencedKeyRange): Promise<{handover: string} | undefined> => {
        script.released.push(order);
        const {fromKey, toKey} = order;
        const handover = `h-${fromKey}-${toKey}`;
        return Promise.resolve(script.answersReleases ? {handover} : undefined);
      },
    },
  };
  return script;
}

function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
