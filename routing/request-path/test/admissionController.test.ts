import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {MedlarlaneError} from '@medlarlane/errors';
import {ManualClock} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';
import {PoisonTable} from '@medlarlane/poison';
import {AdmissionController, MemoryBudget, ResponseStream} from '@medlarlane/request-path';
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
/** Duration of a request at the target. */
const RUN_MS = 50;
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
    const running = (await admitted).run(FRAME, new AbortController().signal);
    await clock.advance(RUN_MS);
    await running;
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

  it('keeps the slot until the last byte of a large response was read', async () => {
    const body = new ResponseStream({
      lengthBytes: 20_000,
      budget: new MemoryBudget(),
      onTaken: () => undefined,
      onCancel: () => undefined,
    });
    const result: RunResult = {kind: 'answered', answer: {status: 200, headers: [], body}};
    const {controller, targetState} = startController(0, {workMs: 0});
    targetState.result = result;
    const admission = await controller.admit(OFFER, new AbortController().signal);
    await admission.run(FRAME, new AbortController().signal);
    assert.equal(controller.inFlight, 1);
    body.push(Buffer.alloc(20_000));
    body.finish('complete');
    assert.equal(controller.inFlight, 0);
  });
});

describe('AdmissionController with a target that states its load', () => {
  const STATED = {running: 0, waiting: 0, slots: 2};

  // Guards against a target that gets more requests than fit while it still runs cancelled ones.
  it('keeps the slot of a cancelled request until the expected work has passed', async () => {
    const {controller, clock, run} = startController(0, {isPending: true});
    const {settle} = await run();
    controller.recordStatedLoad('a/1', STATED);
    settle({kind: 'lost', code: 'CANCELLED'});
    await clock.advance(0);
    assert.deepEqual([controller.inFlight, controller.load.inFlight], [0, 1]);
    await clock.advance(2_000);
    assert.equal(controller.load.inFlight, 0);
  });

  it('keeps the slot of an overdue request, but none if the target states no load', async () => {
    for (const [statesLoad, held] of [
      [true, 1],
      [false, 0],
    ] as const) {
      const {controller, clock, run} = startController(0, {isPending: true});
      const {settle} = await run();
      if (statesLoad) controller.recordStatedLoad('a/1', STATED);
      await clock.advance(1_200);
      settle({kind: 'lost', code: 'TARGET_TIMEOUT'});
      await clock.advance(0);
      assert.equal(controller.load.inFlight, held);
    }
  });

  // Guards against capacity that stays unused after a target has stopped cancelled work at once.
  it('releases the slot when the target states that it no longer runs the request', async () => {
    const {controller, clock, run} = startController(0, {isPending: true});
    const [cancelled] = [await run(), await run()];
    controller.recordStatedLoad('a/1', STATED);
    cancelled.settle({kind: 'lost', code: 'CANCELLED'});
    await clock.advance(0);
    controller.recordStatedLoad('a/1', {...STATED, running: 2});
    assert.equal(controller.load.inFlight, 2);
    controller.recordStatedLoad('a/1', {...STATED, running: 0});
    assert.equal(controller.load.inFlight, 1);
  });

  // Guards against a prediction that counts a slowdown twice, which the measured durations already include.
  it('reports how much slower it is now than in its measured durations', async () => {
    const {controller, clock, speed, run} = startController(0);
    assert.equal(controller.load.slowdown, undefined);
    speed.slowdown = 2;
    assert.equal(controller.load.slowdown, 2);
    for (let count = 0; count < 60; count += 1) await (await run()).result;
    await clock.advance(0);
    assert.ok(controller.load.slowdown! < 1.1, `${controller.load.slowdown}`);
  });
});

// Guards against a flooded target that has become cold or recovers, while other targets have room.
describe('AdmissionController of a cold or recovering target', () => {
  const {signal} = new AbortController();

  it('reports the slots in use once the target has become cold', async () => {
    const {controller, targetState} = startController(0, {workMs: 0});
    targetState.slots = 8;
    (await controller.admit(OFFER, signal)).cancel();
    assert.equal(controller.load.pacedSlots, undefined);
    targetState.isCold = true;
    (await controller.admit(OFFER, signal)).cancel();
    assert.equal(controller.load.pacedSlots, 4);
  });

  it('does not send what was admitted before the target became cold', async () => {
    const {controller, targetState, deadlinesLeftMs} = startController(0, {workMs: 0});
    await (await controller.admit(OFFER, signal)).run(FRAME, signal);
    const admitted = await controller.admit(OFFER, signal);
    targetState.maxPerSecond = 1;
    const result = await admitted.run(FRAME, signal);
    assert.deepEqual([result.kind, deadlinesLeftMs.length], ['refused', 1]);
    assert.equal(controller.inFlight, 0);
  });

  it('uses fewer slots after failures in a row', async () => {
    const {controller, targetState} = startController(0, {workMs: 0});
    targetState.slots = 8;
    targetState.result = {kind: 'lost', code: 'TARGET_FAILED'};
    for (let n = 0; n < 8; n += 1) await (await controller.admit(OFFER, signal)).run(FRAME, signal);
    assert.equal(controller.load.pacedSlots, 4);
  });
});

function startController(
  dueInMs: number | undefined,
  {isPending = false, workMs = RUN_MS}: {isPending?: boolean; workMs?: number} = {},
) {
  const clock = new ManualClock();
  const speed: {slowdown: number | undefined} = {slowdown: undefined};
  const settlers: Array<(result: RunResult) => void> = [];
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
        if (isPending) return new Promise((resolve) => settlers.push(resolve));
        if (workMs === 0) return Promise.resolve(targetState.result);
        return clock.sleep(workMs).then(() => targetState.result);
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
    slowdown: () => speed.slowdown,
  });
  /** Admits and sends a request. */
  const run = async () => {
    const {signal} = new AbortController();
    const admission = await controller.admit(OFFER, signal);
    const result = admission.run(FRAME, signal);
    await clock.advance(isPending ? 0 : RUN_MS);
    return {result, settle: settlers.at(-1)!};
  };
  return {controller, clock, speed, run, targetState, deadlinesLeftMs};
}
