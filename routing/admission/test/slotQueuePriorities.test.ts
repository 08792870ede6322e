import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {TestContext} from 'node:test';
import {SlotQueue} from '@medlarlane/admission';
import {MedlarlaneError} from '@medlarlane/errors';
import {ManualClock} from '@medlarlane/lifecycle';

interface LoadClass {
  readonly name: string;
  readonly priority: number;
  /** Share of the requests. */
  readonly share: number;
  readonly workMs: number;
  readonly latencyTargetMs: number;
  readonly deadlineMs: number;
  /** Duration of a call that a share of 70% of the requests makes while it runs. */
  readonly callMs?: number;
}

interface Outcome {
  offered: number;
  served: number;
  inTime: number;
}

const SEEDS = [1, 2, 3, 4, 5, 6];
/** Share that timely requests before late ones of a higher priority served on the slow target. */
const MIN_TOTAL_SHARE = 0.714;
const SLOTS = 8;
const STEP_MS = 5;
const DURATION_MS = 60_000;
/** Callers make this many attempts and honour a retry delay of up to a third of the time left. */
const MAX_ATTEMPTS = 4;
const MAX_WAIT_FRACTION = 1 / 3;
const CALL_SHARE = 0.7;
/** Other workloads on the machine slow the target down for a share of the time. */
const BUSY_SHARE = 0.2;
const BUSY_SLOWDOWN = 2;
const BUSY_PERIOD_MS = 400;
const LOOKUP: LoadClass = {
  name: 'lookup',
  priority: 0,
  share: 0.78,
  workMs: 171,
  latencyTargetMs: 553,
  deadlineMs: 4_420,
  callMs: 60,
};
const BOOKING: LoadClass = {
  name: 'booking',
  priority: 1,
  share: 0.22,
  workMs: 219,
  latencyTargetMs: 852,
  deadlineMs: 5_323,
};

describe('SlotQueue with several priorities', () => {
  // Guards against the highest priority being served worst because its latency target is the shortest: on
  // a slow target its requests are late and used to wait for what timely bookings left free.
  it('serves the highest priority at least as well on a slow target at 1.3 times its capacity', async (t) => {
    const [lookup, booking] = await runSeeds(t, {load: 1.3, speed: 0.5});
    assert.ok(servedShare(lookup!) >= servedShare(booking!), 'lookups are served worse');
    const share = (lookup!.served + booking!.served) / (lookup!.offered + booking!.offered);
    assert.ok(share >= MIN_TOTAL_SHARE, `${share} served`);
  });

  it('serves the highest priority at least as well on a usual target at 1.3 times its capacity', async (t) => {
    const [lookup, booking] = await runSeeds(t, {load: 1.3, speed: 1});
    assert.ok(servedShare(lookup!) >= servedShare(booking!), 'lookups are served worse');
  });

  // Guards against calls of running requests waiting behind long requests of a lower priority.
  it('leaves a slot to the highest priority for a second after its last request', async (t) => {
    t.mock.timers.enable({apis: ['setTimeout']});
    const clock = new ManualClock();
    const queue = new SlotQueue({slots: SLOTS, clock});
    const admit = async (priority: number) => {
      const times = {latencyTargetAtMs: clock.nowMs() + 4_000, deadlineAtMs: clock.nowMs() + 9_000};
      const permit = await queue.acquire({requestClass: 'any', priority, ...times});
      admitted.push(priority);
      return permit;
    };
    const admitted: number[] = [];
    (await admit(0)).release(40);
    const lower = Array.from({length: SLOTS}, () => admit(2));
    await clock.advance(500);
    t.mock.timers.tick(500);
    assert.equal(queue.inFlight, SLOTS - 1);
    await admit(0);
    assert.deepEqual(admitted.slice(-1), [0]);
    await clock.advance(1_100);
    t.mock.timers.tick(1_100);
    (await lower[0]!).release(1_600);
    await clock.advance(0);
    assert.equal(queue.inFlight, SLOTS, 'a slot idles without requests of the highest priority');
    queue.refuseQueued(new MedlarlaneError('DRAINING'));
  });
});

function servedShare({served, offered}: Outcome): number {
  return served / offered;
}

function print(t: TestContext, outcomes: readonly Outcome[]): void {
  for (const {offered, served, inTime} of outcomes) {
    t.diagnostic(
      `served ${(served / offered).toFixed(3)}, in time ${(inTime / offered).toFixed(3)} of ${offered}`,
    );
  }
}

async function runSeeds(
  t: TestContext,
  conditions: {load: number; speed: number},
): Promise<Outcome[]> {
  const sums = [LOOKUP, BOOKING].map((): Outcome => ({offered: 0, served: 0, inTime: 0}));
  for (const seed of SEEDS) {
    for (const [index, outcome] of (await runLoad(t, {...conditions, seed})).entries()) {
      const sum = sums[index]!;
      sum.offered += outcome.offered;
      sum.served += outcome.served;
      sum.inTime += outcome.inTime;
    }
  }
  print(t, sums);
  return sums;
}

/** Offers random requests of the classes at a multiple of the capacity; refused callers return. */
async function runLoad(
  t: TestContext,
  {load, speed, seed}: {load: number; speed: number; seed: number},
): Promise<Outcome[]> {
  const classes = [LOOKUP, BOOKING];
  t.mock.timers.enable({apis: ['setTimeout']});
  const random = seededRandom(seed);
  t.mock.method(Math, 'random', random);
  const clock = new ManualClock();
  const queue = new SlotQueue({slots: SLOTS, clock});
  const outcomes = classes.map((): Outcome => ({offered: 0, served: 0, inTime: 0}));
  const due: Array<{atMs: number; run: () => void}> = [];
  const schedule = (delayMs: number, run: () => void): void => {
    due.push({atMs: clock.nowMs() + delayMs, run});
  };
  const attempt = (index: number, startedAtMs: number, count: number): void => {
    const {name, priority, workMs, latencyTargetMs, deadlineMs, callMs = 0} = classes[index]!;
    const outcome = outcomes[index]!;
    const deadlineAtMs = startedAtMs + deadlineMs;
    const latencyTargetAtMs = startedAtMs + latencyTargetMs;
    queue
      .acquire({requestClass: name, priority, latencyTargetAtMs, deadlineAtMs, acceptLate: true})
      .then(
        (permit) => {
          const ownMs = workMs * (0.5 + random()) * slowness;
          const durationMs = ownMs + (random() < CALL_SHARE ? callMs : 0);
          schedule(durationMs, () => {
            permit.release(durationMs);
            queue.recordDuration(name, durationMs);
            if (clock.nowMs() <= deadlineAtMs) outcome.served += 1;
            if (clock.nowMs() <= latencyTargetAtMs) outcome.inTime += 1;
          });
        },
        (error: MedlarlaneError) => {
          const delayMs = Number(error.details['retryAfterMs']);
          const maxDelayMs = (deadlineAtMs - clock.nowMs()) * MAX_WAIT_FRACTION;
          if (!(delayMs >= 0) || count >= MAX_ATTEMPTS) return;
          schedule(Math.min(delayMs, maxDelayMs), () => attempt(index, startedAtMs, count + 1));
        },
      );
  };
  const meanSlowness = (1 + BUSY_SHARE * (BUSY_SLOWDOWN - 1)) / speed;
  const meanWorkMs = classes.reduce(
    (sum, {share, workMs, callMs = 0}) =>
      sum + share * (workMs * meanSlowness + callMs * CALL_SHARE),
    0,
  );
  let slowness = 1 / speed;
  let slownessUntilMs = 0;
  const perStep = (load * SLOTS * STEP_MS) / meanWorkMs;
  const startMs = clock.nowMs();
  while (clock.nowMs() - startMs < DURATION_MS) {
    for (const [index, {share}] of classes.entries()) {
      if (random() >= perStep * share) continue;
      outcomes[index]!.offered += 1;
      attempt(index, clock.nowMs(), 1);
    }
    if (clock.nowMs() >= slownessUntilMs) {
      slowness = (random() < BUSY_SHARE ? BUSY_SLOWDOWN : 1) / speed;
      slownessUntilMs = clock.nowMs() + BUSY_PERIOD_MS;
    }
    await clock.advance(STEP_MS);
    t.mock.timers.tick(STEP_MS);
    const nowMs = clock.nowMs();
    const ready = due.filter(({atMs}) => atMs <= nowMs);
    due.splice(0, due.length, ...due.filter(({atMs}) => atMs > nowMs));
    for (const {run} of ready) run();
  }
  queue.refuseQueued(new MedlarlaneError('DRAINING'));
  t.mock.reset();
  return outcomes;
}

/** Linear congruential generator, so that a run can be repeated. */
function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}
