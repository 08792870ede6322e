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

  it('keeps the slot until the last byte of a large response was read', async () => {
    const body = new ResponseStream({
      lengthBytes: 20_000,
      budget: new MemoryBudget(),
      onTaken: () => undefined,
      onCancel: () => undefined,
    });
    const result: RunResult = {kind: 'answered', answer: {status: 200, headers: [], body}};
    const {controller} = startController(0, result);
    const admission = await controller.admit(OFFER, new AbortController().signal);
    await admission.run(FRAME, new AbortController().signal);
    assert.equal(controller.inFlight, 1);
    body.push(Buffer.alloc(20_000));
    body.finish('complete');
    assert.equal(controller.inFlight, 0);
  });
});

function startController(dueInMs: number | undefined, result = ANSWERED) {
  const clock = new ManualClock();
  const targetState = {ended: false};
  /** Deadline left for each request that was sent to the target. */
  const deadlinesLeftMs: number[] = [];
  const grantedAtMs = clock.nowMs() + (dueInMs ?? Infinity);
  const controller = new AdmissionController({
    clock,
    logger: silentLogger,
    client: {
      run: ({deadlineLeftMs}: {deadlineLeftMs: number}) => {
        deadlinesLeftMs.push(deadlineLeftMs);
        return Promise.resolve(result);
      },
    } as unknown as TargetClient,
    target: () =>
      targetState.ended
        ? new MedlarlaneError('NO_TARGET')
        : {targetId: 'a', life: 'a/1', service: 'wallboard', slots: 2},
    holdsKey: () => clock.nowMs() >= grantedAtMs,
    rateLimitRps: () => undefined,
    grantDueInMs: () => dueInMs,
    poison: new PoisonTable({reporterId: 'd', clock}),
    onResult: () => undefined,
    onKeyRequest: () => undefined,
  });
  return {controller, clock, targetState, deadlinesLeftMs};
}
