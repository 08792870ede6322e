import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {HostedTarget} from '@medlarlane/key-holds';
import type {Heartbeat, HostedTargetOptions} from '@medlarlane/key-holds';
import {ManualClock} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';

const KEY_COUNT = 1_000;
const MAX_HOLD_MS = 10_000;
/** Wall-clock time at which a test and the incarnation in its heartbeats start. */
const STARTED_AT_MS = 1_000;

describe('A hosted target', () => {
  it('gets its assigned keys for less time than the lease has left', () => {
    const {hosted, sendHeartbeat, renewLease} = startHosted();
    sendHeartbeat({sequence: 1});
    renewLease({leaseMs: 2_000});
    const grant = acceptedGrantOf(sendHeartbeat({sequence: 2}));
    assert.equal(grant?.ranges.length, 1);
    assert.ok(grant.holdMs < 2_000);
    assert.ok(hosted.holdsKey(10));
  });

  it('holds no key after its grant has expired', async () => {
    const {hosted, clock, sendHeartbeat, renewLease} = startHosted();
    sendHeartbeat({sequence: 1});
    renewLease({leaseMs: 2_000});
    sendHeartbeat({sequence: 2});
    await clock.advance(2_100);
    assert.equal(hosted.holdsKey(10), false);
  });

  it('gets no grant from a lease that has expired', async () => {
    const {clock, sendHeartbeat, renewLease} = startHosted();
    sendHeartbeat({sequence: 1});
    renewLease({leaseMs: 500});
    await clock.advance(600);
    assert.equal(acceptedGrantOf(sendHeartbeat({sequence: 2})), undefined);
  });

  it('ignores a late heartbeat of a previous incarnation or with an earlier sequence', () => {
    const {hosted, sendHeartbeat} = startHosted();
    sendHeartbeat({sequence: 5, startedAtMs: 2_000});
    assert.equal(sendHeartbeat({sequence: 9, startedAtMs: 1_000}).accepted, false);
    assert.equal(sendHeartbeat({sequence: 4, startedAtMs: 2_000}).accepted, false);
    assert.equal(hosted.incarnation, 'i-1/2000');
  });

  // Guards against the case review/11: a heartbeat of another writer, which can state any start, ended the target.
  it('is not replaced by another incarnation while nothing shows that it has ended', async () => {
    for (const targetId of ['i-1', 'i-other']) {
      const {hosted, clock, sendHeartbeat, renewLease} = startHosted();
      sendHeartbeat({sequence: 1});
      renewLease({});
      for (let sequence = 2; sequence < 9; sequence += 1) {
        for (const step of [0, 1]) {
          const claim = {targetId, startedAtMs: 2_000, sequence: 2 * sequence + step};
          assert.equal(sendHeartbeat(claim).accepted, false);
        }
        await clock.advance(900);
        renewLease({});
        assert.ok(sendHeartbeat({sequence}).accepted);
        assert.ok(hosted.holdsKey(10));
      }
      assert.deepEqual([hosted.incarnation, hosted.endedIncarnations], ['i-1/1000', []]);
    }
  });

  it('is replaced at once by another target if that one listens at the address, and else not', () => {
    const {hosted, sendHeartbeat} = startHosted();
    sendHeartbeat({sequence: 1});
    const claim = {targetId: 'i-2', startedAtMs: 2_000};
    assert.equal(sendHeartbeat(claim, {listenerId: 'i-1'}).accepted, false);
    assert.equal(sendHeartbeat(claim, {listenerId: 'i-3'}).accepted, false);
    assert.equal(sendHeartbeat(claim, {listenerId: 'i-2'}).accepted, true);
    assert.equal(hosted.incarnation, 'i-2/2000');
  });

  // Guards against an entry that a restarted daemon reads before the first heartbeat of its target.
  it('replaces an incarnation with a later start that does not listen at the address', () => {
    const {hosted, sendHeartbeat} = startHosted();
    sendHeartbeat({targetId: 'i-other', startedAtMs: 90_000});
    assert.equal(sendHeartbeat({sequence: 7}).accepted, false);
    assert.equal(sendHeartbeat({sequence: 8}, {listenerId: 'i-1'}).accepted, true);
    assert.equal(hosted.incarnation, 'i-1/1000');
  });

  // Guards against an entry under the target's id and with a later start that a restarted daemon reads first.
  it('replaces an incarnation under its id that is not heard again', async () => {
    const {hosted, clock, sendHeartbeat} = startHosted();
    sendHeartbeat({startedAtMs: 90_000});
    for (let sequence = 7; sequence < 12; sequence += 1) {
      sendHeartbeat({sequence});
      await clock.advance(900);
    }
    assert.equal(hosted.incarnation, 'i-1/1000');
  });

  it('is replaced by a restart under its id when it can hold no keys any more', async () => {
    const {hosted, clock, sendHeartbeat, renewLease} = startHosted();
    sendHeartbeat({sequence: 4});
    renewLease({});
    sendHeartbeat({sequence: 5});
    for (const sequence of [1, 2, 3]) {
      assert.equal(sendHeartbeat({sequence, startedAtMs: 2_000}).accepted, false);
      await clock.advance(900);
    }
    await clock.advance(900);
    assert.ok(sendHeartbeat({sequence: 9, startedAtMs: 2_000}).accepted);
    assert.equal(hosted.incarnation, 'i-1/2000');
  });

  it('is replaced at once when its end was noticed', () => {
    const {hosted, sendHeartbeat} = startHosted();
    sendHeartbeat({sequence: 1});
    hosted.markEnded();
    assert.ok(sendHeartbeat({sequence: 1, startedAtMs: 2_000}).accepted);
  });

  // Guards against incident target-limit-ignored: what a target states in its responses was not read.
  it('keeps the rate limit of its incarnation until a response names none', () => {
    const {hosted, sendHeartbeat, startSuccessor} = startHosted();
    sendHeartbeat({sequence: 1, startedAtMs: 1_000});
    hosted.recordNotice('i-1/1000', {rateLimitRps: 30.1, isLeaving: false});
    sendHeartbeat({sequence: 2, startedAtMs: 1_000});
    assert.equal(hosted.rateLimit?.rps, 30.1);
    hosted.recordNotice('i-1/1000', {rateLimitRps: undefined, isLeaving: false});
    assert.equal(hosted.rateLimit?.rps, undefined);
    hosted.recordNotice('i-1/1000', {rateLimitRps: 12, isLeaving: false});
    startSuccessor({startedAtMs: 2_000});
    assert.equal(hosted.rateLimit?.rps, undefined);
    hosted.recordNotice('i-1/1000', {rateLimitRps: 12, isLeaving: false});
    assert.equal(hosted.rateLimit?.rps, undefined);
  });

  it('reports for how long it has named rate limits, however these change', async () => {
    const {hosted, clock, sendHeartbeat} = startHosted();
    sendHeartbeat({sequence: 1, startedAtMs: 1_000});
    hosted.recordNotice('i-1/1000', {rateLimitRps: 30, isLeaving: false});
    await clock.advance(700);
    hosted.recordNotice('i-1/1000', {rateLimitRps: 20, isLeaving: false});
    assert.deepEqual(hosted.rateLimit, {rps: 20, ageMs: 700});
  });

  it('knows the rate limit after a restart of its daemon', () => {
    const entry = {
      targetId: 'i-1',
      life: 'i-1/1000',
      service: 'wallboard',
      state: 'ready',
      slots: 8,
      rateLimitRps: 12.5,
    } as const;
    const {hosted} = startHosted();
    hosted.restore(entry);
    assert.equal(hosted.rateLimit?.rps, 12.5);
    const heartbeatFirst = startHosted();
    heartbeatFirst.sendHeartbeat({sequence: 9, startedAtMs: 1_000});
    heartbeatFirst.hosted.restore(entry);
    assert.equal(heartbeatFirst.hosted.rateLimit?.rps, 12.5);
    const responseFirst = startHosted();
    responseFirst.sendHeartbeat({sequence: 9, startedAtMs: 1_000});
    responseFirst.hosted.recordNotice('i-1/1000', {rateLimitRps: undefined, isLeaving: false});
    responseFirst.hosted.restore(entry);
    assert.equal(responseFirst.hosted.rateLimit?.rps, undefined);
  });

  it('follows a target that was not heard for longer than a day', () => {
    const {hosted, sendHeartbeat} = startHosted();
    sendHeartbeat({sequence: 5});
    sendHeartbeat({sequence: 300_000});
    assert.equal(hosted.lastHeartbeat?.sequence, 5);
    sendHeartbeat({sequence: 300_001});
    assert.equal(hosted.lastHeartbeat?.sequence, 300_001);
  });

  // Guards against incident target-limit-ignored: only heartbeats were read for a target that leaves.
  it('drains from the first announcement on, whether in a response, a heartbeat or a removal', async () => {
    const announcements: Array<(fixture: ReturnType<typeof startHosted>) => void> = [
      ({hosted}) => hosted.recordNotice('i-1/1000', {rateLimitRps: undefined, isLeaving: true}),
      ({sendHeartbeat}) => void sendHeartbeat({sequence: 2, state: 'draining'}),
      ({hosted}) => hosted.startDraining('i-1'),
    ];
    for (const announce of announcements) {
      const fixture = startHosted();
      const {hosted, clock, sendHeartbeat, startSuccessor} = fixture;
      sendHeartbeat({sequence: 1});
      hosted.recordNotice('i-1/1000', {rateLimitRps: undefined, isLeaving: false});
      announce(fixture);
      assert.deepEqual([hosted.state, hosted.acceptsRequests], ['draining', true]);
      await clock.advance(1_000);
      for (const announceAgain of announcements) announceAgain(fixture);
      hosted.recordNotice('i-1/1000', {rateLimitRps: undefined, isLeaving: false});
      sendHeartbeat({sequence: 3, state: 'ready'});
      await clock.advance(800);
      assert.deepEqual([hosted.state, hosted.acceptsRequests], ['draining', false]);
      startSuccessor({startedAtMs: 5_000});
      assert.deepEqual([hosted.state, hosted.acceptsRequests], ['ready', true]);
    }
  });

  // A daemon that is restarted while the control leader cannot be reached knows nothing of its target.
  it('is used cautiously until it or the leader has told a restarted daemon of limits', () => {
    const toldByTarget = startHosted();
    toldByTarget.sendHeartbeat({sequence: 9});
    assert.ok(toldByTarget.hosted.permittedRps! <= 10);
    toldByTarget.hosted.recordNotice('i-1/1000', {rateLimitRps: undefined, isLeaving: false});
    assert.equal(toldByTarget.hosted.permittedRps, undefined);
    const toldByLeader = startHosted();
    toldByLeader.sendHeartbeat({sequence: 9});
    toldByLeader.renewLease({});
    assert.equal(toldByLeader.hosted.permittedRps, undefined);
  });

  // Guards against a flooded cold target: only the start of an incarnation was read as cold.
  it('is bounded while cold by its newest statement, however that came', async () => {
    const bound = {durationMs: 3_000, rps: 12, maxPerSecond: 19};
    const {hosted, clock, sendHeartbeat, startSuccessor, renewLease} = startHosted({
      coldBound: () => bound,
    });
    sendHeartbeat({sequence: 1, coldLeftMs: 0});
    renewLease({});
    assert.deepEqual([hosted.permittedRps, hosted.coldBound], [undefined, undefined]);
    sendHeartbeat({sequence: 2, coldLeftMs: 1_000});
    assert.deepEqual([hosted.permittedRps, hosted.coldBound], [12, bound]);
    await clock.advance(600);
    assert.deepEqual(hosted.capacityLimit, {rps: 12, ageMs: 0});
    hosted.recordHealth('i-1', 0);
    assert.equal(hosted.coldBound, undefined);
    hosted.recordHealth('i-2', 900);
    assert.equal(hosted.coldBound, undefined);
    hosted.recordHealth('i-1', 900);
    sendHeartbeat({sequence: 3, coldLeftMs: 0});
    assert.equal(hosted.coldBound, undefined);
    startSuccessor({startedAtMs: 5_000, coldLeftMs: undefined});
    await clock.advance(2_900);
    assert.equal(hosted.coldBound, bound);
    await clock.advance(300);
    assert.equal(hosted.coldBound, undefined);
    hosted.assumeCold('evacuation');
    await clock.advance(60_000);
    assert.equal(hosted.coldBound, bound);
  });

  it('is assumed to be cold after a restart of its daemon until it states the contrary', () => {
    const bound = {durationMs: 3_000, rps: 12, maxPerSecond: 19};
    const {hosted, sendHeartbeat} = startHosted({coldBound: () => bound});
    hosted.restore({
      targetId: 'i-1',
      life: 'i-1/1000',
      service: 'wallboard',
      state: 'ready',
      slots: 8,
    });
    assert.equal(hosted.coldBound, bound);
    sendHeartbeat({sequence: 40, coldLeftMs: 0});
    assert.equal(hosted.coldBound, undefined);
  });

  it('accepts nothing if its first response to a restarted daemon states that it is leaving', () => {
    const {hosted, sendHeartbeat} = startHosted();
    sendHeartbeat({sequence: 9});
    hosted.recordNotice('i-1/1000', {rateLimitRps: undefined, isLeaving: true});
    assert.deepEqual([hosted.state, hosted.acceptsRequests], ['draining', false]);
  });

  it('accepts nothing after a restart of its daemon if it was draining before', () => {
    const entry = {targetId: 'i-1', service: 'vault', slots: 8, state: 'draining'} as const;
    const restarted = startHosted();
    restarted.hosted.restore({...entry, life: 'i-1/1000'});
    restarted.sendHeartbeat({sequence: 9, startedAtMs: 1_000});
    assert.equal(restarted.hosted.acceptsRequests, false);
    const heartbeatFirst = startHosted();
    heartbeatFirst.sendHeartbeat({sequence: 9, startedAtMs: 1_000});
    heartbeatFirst.hosted.restore({...entry, life: 'i-1/1000'});
    assert.equal(heartbeatFirst.hosted.acceptsRequests, false);
    const nextIncarnation = startHosted();
    nextIncarnation.sendHeartbeat({sequence: 1, startedAtMs: 2_000});
    nextIncarnation.hosted.restore({...entry, life: 'i-1/1000'});
    assert.equal(nextIncarnation.hosted.acceptsRequests, true);
  });

  it('reports its previous incarnation as ended and holds no keys in a new one', () => {
    const {hosted, sendHeartbeat, startSuccessor, renewLease} = startHosted();
    sendHeartbeat({sequence: 1, startedAtMs: 1_000});
    renewLease({leaseMs: 2_000});
    sendHeartbeat({sequence: 2, startedAtMs: 1_000});
    startSuccessor({startedAtMs: 2_000});
    assert.deepEqual(hosted.endedIncarnations, ['i-1/1000']);
    assert.equal(hosted.holdsKey(10), false);
  });

  it('gets no grant in a new incarnation from a response to a report of the previous one', async () => {
    const {clock, sendHeartbeat, startSuccessor, renewLease} = startHosted();
    sendHeartbeat({sequence: 1, startedAtMs: 1_000});
    const reportedAtMs = clock.nowMs();
    await clock.advance(100);
    const successor = startSuccessor({startedAtMs: 2_000});
    renewLease({leaseMs: 2_000, sentAtMs: reportedAtMs});
    assert.equal(acceptedGrantOf(sendHeartbeat({...successor, sequence: 2})), undefined);
    renewLease({leaseMs: 2_000});
    assert.equal(acceptedGrantOf(sendHeartbeat({...successor, sequence: 3}))?.ranges.length, 1);
  });

  it('keeps serving the keys that it reports as held while a restarted daemon has no lease', async () => {
    const {hosted, clock, sendHeartbeat, renewLease} = startHosted();
    const holds = [{fromKey: 0, toKey: 99, epoch: 3}];
    sendHeartbeat({sequence: 7, holds});
    assert.ok(hosted.holdsKey(10));
    assert.equal(hosted.holdsKey(100), false);
    await clock.advance(900);
    sendHeartbeat({sequence: 8, holds: []});
    assert.equal(hosted.holdsKey(10), false);
    renewLease({leaseMs: 2_000});
    sendHeartbeat({sequence: 9, holds});
    await clock.advance(2_100);
    sendHeartbeat({sequence: 10, holds});
    assert.equal(hosted.holdsKey(10), false);
  });

  it('does not use reported holds of an incarnation that starts while the daemon runs', () => {
    const {hosted, sendHeartbeat, startSuccessor} = startHosted();
    sendHeartbeat({sequence: 1, startedAtMs: 1_000});
    startSuccessor({startedAtMs: 2_000, holds: [{fromKey: 0, toKey: 99, epoch: 3}]});
    assert.equal(hosted.holdsKey(10), false);
  });

  it('is not granted released keys again while they are still assigned to it', () => {
    const {hosted, sendHeartbeat, renewLease} = startHosted();
    sendHeartbeat({sequence: 1});
    renewLease({leaseMs: 2_000});
    sendHeartbeat({sequence: 2});
    const response = sendHeartbeat({sequence: 3, freed: [{fromKey: 0, toKey: 99, handover: 'h'}]});
    assert.deepEqual(
      acceptedGrantOf(response)?.ranges.map(({fromKey, toKey}) => [fromKey, toKey]),
      [[100, KEY_COUNT - 1]],
    );
    assert.deepEqual(hosted.released, [
      {life: 'i-1/1000', fromKey: 0, toKey: 99, handover: 'h', transferId: 0, epoch: 3},
    ]);
  });

  it('releases all keys when it drains and another target can take them over', () => {
    const {sendHeartbeat, renewLease} = startHosted();
    sendHeartbeat({sequence: 1});
    renewLease({leaseMs: 2_000, hasSuccessors: true});
    sendHeartbeat({sequence: 2});
    assert.deepEqual(acceptedGrantOf(sendHeartbeat({sequence: 3, state: 'draining'}))?.ranges, []);
  });

  it('hands its keys over while its zone is evacuated and serves them again in the same incarnation', () => {
    const {hosted, sendHeartbeat, renewLease} = startHosted();
    sendHeartbeat({sequence: 1});
    renewLease({});
    sendHeartbeat({sequence: 2});
    let reports = 0;
    hosted.onChange = () => (reports += 1);
    hosted.setEvacuated(true);
    hosted.setEvacuated(true);
    assert.equal(reports, 1);
    assert.deepEqual([hosted.acceptsRequests, hosted.grantDueInMs(10)], [false, undefined]);
    assert.deepEqual(acceptedGrantOf(sendHeartbeat({sequence: 3}))?.ranges, []);
    sendHeartbeat({sequence: 4, freed: [{fromKey: 0, toKey: KEY_COUNT - 1, handover: 'h'}]});
    assert.equal(hosted.released.length, 1);
    hosted.setEvacuated(false);
    assert.deepEqual([hosted.state, hosted.acceptsRequests], ['ready', true]);
    // Still the assignment that the keys were released from.
    renewLease({});
    assert.deepEqual(acceptedGrantOf(sendHeartbeat({sequence: 5}))?.ranges ?? [], []);
    const keys = {fromKey: 0, toKey: KEY_COUNT - 1, handover: 'h'};
    renewLease({ranges: [{...keys, ownerLife: 'i-1/1000', epoch: 4}]});
    assert.deepEqual(hosted.released, []);
    assert.equal(acceptedGrantOf(sendHeartbeat({sequence: 6}))?.ranges.length, 1);
  });

  it('keeps its keys in an evacuation while no other target can take them over', () => {
    const {hosted, sendHeartbeat, renewLease} = startHosted();
    sendHeartbeat({sequence: 1});
    renewLease({hasSuccessors: false});
    hosted.setEvacuated(true);
    assert.equal(acceptedGrantOf(sendHeartbeat({sequence: 2}))?.ranges.length, 1);
    assert.equal(hosted.acceptsRequests, false);
  });

  // Guards against the quarantine of harmless requests when the power of an evacuated zone is cut.
  it('does not count as crashed when it ends during an evacuation', () => {
    const {hosted, sendHeartbeat, startSuccessor} = startHosted();
    const crashes: string[] = [];
    hosted.onCrash = (incarnation) => crashes.push(incarnation);
    sendHeartbeat({sequence: 1});
    hosted.setEvacuated(true);
    hosted.markEnded();
    sendHeartbeat({sequence: 1, startedAtMs: 2_000});
    startSuccessor({startedAtMs: 3_000});
    assert.deepEqual([crashes, hosted.acceptsRequests], [[], false]);
    hosted.setEvacuated(false);
    hosted.markEnded();
    assert.deepEqual(crashes, ['i-2/3000']);
  });

  // Guards against requests to an evacuated target between a restart of its daemon and the first response
  // of the leader.
  it('accepts nothing until the leader was heard if its zone may be evacuated', () => {
    const {hosted, sendHeartbeat, renewLease} = startHosted({awaitsLeader: true});
    sendHeartbeat({sequence: 9});
    assert.equal(hosted.acceptsRequests, false);
    renewLease({});
    assert.equal(hosted.acceptsRequests, true);
  });

  it('keeps its keys when it drains and no other target can take them over', () => {
    const {sendHeartbeat, renewLease} = startHosted();
    sendHeartbeat({sequence: 1});
    renewLease({leaseMs: 2_000, hasSuccessors: false});
    assert.equal(
      acceptedGrantOf(sendHeartbeat({sequence: 2, state: 'draining'}))?.ranges.length,
      1,
    );
  });

  it('gets no grant after its lease is invalidated until a later report gets a response', async () => {
    const {hosted, clock, sendHeartbeat, renewLease} = startHosted();
    sendHeartbeat({sequence: 1});
    const sentAtMs = clock.nowMs();
    await clock.advance(10);
    hosted.invalidateLease();
    renewLease({leaseMs: 2_000, sentAtMs});
    assert.equal(acceptedGrantOf(sendHeartbeat({sequence: 2})), undefined);
    renewLease({leaseMs: 2_000});
    assert.equal(acceptedGrantOf(sendHeartbeat({sequence: 3}))?.ranges.length, 1);
  });

  it('may hold keys granted by a previous daemon process for the maximum grant duration', async () => {
    const {hosted, clock, sendHeartbeat} = startHosted();
    sendHeartbeat({sequence: 7});
    assert.equal(hosted.mayHoldKeys, true);
    await clock.advance(3_400);
    assert.equal(hosted.mayHoldKeys, false);
  });

  it('may still hold keys when the clock steps forward, but serves none of them', async () => {
    const {hosted, clock, clockOffset, sendHeartbeat, renewLease} = startHosted();
    await clock.advance(3_400);
    sendHeartbeat({sequence: 1});
    renewLease({leaseMs: 4_000});
    sendHeartbeat({sequence: 2});
    clockOffset.aheadMs = 5_000;
    assert.equal(hosted.holdsKey(10), false);
    assert.equal(hosted.mayHoldKeys, true);
    assert.equal(hosted.state, 'ready');
  });

  it('excludes the keys of a transfer that carry the requested fraction of the load', () => {
    const {hosted, sendHeartbeat, renewLease} = startHosted();
    sendHeartbeat({sequence: 1});
    renewLease({leaseMs: 2_000});
    sendHeartbeat({sequence: 2});
    // Five busy adjacent keys at the low end and the same load spread over the rest.
    for (let key = 0; key < 5; key += 1) for (let n = 0; n < 20; n += 1) hosted.recordRequest(key);
    for (let key = 500; key < 600; key += 1) hosted.recordRequest(key);
    renewLease({leaseMs: 2_000, transfers: [{transferId: 4, share: 0.3}]});
    const ranges = acceptedGrantOf(sendHeartbeat({sequence: 3}))?.ranges ?? [];
    assert.deepEqual(
      ranges.map(({fromKey}) => fromKey),
      [3],
    );
    sendHeartbeat({sequence: 4, freed: [{fromKey: 0, toKey: 2, handover: 'h'}]});
    assert.equal(hosted.released[0]?.transferId, 4);
  });

  it('keeps serving the target of the previous daemon process until the first heartbeat', async () => {
    const {hosted, sendHeartbeat, renewLease} = startHosted();
    hosted.restore({
      targetId: 'i-1',
      life: 'i-1/1000',
      service: 'wallboard',
      state: 'ready',
      slots: 8,
    });
    renewLease({leaseMs: 2_000});
    assert.equal(hosted.acceptsRequests, true);
    assert.equal(hosted.holdsKey(10), true);
    sendHeartbeat({sequence: 9, state: 'draining'});
    assert.equal(hosted.holdsKey(10), false);
    assert.equal(hosted.state, 'draining');
  });

  // Guards against a removal that was acknowledged and then forgotten: the daemon had just been restarted and
  // took its leaving target for ready again.
  it('drains a target that announced its removal before the daemon knew it', async () => {
    const entry = {
      targetId: 'i-1',
      life: `i-1/${STARTED_AT_MS}`,
      service: 'wallboard',
      state: 'ready',
      slots: 8,
    } as const;
    const learn: Array<(fixture: ReturnType<typeof startHosted>) => void> = [
      ({hosted}) => hosted.restore(entry),
      ({sendHeartbeat}) => void sendHeartbeat({sequence: 7}),
    ];
    for (const learnTarget of learn) {
      const fixture = startHosted();
      const {hosted, clock, sendHeartbeat} = fixture;
      let changes = 0;
      hosted.onChange = () => (changes += 1);
      hosted.startDraining('i-1');
      await clock.advance(1_000);
      learnTarget(fixture);
      assert.deepEqual([hosted.state, hosted.acceptsRequests, changes], ['draining', true, 1]);
      await clock.advance(800);
      assert.equal(hosted.acceptsRequests, false, 'the drain has lasted since the announcement');
      const startedAtMs = clock.wallMs();
      sendHeartbeat({sequence: 1, startedAtMs});
      await clock.advance(4_000);
      sendHeartbeat({sequence: 2, startedAtMs});
      assert.equal(
        hosted.state,
        'ready',
        'an incarnation that started later has announced nothing',
      );
    }
  });

  // Guards against a drain that starts anew with each daemon process: the previous one may have acknowledged it.
  it('accepts no requests for a target that drains when the daemon first hears from it', () => {
    const {hosted, sendHeartbeat} = startHosted();
    sendHeartbeat({sequence: 7, state: 'draining'});
    assert.deepEqual([hosted.state, hosted.acceptsRequests], ['draining', false]);
  });

  it('accepts no new requests shortly before the drain timeout', async () => {
    const {hosted, clock, sendHeartbeat} = startHosted();
    sendHeartbeat({sequence: 1});
    hosted.startDraining('i-1');
    assert.equal(hosted.acceptsRequests, true);
    await clock.advance(1_800);
    assert.equal(hosted.acceptsRequests, false);
  });
});

function acceptedGrantOf(response: ReturnType<HostedTarget['handleHeartbeat']>) {
  return response.accepted ? response.grant : undefined;
}

function startHosted(opts: Pick<HostedTargetOptions, 'coldBound' | 'awaitsLeader'> = {}) {
  const clock = new ManualClock(STARTED_AT_MS);
  const clockOffset = {aheadMs: 0};
  const hosted = new HostedTarget({
    clock: {
      nowMs: () => clock.nowMs() + clockOffset.aheadMs,
      wallMs: () => clock.wallMs(),
      sleep: (durationMs, opts) => clock.sleep(durationMs, opts),
    },
    steadyClock: clock,
    logger: silentLogger,
    heartbeatIntervalMs: 900,
    drainMs: 2_000,
    maxHoldMs: MAX_HOLD_MS,
    keyCount: KEY_COUNT,
    ...opts,
  });
  const sendHeartbeat = (
    fields: Partial<Heartbeat>,
    opts: Parameters<HostedTarget['handleHeartbeat']>[1] = {},
  ) =>
    hosted.handleHeartbeat(
      {
        targetId: 'i-1',
        startedAtMs: STARTED_AT_MS,
        service: 'wallboard',
        state: 'ready',
        slots: 8,
        coldLeftMs: 0,
        sequence: 1,
        holds: [],
        freed: [],
        ...fields,
      },
      opts,
    );
  /** Sends the first heartbeat of another target, which now listens at the address. */
  const startSuccessor = (fields: Partial<Heartbeat>): Partial<Heartbeat> => {
    const successor = {targetId: 'i-2', ...fields};
    assert.ok(sendHeartbeat(successor, {listenerId: 'i-2'}).accepted);
    return successor;
  };
  const renewLease = (fields: Partial<Parameters<HostedTarget['applyReportResponse']>[0]>): void =>
    hosted.applyReportResponse({
      sentAtMs: clock.nowMs(),
      leaseMs: 2_000,
      ranges: [
        {
          fromKey: 0,
          toKey: KEY_COUNT - 1,
          ownerLife: hosted.incarnation ?? '',
          epoch: 3,
          handover: '',
        },
      ],
      transfers: [],
      hasSuccessors: true,
      ...fields,
    });
  return {clock, clockOffset, hosted, sendHeartbeat, startSuccessor, renewLease};
}
