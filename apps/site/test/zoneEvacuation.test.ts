import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';
import {ZoneEvacuation} from '@medlarlane/site';

describe('Evacuations at a daemon', () => {
  it('ignores an older state that arrives late', () => {
    const {evacuation, applied} = startEvacuation();
    evacuation.apply({index: 8, zones: ['a']});
    evacuation.apply({index: 5, zones: []});
    assert.deepEqual(applied, [['a']]);
    assert.equal(evacuation.index, 8);
  });

  it('returns its target to service only after the check', async () => {
    const {evacuation, target, checks, clock} = startEvacuation();
    evacuation.apply({index: 1, zones: ['a', 'b']});
    evacuation.apply({index: 2, zones: ['b']});
    assert.equal(target.isEvacuated, true);
    checks[0]!.settle();
    await clock.advance(0);
    assert.equal(target.isEvacuated, false);
    evacuation.apply({index: 3, zones: []});
    assert.equal(checks.length, 1);
  });

  // Guards against a check of an earlier return that ends a later evacuation.
  it('keeps its target out of service when the zone is evacuated again during the check', async () => {
    const {evacuation, target, checks, clock} = startEvacuation();
    evacuation.apply({index: 1, zones: ['a']});
    evacuation.apply({index: 2, zones: []});
    evacuation.apply({index: 3, zones: ['a']});
    assert.equal(checks[0]!.signal.aborted, true);
    checks[0]!.settle();
    await clock.advance(2_000);
    assert.equal(target.isEvacuated, true);
    evacuation.apply({index: 4, zones: []});
    checks[1]!.settle();
    await clock.advance(0);
    assert.equal(target.isEvacuated, false);
  });

  it('returns its target to service when the check takes too long', async () => {
    const {evacuation, target, checks, clock} = startEvacuation();
    evacuation.apply({index: 1, zones: ['a']});
    evacuation.apply({index: 2, zones: []});
    await clock.advance(900);
    assert.equal(target.isEvacuated, true);
    await clock.advance(200);
    assert.deepEqual([target.isEvacuated, checks[0]!.signal.aborted], [false, true]);
  });
});

function startEvacuation() {
  const clock = new ManualClock();
  const target = {isEvacuated: false};
  const applied: Array<readonly string[]> = [];
  const checks: Array<{signal: AbortSignal; settle: () => void}> = [];
  const evacuation = new ZoneEvacuation({
    availabilityZone: 'a',
    view: {setEvacuatedZones: (zones) => void applied.push(zones)},
    hostedTarget: {setEvacuated: (isEvacuated) => void (target.isEvacuated = isEvacuated)},
    clock,
    logger: silentLogger,
  });
  evacuation.onZoneRestored = (signal) =>
    new Promise((resolve) => checks.push({signal, settle: resolve}));
  return {evacuation, target, applied, checks, clock};
}
