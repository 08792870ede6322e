import assert from 'node:assert/strict';
import {test} from 'node:test';
import {v7} from 'uuid';
import {IdempotencyTable} from '@medlarlane/dedupe';
import type {BeginResult, IdempotencyTableOptions, Run} from '@medlarlane/dedupe';
import {MedlarlaneError} from '@medlarlane/errors';
import type {ErrorCode} from '@medlarlane/errors';
import {ManualClock} from '@medlarlane/lifecycle';

const SERVICE = 'tharangam/fee-ledger';
const RANGE = {service: SERVICE, from: 0, to: 100};
const RESPONSE = {
  status: 201,
  headers: [
    ['set-cookie', 'a=1'],
    ['set-cookie', 'b=2'],
  ] as ReadonlyArray<readonly [string, string]>,
  body: new TextEncoder().encode('{"receipt":7}'),
};

interface OwnerFixture {
  readonly clock: ManualClock;
  readonly table: IdempotencyTable;
  newId(aheadMs?: number): string;
  begin(
    id: string,
    opts?: {digest?: string; waitMs?: number; signal?: AbortSignal},
  ): Promise<BeginResult>;
}

/** Creates an owner that has owned RANGE for longer than the maximum clock skew. */
async function startOwner(opts: IdempotencyTableOptions = {}): Promise<OwnerFixture> {
  const clock = new ManualClock();
  const table = new IdempotencyTable({clock, ...opts});
  table.takeOver(RANGE);
  await clock.advance(1_000);
  return createFixture(clock, table);
}

function createFixture(clock: ManualClock, table: IdempotencyTable): OwnerFixture {
  return {
    clock,
    table,
    newId: (aheadMs = 0) => v7({msecs: clock.wallMs() + aheadMs}),
    begin: (id, {digest = 'd', waitMs = 0, signal} = {}) =>
      table.begin({
        service: SERVICE,
        position: 42,
        id,
        digest,
        deadlineMs: clock.nowMs() + waitMs,
        ...(signal ? {signal} : {}),
      }),
  };
}

async function startRun(pendingResult: Promise<BeginResult>): Promise<Run> {
  const result = await pendingResult;
  assert.equal(result.kind, 'run');
  return (result as Extract<BeginResult, {kind: 'run'}>).run;
}

function isErrorWithCode(code: ErrorCode): (error: unknown) => boolean {
  return (error) => error instanceof MedlarlaneError && error.code === code;
}

test('A resend after the run gets the recorded status, headers and body, and does not run', async () => {
  const {begin, newId} = await startOwner();
  const id = newId();
  (await startRun(begin(id))).finish(RESPONSE);
  for (const resend of [id, id.toUpperCase()]) {
    const result = await begin(resend);
    assert.deepEqual(result.kind === 'recorded' && result.response, RESPONSE);
  }
});

test('A resend during the run waits for its response, and a cancelled one does not', async () => {
  const {begin, newId, clock} = await startOwner();
  const id = newId();
  const run = await startRun(begin(id));
  const abort = new AbortController();
  const resend = begin(id, {waitMs: 100});
  const cancelled = begin(id, {waitMs: 100, signal: abort.signal});
  const withShortWait = begin(id, {waitMs: 10});
  const outcomes = Promise.allSettled([cancelled, withShortWait]);
  abort.abort();
  await clock.advance(20);
  run.finish(RESPONSE);
  assert.equal((await resend).kind, 'recorded');
  const codes = (await outcomes).map(
    (outcome) => outcome.status === 'rejected' && outcome.reason.code,
  );
  assert.deepEqual(codes, ['CANCELLED', 'OUTCOME_UNKNOWN']);
});

test('When the first attempt did not run, exactly one of the waiting resends runs', async () => {
  const {begin, newId, clock} = await startOwner();
  const id = newId();
  const run = await startRun(begin(id));
  const resends = [1, 2, 3].map(() => begin(id, {waitMs: 50}));
  run.markNotRun();
  await clock.advance(0);
  const first = await Promise.race(resends);
  assert.equal(first.kind, 'run');
  const outcomes = Promise.allSettled(resends);
  await clock.advance(50);
  const kinds = (await outcomes).map((outcome) =>
    outcome.status === 'rejected' ? outcome.reason.code : outcome.value.kind,
  );
  assert.deepEqual(kinds.sort(), ['OUTCOME_UNKNOWN', 'OUTCOME_UNKNOWN', 'run']);
});

type Attempt = (fixture: OwnerFixture) => Promise<unknown>;

const REFUSALS: ReadonlyArray<readonly [name: string, code: ErrorCode, attempt: Attempt]> = [
  [
    'A request id that is not a UUIDv7 is refused',
    'IDEMPOTENCY_KEY_REQUIRED',
    ({begin}) => begin('7b0c2c5e-3d0f-4b8f-8a53-4a5f5b3c1d2e'),
  ],
  [
    'A request id that was used for another request is refused',
    'IDEMPOTENCY_KEY_REUSED',
    async ({begin, newId}) => {
      const id = newId();
      (await startRun(begin(id))).finish(RESPONSE);
      await begin(id, {digest: 'other'});
    },
  ],
  [
    'A resend after an unknown outcome does not run',
    'OUTCOME_UNKNOWN',
    async ({begin, newId}) => {
      const id = newId();
      (await startRun(begin(id))).markUnknown();
      await begin(id);
    },
  ],
  [
    'A resend after a response that is too large to keep does not run',
    'OUTCOME_UNKNOWN',
    async ({begin, newId}) => {
      const id = newId();
      (await startRun(begin(id))).finish({...RESPONSE, body: new Uint8Array(100_000)});
      await begin(id);
    },
  ],
  [
    'An id created before an unplanned takeover plus the maximum clock skew is refused',
    'OUTCOME_UNKNOWN',
    async ({begin, newId, clock, table}) => {
      const id = newId(249);
      table.takeOver(RANGE);
      await clock.advance(2_000);
      await begin(id);
    },
  ],
  [
    'An id from further in the future than the clock skew allows is refused',
    'REQUEST_INVALID',
    ({begin, newId}) => begin(newId(260)),
  ],
  [
    'An id that is older than the retention period is refused',
    'OUTCOME_UNKNOWN',
    async ({begin, newId, clock}) => {
      const id = newId();
      await clock.advance(600_001);
      await begin(id);
    },
  ],
  [
    'A new request is refused when the records have reached their memory limit',
    'OVERLOADED',
    async ({begin, newId}) => {
      for (let count = 0; count < 10; count += 1) (await startRun(begin(newId()))).finish(RESPONSE);
    },
  ],
  [
    'A request for a released range does not run',
    'NOT_OWNER',
    async ({begin, newId, table}) => {
      table.release({...RANGE, from: 40, to: 50});
      await begin(newId());
    },
  ],
  [
    'A request for a range that is being handed over does not run',
    'NOT_OWNER',
    async ({begin, newId, table}) => {
      await table.exportRange({...RANGE, moveId: 'm'}).next();
      await begin(newId());
    },
  ],
];

for (const [name, code, attempt] of REFUSALS) {
  test(name, async () => {
    const fixture = await startOwner({maxBytes: 2_000});
    await assert.rejects(attempt(fixture), isErrorWithCode(code));
  });
}

test('Requests for the rest of a range run after a part of it is released', async () => {
  const {begin, newId, table} = await startOwner();
  table.release({...RANGE, from: 10, to: 20});
  table.release({...RANGE, from: 43, to: 50});
  assert.equal((await begin(newId())).kind, 'run');
});

test('A response is replayed until the retention period of its id ends', async () => {
  const {begin, newId, clock} = await startOwner();
  const id = newId();
  (await startRun(begin(id))).finish(RESPONSE);
  await clock.advance(599_999);
  assert.equal((await begin(id)).kind, 'recorded');
});

test('An evicted id stays refused when the wall clock is set back', async () => {
  let setBackMs = 0;
  const clock = new ManualClock();
  const wall = {
    nowMs: () => clock.nowMs(),
    wallMs: () => clock.wallMs() - setBackMs,
    sleep: clock.sleep.bind(clock),
  };
  const table = new IdempotencyTable({clock: wall});
  table.takeOver(RANGE);
  await clock.advance(1_000);
  const {begin, newId} = createFixture(clock, table);
  const id = newId();
  (await startRun(begin(id))).finish(RESPONSE);
  await clock.advance(620_000);
  (await startRun(begin(newId()))).markNotRun();
  assert.deepEqual([table.stats.records, table.stats.bytes], [0, 0]);
  setBackMs = 300_000;
  await assert.rejects(begin(id), isErrorWithCode('OUTCOME_UNKNOWN'));
});

/** Moves RANGE from one owner to the next. */
async function move(from: OwnerFixture, to: OwnerFixture, moveId = 'm'): Promise<void> {
  for await (const chunk of from.table.exportRange({...RANGE, moveId})) {
    to.table.importRange(chunk);
  }
  from.table.release(RANGE);
  assert.equal(to.table.acceptMove({...RANGE, moveId}), true);
}

test('After a planned move the new owner replays responses and runs ids created before the move', async () => {
  const old = await startOwner();
  const next = createFixture(old.clock, new IdempotencyTable({clock: old.clock}));
  const [done, running, unsent] = [old.newId(), old.newId(), old.newId()];
  (await startRun(old.begin(done))).finish(RESPONSE);
  await startRun(old.begin(running));
  await move(old, next);
  assert.equal((await next.begin(done)).kind, 'recorded');
  assert.equal((await next.begin(unsent)).kind, 'run');
  await assert.rejects(
    next.begin(running),
    (error) =>
      isErrorWithCode('OUTCOME_UNKNOWN')(error) && !(error as MedlarlaneError).details['ranBefore'],
  );
});

test('A range that moves back and forth keeps the most definite state of each request', async () => {
  const old = await startOwner();
  const next = createFixture(old.clock, new IdempotencyTable({clock: old.clock}));
  const id = old.newId();
  const run = await startRun(old.begin(id));
  await move(old, next);
  run.finish(RESPONSE);
  await move(next, old);
  assert.equal((await old.begin(id)).kind, 'recorded');
  await move(old, next);
  assert.equal((await next.begin(id)).kind, 'recorded');
  assert.equal(next.table.stats.records, 1);
});

test('An id evicted before a planned move is refused by a next owner whose clock is behind', async () => {
  const old = await startOwner({retentionMs: 10_000});
  const behind = new ManualClock(1_700_000_000_000 - 200);
  const next = createFixture(behind, new IdempotencyTable({clock: behind, retentionMs: 10_000}));
  // Created at the end of a group of records that is evicted together.
  await old.clock.advance(8_900);
  const id = old.newId();
  (await startRun(old.begin(id))).finish(RESPONSE);
  await old.clock.advance(10_150);
  (await startRun(old.begin(old.newId()))).finish(RESPONSE);
  await behind.advance(old.clock.nowMs());
  assert.equal(old.table.stats.records, 1);
  await move(old, next);
  await assert.rejects(next.begin(id), isErrorWithCode('OUTCOME_UNKNOWN'));
});

test('A handover that is incomplete, corrupt or of another move is not accepted', async () => {
  const old = await startOwner();
  for (let count = 0; count < 600; count += 1) {
    (await startRun(old.begin(old.newId()))).finish(RESPONSE);
  }
  const chunks: Uint8Array[] = [];
  for await (const chunk of old.table.exportRange({...RANGE, moveId: 'm1'})) chunks.push(chunk);
  const [first, second, last] = chunks;
  assert.ok(first && second && last);
  const cases = [
    {chunks: [first, second], moveId: 'm1'},
    {chunks: [first, last], moveId: 'm1'},
    {chunks: [last], moveId: 'm1'},
    {chunks: [first, second, last.subarray(0, 20)], moveId: 'm1'},
    {chunks: [first, second, last], moveId: 'm2'},
  ];
  for (const {chunks: received, moveId} of cases) {
    const next = createFixture(old.clock, new IdempotencyTable({clock: old.clock}));
    try {
      for (const chunk of received) next.table.importRange(chunk);
    } catch (failure) {
      assert.ok(isErrorWithCode('REQUEST_INVALID')(failure));
    }
    assert.equal(next.table.acceptMove({...RANGE, moveId}), false);
    await assert.rejects(next.begin(old.newId()), isErrorWithCode('OUTCOME_UNKNOWN'));
  }
});
