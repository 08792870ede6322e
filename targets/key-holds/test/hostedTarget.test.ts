import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {HostedTarget} from '@medlarlane/key-holds';
import type {Heartbeat} from '@medlarlane/key-holds';
import {ManualClock} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';

const KEY_COUNT = 1_000;
const HOLD_MAX_MS = 10_000;

describe('A hosted target', () => {
  it('gets its assigned keys for less time than the lease has left', () => {
    const {hosted, beat, lease} = startHosted();
    beat({sequence: 1});
    lease({leaseMs: 2_000});
    const grant = grantOf(beat({sequence: 2}));
    assert.equal(grant?.ranges.length, 1);
    assert.ok(grant.holdMs < 2_000);
    assert.ok(hosted.holdsKey(10));
  });

  it('holds no key after its grant ran out', async () => {
    const {hosted, clock, beat, lease} = startHosted();
    beat({sequence: 1});
    lease({leaseMs: 2_000});
    beat({sequence: 2});
    await clock.advance(2_100);
    assert.equal(hosted.holdsKey(10), false);
  });

  it('gets no grant from a lease that has run out', async () => {
    const {clock, beat, lease} = startHosted();
    beat({sequence: 1});
    lease({leaseMs: 500});
    await clock.advance(600);
    assert.equal(grantOf(beat({sequence: 2})), undefined);
  });

  it('ignores a late heartbeat of a former life and of an earlier sequence', () => {
    const {hosted, beat} = startHosted();
    beat({sequence: 5, startedAtMs: 2_000});
    assert.equal(beat({sequence: 9, startedAtMs: 1_000}).accepted, false);
    assert.equal(beat({sequence: 4, startedAtMs: 2_000}).accepted, false);
    assert.equal(hosted.incarnation, 'i-1/2000');
  });

  it('reports its former life as ended and holds nothing in a new one', () => {
    const {hosted, beat, lease} = startHosted();
    beat({sequence: 1, startedAtMs: 1_000});
    lease({leaseMs: 2_000});
    beat({sequence: 2, startedAtMs: 1_000});
    beat({sequence: 1, startedAtMs: 2_000});
    assert.deepEqual(hosted.endedIncarnations, ['i-1/1000']);
    assert.equal(hosted.holdsKey(10), false);
  });

  it('gets no grant in a new life from an answer to a report of the former one', async () => {
    const {clock, beat, lease} = startHosted();
    beat({sequence: 1, startedAtMs: 1_000});
    const reportedAtMs = clock.nowMs();
    await clock.advance(100);
    beat({sequence: 1, startedAtMs: 2_000});
    lease({leaseMs: 2_000, sentAtMs: reportedAtMs});
    assert.equal(grantOf(beat({sequence: 2, startedAtMs: 2_000})), undefined);
    lease({leaseMs: 2_000});
    assert.equal(grantOf(beat({sequence: 3, startedAtMs: 2_000}))?.ranges.length, 1);
  });

  it('goes on with the keys that it says it holds while a restarted daemon has no lease', async () => {
    const {hosted, clock, beat, lease} = startHosted();
    const holds = [{fromKey: 0, toKey: 99, epoch: 3}];
    beat({sequence: 7, holds});
    assert.ok(hosted.holdsKey(10));
    assert.equal(hosted.holdsKey(100), false);
    await clock.advance(900);
    beat({sequence: 8, holds: []});
    assert.equal(hosted.holdsKey(10), false);
    lease({leaseMs: 2_000});
    beat({sequence: 9, holds});
    await clock.advance(2_100);
    beat({sequence: 10, holds});
    assert.equal(hosted.holdsKey(10), false);
  });

  it('assumes nothing for a life that starts beside a running daemon', () => {
    const {hosted, beat} = startHosted();
    beat({sequence: 1, startedAtMs: 1_000});
    beat({sequence: 1, startedAtMs: 2_000, holds: [{fromKey: 0, toKey: 99, epoch: 3}]});
    assert.equal(hosted.holdsKey(10), false);
  });

  it('never gets back keys that it freed while they still count as its own', () => {
    const {hosted, beat, lease} = startHosted();
    beat({sequence: 1});
    lease({leaseMs: 2_000});
    beat({sequence: 2});
    const answer = beat({sequence: 3, freed: [{fromKey: 0, toKey: 99, handover: 'h'}]});
    assert.deepEqual(
      grantOf(answer)?.ranges.map(({fromKey, toKey}) => [fromKey, toKey]),
      [[100, KEY_COUNT - 1]],
    );
    assert.deepEqual(hosted.released, [
      {life: 'i-1/1000', fromKey: 0, toKey: 99, handover: 'h', transferId: 0},
    ]);
  });

  it('gives up all keys when it drains and another target can take them', () => {
    const {beat, lease} = startHosted();
    beat({sequence: 1});
    lease({leaseMs: 2_000, hasSuccessors: true});
    beat({sequence: 2});
    assert.deepEqual(grantOf(beat({sequence: 3, state: 'draining'}))?.ranges, []);
  });

  it('keeps its keys when it drains and nobody can take them', () => {
    const {beat, lease} = startHosted();
    beat({sequence: 1});
    lease({leaseMs: 2_000, hasSuccessors: false});
    assert.equal(grantOf(beat({sequence: 2, state: 'draining'}))?.ranges.length, 1);
  });

  it('gets no grant after a disclaim until a later report is answered', async () => {
    const {hosted, clock, beat, lease} = startHosted();
    beat({sequence: 1});
    const sentAtMs = clock.nowMs();
    await clock.advance(10);
    hosted.invalidateLease();
    lease({leaseMs: 2_000, sentAtMs});
    assert.equal(grantOf(beat({sequence: 2})), undefined);
    lease({leaseMs: 2_000});
    assert.equal(grantOf(beat({sequence: 3}))?.ranges.length, 1);
  });

  it('may hold keys of an earlier daemon process for the longest grant', async () => {
    const {hosted, clock, beat} = startHosted();
    beat({sequence: 7});
    assert.equal(hosted.mayHoldKeys, true);
    await clock.advance(3_400);
    assert.equal(hosted.mayHoldKeys, false);
  });

  it('may still hold keys when the time of day steps forward, but serves none of them', async () => {
    const {hosted, clock, steps, beat, lease} = startHosted();
    await clock.advance(3_400);
    beat({sequence: 1});
    lease({leaseMs: 4_000});
    beat({sequence: 2});
    steps.aheadMs = 5_000;
    assert.equal(hosted.holdsKey(10), false);
    assert.equal(hosted.mayHoldKeys, true);
    assert.equal(hosted.state, 'ready');
  });

  it('leaves out the keys of a transfer that carry the wanted part of the requests', () => {
    const {hosted, beat, lease} = startHosted();
    beat({sequence: 1});
    lease({leaseMs: 2_000});
    beat({sequence: 2});
    // Five busy neighbours at the low end and as much load spread over the rest.
    for (let key = 0; key < 5; key += 1) for (let n = 0; n < 20; n += 1) hosted.recordRequest(key);
    for (let key = 500; key < 600; key += 1) hosted.recordRequest(key);
    lease({leaseMs: 2_000, transfers: [{transferId: 4, share: 0.3}]});
    const ranges = grantOf(beat({sequence: 3}))?.ranges ?? [];
    assert.deepEqual(
      ranges.map(({fromKey}) => fromKey),
      [3],
    );
    beat({sequence: 4, freed: [{fromKey: 0, toKey: 2, handover: 'h'}]});
    assert.equal(hosted.released[0]?.transferId, 4);
  });

  it('goes on with the target of its former process until the first heartbeat', async () => {
    const {hosted, beat, lease} = startHosted();
    hosted.restore({
      targetId: 'i-1',
      life: 'i-1/1000',
      service: 'wallboard',
      state: 'ready',
      slots: 8,
    });
    lease({leaseMs: 2_000});
    assert.equal(hosted.acceptsRequests, true);
    assert.equal(hosted.holdsKey(10), true);
    beat({sequence: 9, state: 'draining'});
    assert.equal(hosted.holdsKey(10), false);
    assert.equal(hosted.state, 'draining');
  });

  it('takes no new work shortly before the drain time is over', async () => {
    const {hosted, clock, beat} = startHosted();
    beat({sequence: 1});
    hosted.startDraining('i-1');
    assert.equal(hosted.acceptsRequests, true);
    await clock.advance(1_800);
    assert.equal(hosted.acceptsRequests, false);
  });
});

function grantOf(answer: ReturnType<HostedTarget['handleHeartbeat']>) {
  return answer.accepted ? answer.grant : undefined;
}

function startHosted() {
  const clock = new ManualClock();
  const steps = {aheadMs: 0};
  const hosted = new HostedTarget({
    clock: {
      nowMs: () => clock.nowMs() + steps.aheadMs,
      wallMs: () => clock.wallMs(),
      sleep: (durationMs, opts) => clock.sleep(durationMs, opts),
    },
    steadyClock: clock,
    logger: silentLogger,
    heartbeatIntervalMs: 900,
    drainMs: 2_000,
    maxHoldMs: HOLD_MAX_MS,
    keyCount: KEY_COUNT,
  });
  const beat = (fields: Partial<Heartbeat>) =>
    hosted.handleHeartbeat({
      targetId: 'i-1',
      startedAtMs: 1_000,
      service: 'wallboard',
      state: 'ready',
      slots: 8,
      coldLeftMs: 0,
      sequence: 1,
      holds: [],
      freed: [],
      ...fields,
    });
  const lease = (fields: Partial<Parameters<HostedTarget['applyReportResponse']>[0]>): void =>
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
  return {clock, steps, hosted, beat, lease};
}
