import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {AdmissionQueue, AdaptiveLimit} from '@medlarlane/admission';
import type {AdmissionOutcome, AdmissionRequest, Permit, QueueOrder} from '@medlarlane/admission';
import {MedlarlaneError} from '@medlarlane/errors';
import {ManualClock} from '@medlarlane/lifecycle';

const OK = {durationMs: 10, outcome: 'ok'} as const;

interface FixtureOptions {
  readonly slots?: number;
  readonly coldStartMs?: number;
  readonly order?: QueueOrder;
  readonly maxWaiting?: number;
}

interface Fixture {
  readonly clock: ManualClock;
  readonly queue: AdmissionQueue;
  readonly log: string[];
  /** Sends a request that holds its permit until the test releases it through `permits`. */
  send(name: string, request?: Partial<AdmissionRequest>): Promise<void>;
  readonly permits: Map<string, Permit>;
}

function createFixture(opts: FixtureOptions = {}): Fixture {
  const clock = new ManualClock();
  const limit = new AdaptiveLimit({slots: 1, maxConnections: 120, clock, ...opts});
  const queue = new AdmissionQueue({limit, clock, ...opts});
  const log: string[] = [];
  const permits = new Map<string, Permit>();
  return {
    clock,
    queue,
    log,
    permits,
    send: async (name, request = {}) => {
      try {
        const permit = await queue.acquire({callerId: 'a', deadlineMs: 10_000, ...request});
        permits.set(name, permit);
        log.push(name);
      } catch (failure) {
        assert.ok(failure instanceof MedlarlaneError);
        assert.equal(
          failure.ran,
          'no',
          'a request that was not admitted must be reported as not run',
        );
        log.push(`${name} ${failure.code}`);
      }
    },
  };
}

/** Releases the permits one by one in the order in which they were granted. */
async function runAll({clock, permits}: Fixture): Promise<void> {
  while (permits.size > 0) {
    const [[name, permit]] = [...permits] as [[string, Permit]];
    permits.delete(name);
    permit.release(OK);
    await clock.advance(0);
  }
}

test('A caller with many waiting requests does not delay the only request of another caller', async () => {
  const fixture = createFixture();
  for (const name of ['a1', 'a2', 'a3', 'a4']) void fixture.send(name);
  void fixture.send('b1', {callerId: 'b'});
  await fixture.clock.advance(0);
  await runAll(fixture);
  assert.deepEqual(fixture.log, ['a1', 'a2', 'b1', 'a3', 'a4']);
});

test('A full queue refuses the caller that fills it and admits a request of another caller', async () => {
  const fixture = createFixture({maxWaiting: 2});
  for (const name of ['a1', 'a2', 'a3', 'a4']) void fixture.send(name);
  void fixture.send('b1', {callerId: 'b'});
  await fixture.clock.advance(0);
  await runAll(fixture);
  assert.deepEqual(fixture.log, ['a1', 'a4 OVERLOADED', 'a3 OVERLOADED', 'a2', 'b1']);
});

test('A request whose predicted wait exceeds its deadline is refused immediately', async () => {
  const fixture = createFixture();
  await fixture.send('first');
  fixture.permits.get('first')?.release({durationMs: 100, outcome: 'ok'});
  await fixture.send('running');
  await fixture.send('hopeless', {deadlineMs: 50});
  assert.deepEqual(fixture.log, ['first', 'running', 'hopeless OVERLOADED']);
});

test('A waiting request leaves the queue at its deadline, on cancellation and on drain', async () => {
  const fixture = createFixture();
  const abort = new AbortController();
  await fixture.send('running');
  void fixture.send('late', {deadlineMs: 40});
  void fixture.send('cancelled', {signal: abort.signal});
  void fixture.send('drained');
  await fixture.clock.advance(39);
  assert.equal(fixture.queue.waiting, 3);
  await fixture.clock.advance(1);
  abort.abort();
  const drained = fixture.queue.drain().then(() => fixture.log.push('drain finished'));
  void fixture.send('new');
  await fixture.clock.advance(0);
  fixture.permits.get('running')?.release(OK);
  fixture.permits.get('running')?.release(OK);
  await drained;
  assert.equal(fixture.queue.inFlight, 0, 'a second release has no effect');
  assert.deepEqual(fixture.log, [
    'running',
    'late DEADLINE_EXCEEDED',
    'cancelled CANCELLED',
    'drained DRAINING',
    'new DRAINING',
    'drain finished',
  ]);
});

test('A request that waits during a cold start is admitted as the limit grows', async () => {
  const fixture = createFixture({slots: 10, coldStartMs: 1_000});
  await fixture.send('first');
  void fixture.send('second');
  await fixture.clock.advance(100);
  assert.deepEqual(fixture.log, ['first']);
  await fixture.clock.advance(50);
  assert.deepEqual(fixture.log, ['first', 'second']);
});

test('Shortest-predicted-first does not let short requests starve a long one', async () => {
  const fixture = createFixture({order: 'shortest-predicted-first', slots: 1, maxWaiting: 100});
  await fixture.send('running');
  void fixture.send('long', {expectedMs: 400});
  for (let count = 0; count < 20; count += 1) {
    await fixture.clock.advance(10);
    void fixture.send(`short${count}`, {expectedMs: 1});
  }
  await fixture.clock.advance(0);
  await runAll(fixture);
  const overtakingCount = fixture.log.indexOf('long') - 1;
  // A difference of 399 ms at a credit of 4 per ms lets the requests of the next 99 ms overtake.
  assert.equal(overtakingCount, 9);
});

test('The number of permits never exceeds the limit, and every waiter settles', async () => {
  const outcome = fc.constantFrom<AdmissionOutcome>(
    ...(['ok', 'failed', 'timeout', 'shed', 'cancelled', 'unsent'] as const),
  );
  const step = fc.oneof(
    {
      weight: 4,
      arbitrary: fc.record({
        kind: fc.constant('acquire' as const),
        callerId: fc.constantFrom('a', 'b', 'c'),
        timeoutMs: fc.integer({min: 0, max: 400}),
        expectedMs: fc.integer({min: 1, max: 100}),
      }),
    },
    {
      weight: 3,
      arbitrary: fc.record({
        kind: fc.constant('release' as const),
        pick: fc.nat(100),
        outcome,
        durationMs: fc.integer({min: 0, max: 300}),
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: fc.constant('advance' as const),
        byMs: fc.integer({min: 0, max: 300}),
      }),
    },
    {weight: 1, arbitrary: fc.record({kind: fc.constant('abort' as const), pick: fc.nat(100)})},
  );
  const input = fc.record({
    steps: fc.array(step, {maxLength: 80}),
    slots: fc.integer({min: 1, max: 6}),
    coldStartMs: fc.constantFrom(0, 500),
    order: fc.constantFrom<QueueOrder>('first-come', 'shortest-predicted-first'),
  });
  const property = fc.asyncProperty(input, async ({steps, slots, coldStartMs, order}) => {
    const clock = new ManualClock();
    const limit = new AdaptiveLimit({slots, maxConnections: 8, coldStartMs, clock});
    const queue = new AdmissionQueue({limit, order, maxWaiting: 10, clock});
    const held: Permit[] = [];
    const aborts: AbortController[] = [];
    let requestCount = 0;
    let settledCount = 0;
    for (const action of steps) {
      const before = {held: held.length, limit: limit.limit};
      if (action.kind === 'acquire') {
        const abort = new AbortController();
        aborts.push(abort);
        requestCount += 1;
        const {callerId, expectedMs, timeoutMs} = action;
        const deadlineMs = clock.nowMs() + timeoutMs;
        void queue
          .acquire({callerId, expectedMs, deadlineMs, signal: abort.signal})
          .then((permit) => held.push(permit))
          .catch((failure: unknown) => assert.ok(failure instanceof MedlarlaneError))
          .finally(() => (settledCount += 1));
      } else if (action.kind === 'release') {
        const [permit] = held.splice(action.pick % Math.max(1, held.length), 1);
        permit?.release(action);
        before.held = held.length;
      } else if (action.kind === 'abort') {
        aborts[action.pick % Math.max(1, aborts.length)]?.abort();
      }
      await clock.advance(action.kind === 'advance' ? action.byMs : 0);
      assert.equal(queue.inFlight, held.length);
      assert.ok(queue.waiting <= 10);
      const allowed = Math.max(before.limit, limit.limit);
      assert.ok(
        held.length <= Math.max(before.held, allowed),
        'more permits granted than the limit allows',
      );
      assert.ok(limit.limit >= 1 && limit.limit <= 8);
    }
    await clock.advance(1_000);
    while (held.length > 0) {
      held.pop()?.release(OK);
      await clock.advance(0);
    }
    assert.equal(settledCount, requestCount);
    await queue.drain();
  });
  await fc.assert(property, {seed: 20_261, numRuns: 200});
});
