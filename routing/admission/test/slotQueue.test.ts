import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {SlotQueue} from '@medlarlane/admission';
import type {SlotPermit, SlotRequest} from '@medlarlane/admission';
import {MedlarlaneError} from '@medlarlane/errors';
import {ManualClock} from '@medlarlane/lifecycle';

const WORK_MS = 100;

describe('SlotQueue', () => {
  const openQueues: Array<{close: () => void}> = [];
  afterEach(() => {
    for (const queue of openQueues.splice(0)) queue.close();
  });

  it('admits as many concurrent requests as there are slots', async () => {
    const {admit, queue} = await startQueue(2);
    assert.deepEqual(await Promise.all([admit({}), admit({})]), ['run', 'run']);
    assert.equal(queue.inFlight, 2);
  });

  it('queues a request that can still meet its latency target', async () => {
    const {admit, finishOne} = await startQueue(1);
    await admit({});
    const second = admit({latencyTargetAtMs: 500});
    finishOne();
    assert.equal(await second, 'run');
  });

  it('refuses a request that cannot meet its latency target immediately, with a retry delay', async () => {
    const {queue, admit, request} = await startQueue(1);
    await admit({});
    await assert.rejects(
      queue.acquire(request({latencyTargetAtMs: 150})),
      (error: MedlarlaneError) => {
        assert.deepEqual([error.code, error.ran], ['OVERLOADED', 'no']);
        return Number(error.details['retryAfterMs']) > 0;
      },
    );
  });

  it('runs the request with the earlier latency target first among equal priorities', async () => {
    const {admit, finishOne, order} = await startQueue(1);
    await admit({requestClass: 'first'});
    const booking = admit({requestClass: 'booking', latencyTargetAtMs: 800});
    const call = admit({requestClass: 'call', latencyTargetAtMs: 350});
    finishOne();
    await call;
    finishOne();
    await booking;
    assert.deepEqual(order, ['first', 'call', 'booking']);
  });

  it('keeps high-priority requests and refuses the others in a burst', async () => {
    const {queue, admit, finishOne} = await startQueue(1);
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
    const refused = results.slice(0, 20).filter((result) => result === 'OVERLOADED');
    assert.ok(refused.length >= 16);
    assert.ok(!results.slice(0, 20).includes('run'));
  });

  it('runs late requests after a burst, behind all requests that can meet their latency target', async () => {
    const {admit, finishOne, order} = await startQueue(1);
    await admit({requestClass: 'first'});
    const late = admit({requestClass: 'late', latencyTargetAtMs: 150, acceptLate: true});
    const timely = admit({requestClass: 'timely', latencyTargetAtMs: 900});
    finishOne();
    await timely;
    finishOne();
    assert.equal(await late, 'run');
    assert.deepEqual(order, ['first', 'timely', 'late']);
  });

  it('keeps a waiting request that accepts a late response when higher priorities delay it', async () => {
    const {admit, finishOne, order} = await startQueue(1);
    await admit({requestClass: 'first'});
    const delayed = admit({
      requestClass: 'pushed',
      priority: 2,
      latencyTargetAtMs: 250,
      acceptLate: true,
    });
    const urgent = admit({requestClass: 'urgent', priority: 0, latencyTargetAtMs: 250});
    finishOne();
    await urgent;
    finishOne();
    assert.equal(await delayed, 'run');
    assert.deepEqual(order, ['first', 'urgent', 'pushed']);
  });

  it('immediately refuses a request that would wait beyond its deadline', async () => {
    const {admit} = await startQueue(1);
    await admit({});
    assert.equal(
      await admit({latencyTargetAtMs: 150, deadlineAtMs: 180, acceptLate: true}),
      'OVERLOADED',
    );
  });

  it('queues no late request while timely requests need all slots', async () => {
    const {admit, finishOne, clock, elapsedMs} = await startQueue(1);
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

  it('admits mostly requests that meet their latency target before any duration is known', async (t) => {
    t.mock.timers.enable({apis: ['setTimeout']});
    // Scenario: all targets have just started and all callers retry.
    const clock = new ManualClock();
    const queue = new SlotQueue({slots: 13, clock});
    openQueues.push({close: () => queue.refuseQueued(new MedlarlaneError('DRAINING'))});
    const responses = {inTime: 0, late: 0};
    for (let n = 0; n < 120; n += 1) {
      const requestedAtMs = clock.nowMs();
      const times = {latencyTargetAtMs: requestedAtMs + 1_300, deadlineAtMs: requestedAtMs + 3_100};
      queue.acquire({requestClass: 'lookup', priority: 1, ...times}).then(
        async (permit) => {
          await clock.sleep(720);
          permit.release(720);
          responses[clock.nowMs() <= times.latencyTargetAtMs ? 'inTime' : 'late'] += 1;
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
    assert.ok(responses.late <= 3, `${responses.late} late`);
    // All 13 slots complete two rounds while the callers wait.
    assert.ok(responses.inTime >= 26, `${responses.inTime} in time`);
  });

  it('refuses a request that its caller cancelled', async () => {
    const {admit} = await startQueue(1);
    await admit({});
    const abort = new AbortController();
    const waiting = admit({latencyTargetAtMs: 900, signal: abort.signal});
    abort.abort();
    assert.equal(await waiting, 'CANCELLED');
  });

  async function startQueue(slots: number) {
    const clock = new ManualClock();
    const queue = new SlotQueue({slots, clock});
    const permits: SlotPermit[] = [];
    const order: string[] = [];
    let startMs = clock.nowMs();
    /** Times are relative to the end of the warm-up. */
    const request = ({
      latencyTargetAtMs,
      deadlineAtMs,
      ...fields
    }: Partial<SlotRequest>): SlotRequest => ({
      requestClass: 'booking',
      priority: 1,
      latencyTargetAtMs: startMs + (latencyTargetAtMs ?? 500),
      deadlineAtMs: startMs + (deadlineAtMs ?? 1_500),
      ...fields,
    });
    // Warm-up: lets the queue learn the duration of requests.
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
    openQueues.push({close: () => queue.refuseQueued(new MedlarlaneError('DRAINING'))});
    return {queue, admit, finishOne, order, request, clock, elapsedMs};
  }
});

function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
