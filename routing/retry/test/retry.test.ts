import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ERROR_KINDS} from '@medlarlane/errors';
import type {ErrorCode, ExecutionStatus} from '@medlarlane/errors';
import {ManualClock} from '@medlarlane/lifecycle';
import {RetryBudget, decideRetry} from '@medlarlane/retry';

const CODES = Object.keys(ERROR_KINDS) as ErrorCode[];

test('A non-repeatable request that may have run is never retried, whatever the error', () => {
  for (const code of CODES) {
    const failed = {idempotent: false, ran: 'unknown', attempt: 1, remainingMs: 60_000} as const;
    assert.equal(decideRetry({...failed, code}).retry, false, code);
  }
});

test('A request is retried once at most, whatever the error', () => {
  for (const code of CODES) {
    const failed = {idempotent: true, ran: 'no', attempt: 2, remainingMs: 60_000} as const;
    assert.equal(decideRetry({...failed, code}).retry, false, code);
  }
});

type Row = [
  name: string,
  repeatable: boolean,
  ran: ExecutionStatus,
  code: ErrorCode,
  remainingMs: number,
];

const CASES: ReadonlyArray<readonly [expected: string, row: Row]> = [
  ['owner', ['A payment follows its key to the new owner', false, 'no', 'NOT_OWNER', 1_000]],
  [
    'may-have-run',
    ['A payment on a broken connection stops', false, 'unknown', 'TARGET_FAILED', 1_000],
  ],
  ['owner', ['A payment that was never sent is sent again', false, 'no', 'TARGET_FAILED', 1_000]],
  [
    'owner',
    ['A read on a broken connection is sent again', true, 'unknown', 'TARGET_FAILED', 1_000],
  ],
  ['other-instance', ['An overloaded instance gets no retry', true, 'no', 'OVERLOADED', 1_000]],
  ['deadline', ['A read with too little time left stops', true, 'no', 'NO_OWNER', 110]],
  ['error-kind', ['A request that crashes targets stops', true, 'no', 'POISON_REQUEST', 1_000]],
];

for (const [expected, [name, repeatable, ran, code, remainingMs]] of CASES) {
  test(name, () => {
    const decision = decideRetry({idempotent: repeatable, ran, code, remainingMs, attempt: 1});
    assert.equal(decision.retry ? decision.destination : decision.reason, expected);
  });
}

test('Retries stay at a tenth of the traffic when every request fails', async () => {
  const clock = new ManualClock();
  const budget = new RetryBudget({clock, minRetryRps: 1});
  let requests = 0;
  let retries = 0;
  for (let step = 0; step < 600; step += 1) {
    for (let count = 0; count < 10; count += 1) {
      requests += 1;
      budget.recordRequest();
      if (budget.tryConsume()) retries += 1;
    }
    await clock.advance(100);
  }
  const floor = 60;
  assert.ok(retries <= requests * 0.1 + floor + 10, `${retries} of ${requests}`);
  assert.ok(retries >= requests * 0.1, `${retries} of ${requests}`);
});

test('Traffic of the past does not pay for a later storm of retries', async () => {
  const clock = new ManualClock();
  const budget = new RetryBudget({clock, minRetryRps: 1});
  for (let count = 0; count < 10_000; count += 1) budget.recordRequest();
  assert.equal(budget.available, 1_010);
  await clock.advance(11_000);
  assert.equal(budget.available, 10);
});

test('A budget whose floor changes keeps count of the retries that were taken', () => {
  const budget = new RetryBudget({clock: new ManualClock(), minRetryRps: 1});
  while (budget.tryConsume()) continue;
  budget.setMinRetryRps(0.5);
  assert.equal(budget.tryConsume(), false);
  budget.setMinRetryRps(1.2);
  assert.equal(budget.available, 2);
});
