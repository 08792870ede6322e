import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {DemandMeter} from '@medlarlane/admission';
import {ManualClock} from '@medlarlane/lifecycle';

describe('DemandMeter', () => {
  it('measures busy slots, completed work and arrivals by priority', async () => {
    const clock = new ManualClock();
    const meter = new DemandMeter(clock);
    for (let n = 0; n < 100; n += 1) {
      meter.recordArrival('lookup', 0, {isReturning: n % 5 === 0});
      meter.recordStart();
      await clock.advance(100);
      meter.recordEnd({priority: 0, heldMs: 100});
    }
    const {busySlots, gate, entries} = meter.report(1);
    assert.ok(busySlots > 0.99 && meter.isNearCapacity(1), `${busySlots}`);
    const [, completedRps, heldSlots] = gate[0]!;
    assert.ok(Math.abs(completedRps - 10) < 1 && Math.abs(heldSlots - 1) < 0.1);
    const [, newRps, returnedRps] = entries[0]![1][0]!;
    assert.ok(newRps > returnedRps && Math.abs(newRps + returnedRps - 10) < 1.5);
    await clock.advance(15_000);
    assert.deepEqual(meter.report(1), {busySlots: 0, usableSlots: 1, gate: [], entries: []});
  });
});
