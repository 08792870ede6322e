import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {PushedGrants, HostedTarget} from '@medlarlane/key-holds';
import type {FencedKeyRange, KeyGrantRequest, GrantOutcome, GrantPlan} from '@medlarlane/key-holds';
import {createDeferred, ManualClock} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';

const MAX_GRANT_MS = 3_200;
const LEASE_MS = 60_000;
const RANGE = {fromKey: 0, toKey: 99, epoch: 7, handover: ''};

describe('Pushed grants', () => {
  it('are in force from the response on and expire here before they expire at the target', async () => {
    const {grants, clock, applyPlan} = startGrants();
    assert.equal(grants.holdsKey(5), false);
    await applyPlan({keep: [RANGE]});
    assert.ok(grants.holdsKey(5));
    await clock.advance(MAX_GRANT_MS);
    assert.equal(grants.holdsKey(5), false);
    assert.ok(grants.mayHoldKeys, 'a slow clock of the target may extend the grant');
    await clock.advance(200);
    assert.equal(grants.mayHoldKeys, false);
  });

  it('are renewed by another grant request before they expire', async () => {
    const {grants, clock, target, applyPlan} = startGrants();
    await applyPlan({keep: [RANGE]});
    await clock.advance(1_700);
    await applyPlan({keep: [RANGE]});
    assert.deepEqual(
      target.granted.map(({epoch}) => epoch),
      [7, 7],
    );
    await clock.advance(2_000);
    assert.ok(grants.holdsKey(5));
  });

  it('never outlast the lease, even when the request arrives as late as possible', async () => {
    const {clock, target, applyPlan} = startGrants();
    await applyPlan({keep: [RANGE], leaseUntilMs: clock.nowMs() + 1_000});
    assert.ok(target.granted[0]!.holdMs <= 600);
    await applyPlan({
      keep: [{...RANGE, fromKey: 100, toKey: 199}],
      leaseUntilMs: clock.nowMs() + 500,
    });
    assert.equal(target.granted.length, 1, 'too little of the lease remains for a grant');
  });

  it('are retried without a response, and the keys are not released while an unanswered one may be applied', async () => {
    const {grants, clock, target, released, applyPlan} = startGrants();
    target.nextOutcome = 'unanswered';
    await applyPlan({keep: [RANGE]});
    assert.equal(grants.holdsKey(5), false);
    await clock.advance(150);
    await applyPlan({keep: [RANGE]});
    assert.ok(grants.holdsKey(5));
    // The target may apply the unanswered grant after the release and hold the keys again.
    await applyPlan({revoke: [RANGE], revokeImmediately: true});
    assert.equal(target.released.length, 1);
    assert.equal(grants.holdsKey(5), false);
    assert.deepEqual(released, []);
    await clock.advance(3_100);
    assert.equal(released.length, 0);
    await clock.advance(100);
    assert.deepEqual(released, [{fromKey: 0, toKey: 99, handover: 'h-0-99'}]);
  });

  it('delay a transfer while one is unanswered, and the keys are still served', async () => {
    const {grants, clock, target, applyPlan} = startGrants();
    target.nextOutcome = 'unanswered';
    await applyPlan({keep: [RANGE]});
    await clock.advance(150);
    await applyPlan({keep: [RANGE]});
    await applyPlan({keep: [RANGE], revoke: [{fromKey: 0, toKey: 9}]});
    assert.equal(target.released.length, 0);
    assert.ok(grants.holdsKey(5));
  });

  it('are revoked in part, and the rest is renewed under the same token', async () => {
    const {grants, clock, target, released, applyPlan} = startGrants();
    await applyPlan({keep: [RANGE]});
    const rest = {...RANGE, fromKey: 10};
    await applyPlan({keep: [rest], revoke: [{fromKey: 0, toKey: 9}]});
    assert.deepEqual(target.released, [{fromKey: 0, toKey: 9, epoch: 7}]);
    assert.deepEqual(released, [{fromKey: 0, toKey: 9, handover: 'h-0-9'}]);
    assert.equal(grants.holdsKey(5), false);
    assert.ok(grants.holdsKey(10));
    await clock.advance(1_700);
    await applyPlan({keep: [rest]});
    assert.deepEqual([target.granted.at(-1)?.fromKey, target.granted.at(-1)?.epoch], [10, 7]);
  });

  it('count as released only after they expire when the release gets no response', async () => {
    const {clock, target, released, applyPlan} = startGrants();
    await applyPlan({keep: [RANGE]});
    target.respondsToReleases = false;
    await applyPlan({revoke: [RANGE], revokeImmediately: true});
    await clock.advance(1_000);
    await applyPlan({revoke: [RANGE], revokeImmediately: true});
    assert.deepEqual(released, []);
    await clock.advance(2_400);
    await applyPlan({revoke: [RANGE], revokeImmediately: true});
    assert.deepEqual(released, [{fromKey: 0, toKey: 99, handover: ''}]);
  });

  it('are not released while a renewal is in flight, which could arrive after the release', async () => {
    const {clock, target, applyPlan} = startGrants();
    await applyPlan({keep: [RANGE]});
    await clock.advance(1_700);
    const response = createDeferred<GrantOutcome>();
    target.nextResponse = response.promise;
    await applyPlan({keep: [RANGE]});
    await applyPlan({revoke: [RANGE], revokeImmediately: true});
    assert.equal(target.released.length, 0);
    response.resolve('granted');
    await applyPlan({revoke: [RANGE], revokeImmediately: true});
    await applyPlan({revoke: [RANGE], revokeImmediately: true});
    assert.equal(target.released.length, 1);
  });

  it('are never sent again under a token that was refused', async () => {
    const {grants, clock, target, released, applyPlan} = startGrants();
    target.nextOutcome = 'fenced';
    await applyPlan({keep: [RANGE]});
    for (let second = 0; second < 5; second += 1) {
      await clock.advance(1_000);
      await applyPlan({keep: [RANGE]});
    }
    assert.equal(target.granted.length, 1);
    assert.equal(grants.holdsKey(5), false);
    assert.deepEqual(released, [{fromKey: 0, toKey: 99, handover: ''}]);
    await applyPlan({keep: [{...RANGE, epoch: 9}]});
    assert.ok(grants.holdsKey(5), 'a higher token is a new grant');
  });

  it('ignore a response that arrives after a new incarnation has started', async () => {
    const {grants, target, applyPlan} = startGrants();
    const response = createDeferred<GrantOutcome>();
    target.nextResponse = response.promise;
    await applyPlan({keep: [RANGE]});
    grants.reset();
    response.resolve('granted');
    await applyPlan({});
    assert.equal(grants.holdsKey(5), false);
  });

  it('carry the proof of the previous release only until the target holds the keys', async () => {
    const {clock, target, applyPlan} = startGrants();
    const grantWithProof = {...RANGE, handover: 'proof'};
    await applyPlan({keep: [grantWithProof]});
    await clock.advance(1_700);
    await applyPlan({keep: [grantWithProof]});
    assert.deepEqual(
      target.granted.map(({handover}) => handover),
      ['proof', ''],
    );
  });
});

describe('A hosted target with pushed grants', () => {
  it('gets keys as soon as the leader has assigned them, and releases them when it drains', async () => {
    const {hosted, target, sendHeartbeat, renewLease} = startHosted();
    sendHeartbeat({sequence: 1});
    await renewLease({});
    assert.ok(hosted.holdsKey(10));
    assert.equal(target.granted.length, 1);
    await renewLease({hasSuccessors: true});
    sendHeartbeat({sequence: 2, state: 'draining'});
    await settle();
    assert.equal(hosted.holdsKey(10), false);
    assert.deepEqual(hosted.released, [
      {life: 'i-1/1000', fromKey: 0, toKey: 99, handover: 'h-0-99', transferId: 0, epoch: 7},
    ]);
    assert.ok(hosted.mayHoldKeys, 'the leader still assigns the released keys to it');
  });

  it('gets no keys before its first heartbeat to this process', async () => {
    const {hosted, target, sendHeartbeat, renewLease} = startHosted();
    hosted.restore({
      targetId: 'i-1',
      life: 'i-1/1000',
      service: 's',
      state: 'ready',
      slots: 4,
    });
    await renewLease({});
    assert.equal(target.granted.length, 0);
    sendHeartbeat({sequence: 8});
    await settle();
    assert.equal(target.granted.length, 1);
  });

  it('gets no keys in a new incarnation under the tokens of the previous one', async () => {
    const {hosted, target, sendHeartbeat, renewLease} = startHosted();
    sendHeartbeat({sequence: 1});
    await renewLease({});
    sendHeartbeat({sequence: 1, targetId: 'i-2', startedAtMs: 2_000}, 'i-2');
    await settle();
    assert.equal(target.granted.length, 1);
    assert.equal(hosted.holdsKey(10), false);
  });
});

function startGrants() {
  const clock = new ManualClock();
  const released: unknown[] = [];
  const target = createScriptedTarget();
  const grants = new PushedGrants({
    api: target.api,
    clock,
    steadyClock: clock,
    logger: silentLogger,
    holdMs: MAX_GRANT_MS,
    minHoldMs: 300,
    clockRateMargin: 0.97,
    onReleased: (keys, handover) => released.push({...keys, handover}),
  });
  const applyPlan = async (plan: Partial<GrantPlan>): Promise<void> => {
    const leaseUntilMs = clock.nowMs() + LEASE_MS;
    grants.applyPlan({keep: [], revoke: [], revokeImmediately: false, leaseUntilMs, ...plan});
    await settle();
  };
  return {clock, grants, target, released, applyPlan};
}

function startHosted() {
  const clock = new ManualClock();
  const target = createScriptedTarget();
  const hosted = new HostedTarget({
    clock,
    steadyClock: clock,
    logger: silentLogger,
    heartbeatIntervalMs: 1_000,
    drainMs: 2_000,
    maxHoldMs: 10_000,
    keyCount: 1_000,
    grantApi: target.api,
  });
  const sendHeartbeat = (
    next: {
      sequence: number;
      targetId?: string;
      startedAtMs?: number;
      state?: 'ready' | 'draining';
    },
    listenerId?: string,
  ): void => {
    const defaults = {targetId: 'i-1', startedAtMs: 1_000, state: 'ready'} as const;
    const fields = {service: 's', slots: 4, coldLeftMs: 0, holds: [], freed: []};
    hosted.handleHeartbeat({...defaults, ...fields, ...next}, {listenerId});
  };
  const renewLease = async ({hasSuccessors = false}: {hasSuccessors?: boolean}): Promise<void> => {
    const ranges = [{...RANGE, ownerLife: 'i-1/1000'}];
    const sentAtMs = clock.nowMs();
    hosted.applyReportResponse({sentAtMs, leaseMs: 4_500, ranges, transfers: [], hasSuccessors});
    await settle();
  };
  return {clock, target, hosted, sendHeartbeat, renewLease};
}

function createScriptedTarget() {
  const script = {
    granted: [] as KeyGrantRequest[],
    released: [] as FencedKeyRange[],
    nextOutcome: 'granted' as GrantOutcome,
    nextResponse: undefined as Promise<GrantOutcome> | undefined,
    respondsToReleases: true,
    api: {
      grant: (request: KeyGrantRequest): Promise<GrantOutcome> => {
        script.granted.push(request);
        const response = script.nextResponse ?? Promise.resolve(script.nextOutcome);
        script.nextResponse = undefined;
        script.nextOutcome = 'granted';
        return response;
      },
      release: (request: FencedKeyRange): Promise<{handover: string} | undefined> => {
        script.released.push(request);
        const {fromKey, toKey} = request;
        const handover = `h-${fromKey}-${toKey}`;
        return Promise.resolve(script.respondsToReleases ? {handover} : undefined);
      },
    },
  };
  return script;
}

function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
