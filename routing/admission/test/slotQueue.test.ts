import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {SlotQueue} from '@medlarlane/admission';
import type {SlotPermit, SlotRequest} from '@medlarlane/admission';
import {MedlarlaneError} from '@medlarlane/errors';
import {ManualClock} from '@medlarlane/lifecycle';

const WORK_MS = 100;

describe('The queue for the slots of a target', () => {
  const opened: Array<{close: () => void}> = [];
  afterEach(() => {
    for (const queue of opened.splice(0)) queue.close();
  });

  it('admits up to the slots at once', async () => {
    const {admit, queue} = await open(2);
    assert.deepEqual(await Promise.all([admit({}), admit({})]), ['run', 'run']);
    assert.equal(queue.inFlight, 2);
  });

  it('lets a request wait that can still be answered in time', async () => {
    const {admit, finishOne} = await open(1);
    await admit({});
    const second = admit({latencyTargetAtMs: 500});
    finishOne();
    assert.equal(await second, 'run');
  });

  it('refuses at once what cannot be answered in time, and says when there is room', async () => {
    const {queue, admit, request} = await open(1);
    await admit({});
    await assert.rejects(
      queue.acquire(request({latencyTargetAtMs: 150})),
      (error: MedlarlaneError) => {
        assert.deepEqual([error.code, error.ran], ['OVERLOADED', 'no']);
        return Number(error.details['retryAfterMs']) > 0;
      },
    );
  });

  it('runs a call of another target before new work of the same priority', async () => {
    const {admit, finishOne, order} = await open(1);
    await admit({requestClass: 'first'});
    const booking = admit({requestClass: 'booking', latencyTargetAtMs: 800});
    const call = admit({requestClass: 'call', latencyTargetAtMs: 350});
    finishOne();
    await call;
    finishOne();
    await booking;
    assert.deepEqual(order, ['first', 'call', 'booking']);
  });

  it('keeps the urgent work and refuses the rest when a crowd comes', async () => {
    const {queue, admit, finishOne} = await open(1);
    await admit({});
    const outcomes = [
      ...Array.from({length: 20}, () => admit({priority: 2, latencyTargetAtMs: 500})),
      ...Array.from({length: 3}, () => admit({priority: 1, latencyTargetAtMs: 500})),
    ];
    for (let n = 0; n < 3; n += 1) {
      await settle();
      finishOne();
    }
    await settle();
    queue.refuseQueued(new MedlarlaneError('DRAINING'));
    const results = await Promise.all(outcomes);
    assert.deepEqual(results.slice(20), ['run', 'run', 'run']);
    const refusedAtOnce = results.slice(0, 20).filter((result) => result === 'OVERLOADED');
    assert.ok(refusedAtOnce.length >= 16);
    assert.ok(!results.slice(0, 20).includes('run'));
  });

  it('answers late what a short crowd leaves over, after everything that can be in time', async () => {
    const {admit, finishOne, order} = await open(1);
    await admit({requestClass: 'first'});
    const late = admit({requestClass: 'late', latencyTargetAtMs: 150, acceptLate: true});
    const timely = admit({requestClass: 'timely', latencyTargetAtMs: 900});
    finishOne();
    await timely;
    finishOne();
    assert.equal(await late, 'run');
    assert.deepEqual(order, ['first', 'timely', 'late']);
  });

  it('keeps a waiting request for a late answer when more urgent ones push it back', async () => {
    const {admit, finishOne, order} = await open(1);
    await admit({requestClass: 'first'});
    const pushed = admit({
      requestClass: 'pushed',
      priority: 2,
      latencyTargetAtMs: 250,
      acceptLate: true,
    });
    const urgent = admit({requestClass: 'urgent', priority: 0, latencyTargetAtMs: 250});
    finishOne();
    await urgent;
    finishOne();
    assert.equal(await pushed, 'run');
    assert.deepEqual(order, ['first', 'urgent', 'pushed']);
  });

  it('refuses at once what would wait beyond its deadline', async () => {
    const {admit} = await open(1);
    await admit({});
    assert.equal(
      await admit({latencyTargetAtMs: 150, deadlineAtMs: 180, acceptLate: true}),
      'OVERLOADED',
    );
  });

  it('takes nothing for a late answer while requests in time need all slots', async () => {
    const {admit, finishOne, clock, elapsedMs} = await open(1);
    const timely = () => ({
      latencyTargetAtMs: elapsedMs() + 500,
      deadlineAtMs: elapsedMs() + 1_500,
    });
    for (let n = 0; n < 25; n += 1) {
      assert.equal(await admit(timely()), 'run');
      await clock.advance(WORK_MS);
      finishOne();
      await settle();
    }
    assert.equal(await admit(timely()), 'run');
    const late = {...timely(), latencyTargetAtMs: elapsedMs() + 150, acceptLate: true};
    assert.equal(await admit(late), 'OVERLOADED');
  });

  it('spends the first slots of a target that it knows nothing of on answers in time', async (t) => {
    t.mock.timers.enable({apis: ['setTimeout']});
    // The pattern: all targets have just started, and all callers come back.
    const clock = new ManualClock();
    const queue = new SlotQueue({slots: 13, clock});
    opened.push({close: () => queue.refuseQueued(new MedlarlaneError('DRAINING'))});
    const answers = {inTime: 0, late: 0};
    for (let n = 0; n < 120; n += 1) {
      const askedAtMs = clock.nowMs();
      const times = {latencyTargetAtMs: askedAtMs + 1_300, deadlineAtMs: askedAtMs + 3_100};
      queue.acquire({requestClass: 'lookup', priority: 1, ...times}).then(
        async (permit) => {
          await clock.sleep(720);
          permit.release(720);
          answers[clock.nowMs() <= times.latencyTargetAtMs ? 'inTime' : 'late'] += 1;
        },
        () => undefined,
      );
      await clock.advance(10);
      t.mock.timers.tick(10);
    }
    for (let n = 0; n < 60; n += 1) {
      await clock.advance(50);
      t.mock.timers.tick(50);
    }
    assert.ok(answers.late <= 3, `${answers.late} late`);
    // Two rounds of all slots end while the callers wait.
    assert.ok(answers.inTime >= 26, `${answers.inTime} in time`);
  });

  it('refuses a request whose caller has left', async () => {
    const {admit} = await open(1);
    await admit({});
    const abort = new AbortController();
    const waiting = admit({latencyTargetAtMs: 900, signal: abort.signal});
    abort.abort();
    assert.equal(await waiting, 'CANCELLED');
  });

  async function open(slots: number) {
    const clock = new ManualClock();
    const queue = new SlotQueue({slots, clock});
    const permits: SlotPermit[] = [];
    const order: string[] = [];
    let startMs = clock.nowMs();
    /** Times are counted from when the queue has learned. */
    const request = ({
      latencyTargetAtMs: targetAtMs,
      deadlineAtMs,
      ...fields
    }: Partial<SlotRequest>): SlotRequest => ({
      requestClass: 'booking',
      priority: 1,
      latencyTargetAtMs: startMs + (targetAtMs ?? 500),
      deadlineAtMs: startMs + (deadlineAtMs ?? 1_500),
      ...fields,
    });
    // Teaches the queue how long work takes.
    for (let n = 0; n < 200; n += 1) {
      (await queue.acquire(request({}))).release(WORK_MS);
    }
    await clock.advance(60_000);
    startMs = clock.nowMs();
    const elapsedMs = (): number => clock.nowMs() - startMs;
    const admit = async (fields: Partial<SlotRequest>): Promise<string> => {
      try {
        permits.push(await queue.acquire(request(fields)));
        order.push(fields.requestClass ?? 'booking');
        return 'run';
      } catch (error) {
        return (error as MedlarlaneError).code;
      }
    };
    const finishOne = (): void => permits.shift()?.release(WORK_MS);
    opened.push({close: () => queue.refuseQueued(new MedlarlaneError('DRAINING'))});
    return {queue, admit, finishOne, order, request, clock, elapsedMs};
  }
});

function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
