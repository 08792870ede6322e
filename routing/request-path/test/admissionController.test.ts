import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {MedlarlaneError} from '@medlarlane/errors';
import {ManualClock} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';
import {PoisonTable} from '@medlarlane/poison';
import {AdmissionController} from '@medlarlane/request-path';
import type {Offer, RunResult, TargetClient} from '@medlarlane/request-path';

const OFFER: Offer = {
  requestId: 'r',
  service: 'wallboard',
  life: 'a/1',
  route: 'schedule',
  priority: 1,
  targetLeftMs: 300,
  deadlineLeftMs: 1_200,
  acceptLate: true,
  maxWaitMs: 1_000,
  key: 7,
  callerService: 'desk',
};
const FRAME = {method: 'GET', path: '/', headers: [], body: Buffer.alloc(0)};
const ANSWERED: RunResult = {
  kind: 'answered',
  answer: {status: 200, headers: [], body: Buffer.alloc(0)},
};

describe('AdmissionController with a pending grant', () => {
  interface Row {
    readonly name: string;
    readonly dueInMs: number | undefined;
    readonly offer: Partial<Offer>;
    readonly outcome: 'admitted' | 'NOT_OWNER';
  }
  const ROWS: readonly Row[] = [
    {name: 'waits for a grant that is due soon', dueInMs: 90, offer: {}, outcome: 'admitted'},
    {
      name: 'waits longer if a late response is acceptable',
      dueInMs: 380,
      offer: {},
      outcome: 'admitted',
    },
    {
      name: 'waits for most of a heartbeat interval if the latency target can still be met',
      dueInMs: 880,
      offer: {targetLeftMs: 2_000, deadlineLeftMs: 2_100},
      outcome: 'admitted',
    },
    {
      name: 'refuses immediately if a late response is not acceptable',
      dueInMs: 380,
      offer: {acceptLate: false},
      outcome: 'NOT_OWNER',
    },
    {
      name: 'refuses immediately if the grant would take most of the time left',
      dueInMs: 380,
      offer: {deadlineLeftMs: 900},
      outcome: 'NOT_OWNER',
    },
    {
      name: 'refuses immediately if no grant is planned',
      dueInMs: undefined,
      offer: {},
      outcome: 'NOT_OWNER',
    },
  ];
  for (const {name, dueInMs, offer, outcome} of ROWS) {
    it(name, async () => {
      const {controller, clock} = startController(dueInMs);
      const admitted = controller.admit({...OFFER, ...offer}, new AbortController().signal).then(
        () => 'admitted',
        (error: MedlarlaneError) => error.code,
      );
      await new Promise((resolve) => setImmediate(resolve));
      await clock.advance(dueInMs ?? 0);
      assert.equal(await admitted, outcome);
    });
  }

  it('subtracts the wait for a grant from the time left', async () => {
    const {controller, clock, deadlinesLeftMs} = startController(380);
    const admitted = controller.admit(OFFER, new AbortController().signal);
    await new Promise((resolve) => setImmediate(resolve));
    await clock.advance(380);
    await (await admitted).run(FRAME, new AbortController().signal);
    assert.ok(deadlinesLeftMs[0]! <= OFFER.deadlineLeftMs - 380, `${deadlinesLeftMs[0]} ms left`);
  });

  it('releases the slot if the target ended before the request was sent', async () => {
    const {controller, targetState} = startController(0);
    const admission = await controller.admit(OFFER, new AbortController().signal);
    targetState.ended = true;
    const result = await admission.run(FRAME, new AbortController().signal);
    assert.equal(result.kind, 'refused');
    assert.equal(controller.inFlight, 0);
  });
});

// Guards against a flooded target that has become cold or recovers, while other targets have room.
describe('AdmissionController of a cold or recovering target', () => {
  const {signal} = new AbortController();

  it('reports the slots in use once the target has become cold', async () => {
    const {controller, targetState} = startController(0);
    targetState.slots = 8;
    (await controller.admit(OFFER, signal)).cancel();
    assert.equal(controller.load.pacedSlots, undefined);
    targetState.isCold = true;
    (await controller.admit(OFFER, signal)).cancel();
    assert.equal(controller.load.pacedSlots, 2);
  });

  it('does not send what was admitted before the target became cold', async () => {
    const {controller, targetState, deadlinesLeftMs} = startController(0);
    await (await controller.admit(OFFER, signal)).run(FRAME, signal);
    const admitted = await controller.admit(OFFER, signal);
    targetState.maxPerSecond = 1;
    const result = await admitted.run(FRAME, signal);
    assert.deepEqual([result.kind, deadlinesLeftMs.length], ['refused', 1]);
    assert.equal(controller.inFlight, 0);
  });

  it('uses fewer slots after failures in a row', async () => {
    const {controller, targetState} = startController(0);
    targetState.slots = 8;
    targetState.result = {kind: 'lost', code: 'TARGET_FAILED'};
    for (let n = 0; n < 3; n += 1) await (await controller.admit(OFFER, signal)).run(FRAME, signal);
    assert.equal(controller.load.pacedSlots, 2);
  });
});

function startController(dueInMs: number | undefined) {
  const clock = new ManualClock();
  const targetState = {
    ended: false,
    slots: 2,
    isCold: false,
    maxPerSecond: undefined as number | undefined,
    result: ANSWERED,
  };
  /** Deadline left for each request that was sent to the target. */
  const deadlinesLeftMs: number[] = [];
  const grantedAtMs = clock.nowMs() + (dueInMs ?? Infinity);
  const controller = new AdmissionController({
    clock,
    logger: silentLogger,
    client: {
      run: ({deadlineLeftMs}: {deadlineLeftMs: number}) => {
        deadlinesLeftMs.push(deadlineLeftMs);
        return Promise.resolve(targetState.result);
      },
    } as unknown as TargetClient,
    target: () =>
      targetState.ended
        ? new MedlarlaneError('NO_TARGET')
        : {targetId: 'a', life: 'a/1', service: 'wallboard', slots: targetState.slots},
    holdsKey: () => clock.nowMs() >= grantedAtMs,
    rateLimitRps: () => undefined,
    maxPerSecond: () => targetState.maxPerSecond,
    isCold: () => targetState.isCold,
    grantDueInMs: () => dueInMs,
    poison: new PoisonTable({reporterId: 'd', clock}),
    onResult: () => undefined,
    onKeyRequest: () => undefined,
  });
  return {controller, clock, targetState, deadlinesLeftMs};
}
