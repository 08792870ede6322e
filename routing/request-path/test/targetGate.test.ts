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

describe('The gate of a target, while a key is on its way', () => {
  interface Row {
    readonly name: string;
    readonly dueInMs: number | undefined;
    readonly offer: Partial<Offer>;
    readonly outcome: 'admitted' | 'NOT_OWNER';
  }
  const ROWS: readonly Row[] = [
    {name: 'waits for a grant that is due at once', dueInMs: 90, offer: {}, outcome: 'admitted'},
    {name: 'waits longer where a late answer counts', dueInMs: 380, offer: {}, outcome: 'admitted'},
    {
      name: 'waits for most of a heartbeat where the answer is in time after it',
      dueInMs: 880,
      offer: {targetLeftMs: 2_000, deadlineLeftMs: 2_100},
      outcome: 'admitted',
    },
    {
      name: 'refuses at once what another target may answer in time',
      dueInMs: 380,
      offer: {acceptLate: false},
      outcome: 'NOT_OWNER',
    },
    {
      name: 'refuses at once when the grant would take most of the time left',
      dueInMs: 380,
      offer: {deadlineLeftMs: 900},
      outcome: 'NOT_OWNER',
    },
    {
      name: 'refuses at once when no grant is planned',
      dueInMs: undefined,
      offer: {},
      outcome: 'NOT_OWNER',
    },
  ];
  for (const {name, dueInMs, offer, outcome} of ROWS) {
    it(name, async () => {
      const {gate, clock} = startGate(dueInMs);
      const admitted = gate.admit({...OFFER, ...offer}, new AbortController().signal).then(
        () => 'admitted',
        (error: MedlarlaneError) => error.code,
      );
      await new Promise((resolve) => setImmediate(resolve));
      await clock.advance(dueInMs ?? 0);
      assert.equal(await admitted, outcome);
    });
  }

  it('counts the wait for a grant as part of the time left', async () => {
    const {gate, clock, runs} = startGate(380);
    const admitted = gate.admit(OFFER, new AbortController().signal);
    await new Promise((resolve) => setImmediate(resolve));
    await clock.advance(380);
    await (await admitted).run(FRAME, new AbortController().signal);
    assert.ok(runs[0]! <= OFFER.deadlineLeftMs - 380, `${runs[0]} ms left`);
  });

  it('gives a slot back when the target ended before the request was sent', async () => {
    const {gate, steps} = startGate(0);
    const admission = await gate.admit(OFFER, new AbortController().signal);
    steps.ended = true;
    const result = await admission.run(FRAME, new AbortController().signal);
    assert.equal(result.kind, 'refused');
    assert.equal(gate.inFlight, 0);
  });
});

function startGate(dueInMs: number | undefined) {
  const clock = new ManualClock();
  const steps = {ended: false};
  /** Time that the target was given for each request. */
  const runs: number[] = [];
  const grantedAtMs = clock.nowMs() + (dueInMs ?? Infinity);
  const gate = new AdmissionController({
    clock,
    logger: silentLogger,
    client: {
      run: ({deadlineLeftMs}: {deadlineLeftMs: number}) => {
        runs.push(deadlineLeftMs);
        return Promise.resolve(ANSWERED);
      },
    } as unknown as TargetClient,
    target: () =>
      steps.ended
        ? new MedlarlaneError('NO_TARGET')
        : {targetId: 'a', life: 'a/1', service: 'wallboard', slots: 2},
    holdsKey: () => clock.nowMs() >= grantedAtMs,
    grantDueInMs: () => dueInMs,
    poison: new PoisonTable({reporterId: 'd', clock}),
    onResult: () => undefined,
    onKeyRequest: () => undefined,
  });
  return {gate, clock, steps, runs};
}
