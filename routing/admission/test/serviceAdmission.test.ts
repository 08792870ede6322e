import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ReturnSchedule, ServiceAdmission} from '@medlarlane/admission';
import {ManualClock} from '@medlarlane/lifecycle';

interface Load {
  readonly priority: number;
  readonly rps: number;
  readonly workS: number;
}

const INTERVAL_MS = 400;
const LOOKUP: Load = {priority: 0, rps: 300, workS: 0.2};
const EXPORT: Load = {priority: 1, rps: 100, workS: 0.2};
const LONG: Load = {priority: 2, rps: 30, workS: 0.7};

describe('ServiceAdmission', () => {
  it('refuses nothing of a service with free slots', async () => {
    const {admission, run} = startService();
    await run([LOOKUP, EXPORT, LONG]);
    assert.deepEqual(admission.levels, []);
  });

  it('refuses only the low class in a burst of one low class, and leaves no slots idle', async () => {
    const {admission, run} = startService();
    const {busyFraction} = await run([LOOKUP, EXPORT, {...LONG, rps: 160}]);
    assert.deepEqual([admission.level(0), admission.level(1)], [1, 1]);
    assert.ok(admission.level(2) > 0.4 && admission.level(2) < 0.6, `${admission.level(2)}`);
    assert.ok(busyFraction > 0.95, `${busyFraction}`);
  });

  it('refuses the lower classes first in a burst of the highest class', async () => {
    const {admission, run} = startService();
    await run([{...LOOKUP, rps: 850}, EXPORT, LONG]);
    assert.ok(admission.level(0) > 0.7 && admission.level(0) < 0.85, `${admission.level(0)}`);
    assert.ok(admission.level(2) < 0.01 && admission.level(1) < 0.01);
  });

  it('keeps the slots busy and the highest class whole under retry abuse', async () => {
    const {admission, run} = startService();
    // A third of the refused callers sends each request four times.
    const {busyFraction} = await run([LOOKUP, EXPORT, {...LONG, rps: 30 * 2 * 1.9}]);
    assert.deepEqual([admission.level(0), admission.level(1)], [1, 1]);
    assert.ok(busyFraction > 0.95, `${busyFraction}`);
  });

  it('admits everything after a restart of everything, until there are new sums', async () => {
    const {admission, run, clock} = startService();
    assert.equal(admission.tryAdmit(2, {isReturning: false}), true);
    await run([{...LOOKUP, rps: 700}, LONG]);
    const before = admission.level(2);
    await clock.advance(1_500);
    assert.ok(admission.level(2) - before < 0.01, 'the level ends too early');
    await clock.advance(500);
    assert.ok(Math.abs(admission.level(2) - 0.5) < 0.1, `${admission.level(2)}`);
    await clock.advance(500);
    assert.equal(admission.level(2), 1);
  });

  it('refuses the least urgent requests when a zone is gone, and none when it is back', async () => {
    const {admission, run} = startService();
    await run([LOOKUP, EXPORT, LONG], {slots: 90});
    assert.deepEqual([admission.level(0), admission.level(1)], [1, 1]);
    assert.ok(admission.level(2) < 0.75, `${admission.level(2)}`);
    await run([LOOKUP, EXPORT, LONG]);
    assert.deepEqual(admission.levels, []);
  });

  it('leaves requests of one priority only to the gates', async () => {
    const {admission, run} = startService();
    await run([{...LONG, rps: 400}]);
    assert.deepEqual([admission.levels, admission.isActive], [[], false]);
  });

  it('admits callers that return before new ones of their class', async () => {
    const {admission, run} = startService();
    await run([LOOKUP, EXPORT, {...LONG, rps: 90}]);
    const level = admission.level(2);
    const admitted = {returning: 0, new: 0};
    for (let n = 0; n < 500; n += 1) {
      const isReturning = n % 5 === 0;
      if (admission.tryAdmit(2, {isReturning})) admitted[isReturning ? 'returning' : 'new'] += 1;
    }
    assert.ok(admitted.returning >= 95, `${admitted.returning} of 100`);
    assert.ok(Math.abs((admitted.returning + admitted.new) / 500 - level) < 0.05);
  });

  it('states free capacity after a burst and none in a lasting overload', async () => {
    const {admission, run} = startService();
    await run([LOOKUP, EXPORT, {...LONG, rps: 90}], {rounds: 3});
    assert.ok(admission.freeRps(2) > 5, `${admission.freeRps(2)}`);
    await run([LOOKUP, EXPORT, {...LONG, rps: 90}], {rounds: 50});
    assert.equal(admission.freeRps(2), 0);
    assert.ok(admission.freeRps(0) > 100);
  });
});

describe('ReturnSchedule', () => {
  it('spreads refused callers at the rate of free capacity', () => {
    const schedule = new ReturnSchedule(new ManualClock());
    const delays = refuse(schedule, 20, 5);
    // Within a third of 6 s, 5 callers per second can return after the earliest return at 720 ms.
    assert.deepEqual(delays.slice(0, 3), [720, 920, 1_120]);
    assert.equal(delays.filter((delay) => delay !== undefined).length, 7);
    assert.ok(delays.every((delay) => delay === undefined || delay <= 2_000));
  });

  it('promises nothing where no capacity will be free', () => {
    const schedule = new ReturnSchedule(new ManualClock());
    assert.deepEqual(refuse(schedule, 2, 0), [undefined, undefined]);
    const times = {freeRps: 5, timeLeftMs: 600, workMs: 590};
    assert.equal(schedule.reserve(times), undefined);
  });

  function refuse(schedule: ReturnSchedule, count: number, freeRps: number) {
    return Array.from({length: count}, () =>
      schedule.reserve({freeRps, timeLeftMs: 6_000, workMs: 700}),
    );
  }
});

/** A service whose slots run what its level admits and refuse the rest, least urgent first. */
function startService() {
  const clock = new ManualClock();
  const admission = new ServiceAdmission(clock);
  const run = async (
    loads: readonly Load[],
    {slots = 128, rounds = 20}: {slots?: number; rounds?: number} = {},
  ): Promise<{busyFraction: number}> => {
    let busySlots = 0;
    for (let round = 0; round < rounds; round += 1) {
      busySlots = 0;
      const byPriority = loads.map(({priority, rps, workS}) => {
        const admittedSlots = admission.level(priority) * rps * workS;
        const ranSlots = Math.min(admittedSlots, slots - busySlots);
        busySlots += ranSlots;
        const completedRps = ranSlots / workS;
        const refusedRps = (admittedSlots - ranSlots) / workS;
        return {
          priority,
          newRps: rps,
          returnedRps: 0,
          completedRps,
          busySlots: ranSlots,
          refusedRps,
        };
      });
      await clock.advance(INTERVAL_MS);
      admission.update({usableSlots: slots, busySlots, byPriority});
    }
    return {busyFraction: busySlots / slots};
  };
  return {clock, admission, run};
}
