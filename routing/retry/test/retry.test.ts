import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ERROR_KINDS} from '@medlarlane/errors';
import type {ErrorCode, ExecutionStatus} from '@medlarlane/errors';
import {ManualClock} from '@medlarlane/lifecycle';
import {RetryBudget, decideRetry} from '@medlarlane/retry';

const CODES = Object.keys(ERROR_KINDS) as ErrorCode[];

test('A non-idempotent request that may have run is never retried, regardless of the error', () => {
  for (const code of CODES) {
    const failed = {idempotent: false, ran: 'unknown', attempt: 1, remainingMs: 60_000} as const;
    assert.equal(decideRetry({...failed, code}).retry, false, code);
  }
});

test('A request is retried at most once, regardless of the error', () => {
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
  ['owner', ['A payment is retried at the new owner of its key', false, 'no', 'NOT_OWNER', 1_000]],
  [
    'may-have-run',
    ['A payment on a broken connection is not retried', false, 'unknown', 'TARGET_FAILED', 1_000],
  ],
  ['owner', ['A payment that was never sent is retried', false, 'no', 'TARGET_FAILED', 1_000]],
  ['owner', ['A read on a broken connection is retried', true, 'unknown', 'TARGET_FAILED', 1_000]],
  [
    'other-instance',
    [
      'A request refused by an overloaded instance is retried at another one',
      true,
      'no',
      'OVERLOADED',
      1_000,
    ],
  ],
  ['deadline', ['A read with too little time left is not retried', true, 'no', 'NO_OWNER', 110]],
  [
    'error-kind',
    ['A request that crashes targets is not retried', true, 'no', 'POISON_REQUEST', 1_000],
  ],
];

for (const [expected, [name, idempotent, ran, code, remainingMs]] of CASES) {
  test(name, () => {
    const decision = decideRetry({idempotent, ran, code, remainingMs, attempt: 1});
    assert.equal(decision.retry ? decision.destination : decision.reason, expected);
  });
}

test('Retries are limited to a tenth of the traffic if every request fails', async () => {
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
  const minRetries = 60;
  assert.ok(retries <= requests * 0.1 + minRetries + 10, `${retries} of ${requests}`);
  assert.ok(retries >= requests * 0.1, `${retries} of ${requests}`);
});

test('Past traffic does not permit a later retry storm', async () => {
  const clock = new ManualClock();
  const budget = new RetryBudget({clock, minRetryRps: 1});
  for (let count = 0; count < 10_000; count += 1) budget.recordRequest();
  assert.equal(budget.available, 1_010);
  await clock.advance(11_000);
  assert.equal(budget.available, 10);
});

test('A budget whose minimum rate changes still counts the retries already consumed', () => {
  const budget = new RetryBudget({clock: new ManualClock(), minRetryRps: 1});
  while (budget.tryConsume()) continue;
  budget.setMinRetryRps(0.5);
  assert.equal(budget.tryConsume(), false);
  budget.setMinRetryRps(1.2);
  assert.equal(budget.available, 2);
});
