import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ERROR_ANSWERS} from '@medlarlane/errors';
import type {ErrorCode} from '@medlarlane/errors';
import {ManualClock} from '@medlarlane/lifecycle';
import {RetryBudget, retryDecision} from '@medlarlane/retry';
import type {FailedAttempt} from '@medlarlane/retry';

const CODES = Object.keys(ERROR_ANSWERS) as ErrorCode[];

test('A non-repeatable request that may have run is never retried, whatever the error', () => {
  for (const code of CODES) {
    const failed = {repeatable: false, ran: 'unknown', attempt: 1, remainingMs: 60_000} as const;
    assert.equal(retryDecision({...failed, code}).retry, false, code);
  }
});

test('A request is retried once at most, whatever the error', () => {
  for (const code of CODES) {
    const failed = {repeatable: true, ran: 'no', attempt: 2, remainingMs: 60_000} as const;
    assert.equal(retryDecision({...failed, code}).retry, false, code);
  }
});

const CASES: ReadonlyArray<{
  readonly name: string;
  readonly failed: Omit<FailedAttempt, 'attempt'>;
  readonly expected: string;
}> = [
  {
    name: 'A payment whose owner moved is sent to the new owner',
    failed: {repeatable: false, ran: 'no', code: 'NOT_OWNER', remainingMs: 1_000},
    expected: 'owner',
  },
  {
    name: 'A payment whose target broke the connection is not sent again',
    failed: {repeatable: false, ran: 'unknown', code: 'TARGET_FAILED', remainingMs: 1_000},
    expected: 'may-have-run',
  },
  {
    name: 'A payment that never left for its target is sent again',
    failed: {repeatable: false, ran: 'no', code: 'TARGET_FAILED', remainingMs: 1_000},
    expected: 'owner',
  },
  {
    name: 'A read whose target broke the connection is sent again',
    failed: {repeatable: true, ran: 'unknown', code: 'TARGET_FAILED', remainingMs: 1_000},
    expected: 'owner',
  },
  {
    name: 'A read is not sent again to the overloaded instance that refused it',
    failed: {repeatable: true, ran: 'no', code: 'OVERLOADED', remainingMs: 1_000},
    expected: 'other-instance',
  },
  {
    name: 'A read with too little time left is not sent again',
    failed: {repeatable: true, ran: 'no', code: 'NO_OWNER', remainingMs: 110},
    expected: 'deadline',
  },
  {
    name: 'A request that crashes targets is not sent to another target',
    failed: {repeatable: true, ran: 'no', code: 'POISON_REQUEST', remainingMs: 1_000},
    expected: 'error-kind',
  },
];

for (const {name, failed, expected} of CASES) {
  test(name, () => {
    const decision = retryDecision({...failed, attempt: 1});
    assert.equal(decision.retry ? decision.place : decision.reason, expected);
  });
}

test('Retries stay at a tenth of the traffic when every request fails', async () => {
  const clock = new ManualClock();
  const budget = new RetryBudget({clock, floorRps: 1});
  let requests = 0;
  let retries = 0;
  for (let step = 0; step < 600; step += 1) {
    for (let count = 0; count < 10; count += 1) {
      requests += 1;
      budget.onRequest();
      if (budget.tryTake()) retries += 1;
    }
    await clock.advance(100);
  }
  const floor = 60;
  assert.ok(retries <= requests * 0.1 + floor + 10, `${retries} of ${requests}`);
  assert.ok(retries >= requests * 0.1, `${retries} of ${requests}`);
});

test('Traffic of the past does not pay for a later storm of retries', async () => {
  const clock = new ManualClock();
  const budget = new RetryBudget({clock, floorRps: 1});
  for (let count = 0; count < 10_000; count += 1) budget.onRequest();
  assert.equal(budget.available, 1_010);
  await clock.advance(11_000);
  assert.equal(budget.available, 10);
});
