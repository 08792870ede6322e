import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RateLimiter, SlotQueue} from '@medlarlane/admission';
import type {SlotRequest} from '@medlarlane/admission';
import {MedlarlaneError} from '@medlarlane/errors';
import {ManualClock} from '@medlarlane/lifecycle';

const STEP_MS = 5;

describe('RateLimiter', () => {
  interface Row {
    readonly name: string;
    /** Limit at a time, in requests per second. */
    readonly limitAt: (timeMs: number) => number | undefined;
    readonly durationMs: number;
    readonly max: number;
    readonly min: number;
  }
  const ROWS: readonly Row[] = [
    {name: 'a constant limit', limitAt: () => 30, durationMs: 4_000, max: 128, min: 118},
    {name: 'a fractional limit', limitAt: () => 2.5, durationMs: 4_000, max: 11, min: 9},
    {
      name: 'a limit that falls',
      limitAt: (timeMs) => (timeMs < 2_000 ? 100 : 10),
      durationMs: 4_000,
      max: 226,
      min: 215,
    },
    {
      name: 'a limit that rises',
      limitAt: (timeMs) => (timeMs < 2_000 ? 10 : 100),
      durationMs: 4_000,
      max: 226,
      min: 215,
    },
    // Only a response tells that the limit has ended.
    {name: 'a limit of 0', limitAt: () => 0, durationMs: 8_000, max: 5, min: 3},
  ];
  for (const {name, limitAt, durationMs, max, min} of ROWS) {
    it(`permits about as many requests as ${name}, however many are waiting`, async () => {
      const clock = new ManualClock();
      const startMs = clock.nowMs();
      const limiter = new RateLimiter({
        clock,
        rateLimitRps: () => limitAt(clock.nowMs() - startMs),
      });
      let permitted = 0;
      while (clock.nowMs() - startMs < durationMs) {
        while (limiter.tryTake()) permitted += 1;
        await clock.advance(STEP_MS);
      }
      assert.ok(permitted <= max && permitted >= min, `${permitted} permitted`);
    });
  }

  it('permits everything without a limit, and again once a limit has ended', async () => {
    const clock = new ManualClock();
    let limitRps: number | undefined;
    const limiter = new RateLimiter({clock, rateLimitRps: () => limitRps});
    const takeMany = (): boolean[] => Array.from({length: 50}, () => limiter.tryTake());
    assert.ok(takeMany().every(Boolean));
    limitRps = 1;
    assert.ok(!takeMany().some(Boolean));
    await clock.advance(1_000);
    limitRps = undefined;
    assert.ok(takeMany().every(Boolean));
  });
});

// Guards against incident target-limit-ignored. Pattern: more requests than the target accepts, while
// all of its slots are free.
describe('SlotQueue in front of a target with a rate limit', () => {
  it('counts requests that were queued before the limit was named', async (t) => {
    t.mock.timers.enable({apis: ['setTimeout']});
    const {queue, clock, state, request, advance} = startQueue();
    const running = await Promise.all([queue.acquire(request({})), queue.acquire(request({}))]);
    let started = 0;
    for (let n = 0; n < 10; n += 1)
      queue.acquire(request({})).then(
        () => (started += 1),
        () => undefined,
      );
    state.limitRps = 4;
    for (const permit of running) permit.release(10);
    await advance(t, clock, 1_000);
    assert.ok(started <= 5, `${started} started within 1 s`);
  });

  it('refuses at once what it cannot serve in time, and asks callers to return one by one', async () => {
    const {queue, state, request} = startQueue();
    state.limitRps = 10;
    const retryDelaysMs: number[] = [];
    for (let n = 0; n < 20; n += 1) {
      const refusal = await refusalOf(queue.acquire(request({acceptLate: false, maxWaitMs: 0})));
      assert.deepEqual([refusal.code, refusal.ran], ['OVERLOADED', 'no']);
      retryDelaysMs.push(Number(refusal.details['retryAfterMs']));
    }
    const gapsMs = retryDelaysMs.slice(1, 10).map((delayMs, n) => delayMs - retryDelaysMs[n]!);
    assert.deepEqual(new Set(gapsMs), new Set([100]));
  });

  it('does not count a request that was not sent', async () => {
    const {queue, state, request, clock} = startQueue();
    state.limitRps = 4;
    void refusalOf(queue.acquire(request({maxWaitMs: 0})));
    await clock.advance(250);
    const first = await queue.acquire(request({maxWaitMs: 0}));
    first.cancel();
    await queue.acquire(request({maxWaitMs: 0}));
    await refusalOf(queue.acquire(request({maxWaitMs: 0})));
  });

  function startQueue() {
    const clock = new ManualClock();
    const state: {limitRps: number | undefined} = {limitRps: undefined};
    const queue = new SlotQueue({slots: 2, clock, rateLimitRps: () => state.limitRps});
    const request = (fields: Partial<SlotRequest>): SlotRequest => ({
      requestClass: 'read',
      priority: 1,
      latencyTargetAtMs: clock.nowMs() + 2_000,
      deadlineAtMs: clock.nowMs() + 4_000,
      ...fields,
    });
    const advance = async (
      t: {mock: {timers: {tick(ms: number): void}}},
      manualClock: ManualClock,
      durationMs: number,
    ): Promise<void> => {
      for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
        await manualClock.advance(STEP_MS);
        t.mock.timers.tick(STEP_MS);
        await new Promise((resolve) => setImmediate(resolve));
      }
    };
    return {queue, clock, state, request, advance};
  }
});

async function refusalOf(acquisition: Promise<unknown>): Promise<MedlarlaneError> {
  return acquisition.then(
    () => assert.fail('the request was admitted'),
    (error: unknown) => error as MedlarlaneError,
  );
}
