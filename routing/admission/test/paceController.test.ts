import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ClassDurations, PaceController, RateLimiter} from '@medlarlane/admission';
import {ManualClock} from '@medlarlane/lifecycle';

const STEP_MS = 5;
const SLOTS = 8;
const USUAL_MS = 200;

interface Target {
  /** Duration of a request that starts at this time while so many run, relative to the usual one. */
  readonly slowness: (timeMs: number, running: number) => number;
  /** Whether a request fails, which takes 5 ms. */
  readonly fails?: (timeMs: number) => boolean;
  /** Without known durations, as after a restart of the daemon. */
  readonly isFirst?: boolean;
  readonly reason?: 'cold' | 'failures';
}

// Each case names the load or failure that flooded a target or left it idle. Callers always have more
// requests than the target takes.
describe('The pace of a target', () => {
  it('reaches all slots within a second if the target is well at once', async () => {
    const {fullAfterMs} = await simulate({slowness: () => 1}, 2_000);
    assert.ok(fullAfterMs <= 1_000, `${fullAfterMs} ms`);
  });

  it('rises steadily while a starting target is twice as slow for 3 s, and is then full', async () => {
    const run = await simulate({slowness: (timeMs) => (timeMs < 3_000 ? 2 : 1)}, 5_000);
    assert.ok(run.levelAt(1_000) >= 3 && run.levelAt(1_000) <= 5, `${run.levelAt(1_000)} at 1 s`);
    assert.ok(run.fullAfterMs <= 3_800, `${run.fullAfterMs} ms`);
  });

  it('sends little to a target that fails immediately, and is full soon after it recovers', async () => {
    const run = await simulate(
      {slowness: () => 1, fails: (timeMs) => timeMs < 2_000, reason: 'failures'},
      5_000,
    );
    assert.ok(run.failed >= 5 && run.failed <= 30, `${run.failed} failed`);
    assert.ok(run.fullAfterMs <= 3_200, `${run.fullAfterMs} ms`);
  });

  it('does not leave a target idle that stays slow, whatever the level', async () => {
    const {fullAfterMs} = await simulate({slowness: () => 2.5}, 8_000);
    assert.ok(fullAfterMs <= 5_000, `${fullAfterMs} ms`);
  });

  it('keeps a target busy whose work takes three times as long a fifth of the time', async () => {
    const noisy = (timeMs: number): number => (Math.floor(timeMs / 400) % 5 === 0 ? 3 : 1);
    const {fullAfterMs} = await simulate({slowness: noisy}, 4_000);
    assert.ok(fullAfterMs <= 2_000, `${fullAfterMs} ms`);
  });

  it('does not flood a target that can run only three requests, and keeps these busy', async () => {
    const run = await simulate({slowness: (_timeMs, running) => Math.max(1, running / 3)}, 6_000);
    const levels = run.levelsFrom(1_500);
    const mean = levels.reduce((sum, level) => sum + level, 0) / levels.length;
    assert.ok(mean >= 3 && mean <= 6, `mean level ${mean}`);
    const perS = run.succeeded / 6;
    assert.ok(perS >= 0.8 * (3_000 / USUAL_MS), `${perS} per second`);
  });

  it('compares with the latency target of requests after a restart of the daemon', async () => {
    const well = await simulate({slowness: () => 1, isFirst: true}, 2_000);
    assert.ok(well.fullAfterMs <= 1_000, `${well.fullAfterMs} ms`);
    const slow = await simulate({slowness: () => 3, isFirst: true}, 2_000);
    assert.ok(slow.levelAt(1_000) <= 5, `${slow.levelAt(1_000)} at 1 s`);
  });

  it('has no effect on a target that was never cold and fails only now and then', () => {
    const {pace, clock} = createPace();
    for (let n = 0; n < 50; n += 1) {
      pace.record(outcome({startedAtMs: clock.nowMs(), hasFailed: n % 3 !== 0}));
      assert.deepEqual([pace.level, pace.rateRps], [undefined, Infinity]);
    }
  });
});

function createPace() {
  const clock = new ManualClock();
  const durations = new ClassDurations();
  return {clock, durations, pace: new PaceController({clock, slots: SLOTS, durations})};
}

function outcome(fields: {startedAtMs: number; workMs?: number; hasFailed?: boolean}) {
  return {
    requestClass: 'read',
    workMs: USUAL_MS,
    hasFailed: false,
    fallbackMs: USUAL_MS,
    ...fields,
  };
}

/** Runs a target at its pace, always with more requests than it takes. */
async function simulate({slowness, fails, isFirst, reason}: Target, durationMs: number) {
  const {clock, durations, pace} = createPace();
  if (!isFirst) durations.record('read', USUAL_MS);
  const limiter = new RateLimiter({
    clock,
    rateLimitRps: () => (pace.rateRps === Infinity ? undefined : pace.rateRps),
  });
  pace.begin(reason ?? 'cold');
  let running: Array<{startedAtMs: number; endsAtMs: number; hasFailed: boolean}> = [];
  const levels: number[] = [];
  const counts = {failed: 0, succeeded: 0};
  const startMs = clock.nowMs();
  for (let timeMs = 0; timeMs < durationMs; timeMs += STEP_MS) {
    const nowMs = startMs + timeMs;
    const ended = running.filter(({endsAtMs}) => endsAtMs <= nowMs);
    running = running.filter(({endsAtMs}) => endsAtMs > nowMs);
    for (const {startedAtMs, hasFailed} of ended) {
      counts[hasFailed ? 'failed' : 'succeeded'] += 1;
      pace.record(outcome({startedAtMs, workMs: nowMs - startedAtMs, hasFailed}));
    }
    while (running.length < pace.concurrency && limiter.tryTake()) {
      const hasFailed = fails?.(timeMs) === true;
      const workMs = hasFailed ? STEP_MS : USUAL_MS * slowness(timeMs, running.length + 1);
      running.push({startedAtMs: nowMs, endsAtMs: nowMs + workMs, hasFailed});
    }
    levels.push(pace.concurrency);
    await clock.advance(STEP_MS);
  }
  const fullIndex = levels.indexOf(SLOTS);
  return {
    ...counts,
    fullAfterMs: fullIndex < 0 ? Infinity : fullIndex * STEP_MS,
    levelAt: (timeMs: number) => levels[timeMs / STEP_MS]!,
    levelsFrom: (timeMs: number) => levels.slice(timeMs / STEP_MS),
  };
}
