import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@medlarlane/lifecycle';
import {LoadMeter} from '@medlarlane/load-meter';

test('A steady load is reported once, after its first complete window, and not repeated', async () => {
  const clock = new ManualClock();
  const meter = new LoadMeter({clock, reportIntervalMs: 1000});
  const reports = [];
  for (let second = 0; second < 3; second++) {
    for (let request = 0; request < 100; request++) meter.record(0, request);
    await clock.advance(1000);
    reports.push(meter.takeReport().rangeLoads);
  }
  assert.deepEqual(reports, [[], [{startPosition: 0, rateRps: 100}], []]);
});

test('A hot key is reported, and reported with a rate of 0 once it is no longer hot', async () => {
  const clock = new ManualClock();
  const meter = new LoadMeter({clock, reportIntervalMs: 1000});
  for (let request = 0; request < 1000; request++) meter.record(0, request % 4 === 0 ? 7 : request);
  await clock.advance(1000);
  assert.deepEqual(
    meter.takeReport().keyLoads.map(({position}) => position),
    [7],
  );
  for (let request = 0; request < 1000; request++) meter.record(0, request + 5000);
  await clock.advance(1000);
  assert.deepEqual(meter.takeReport().keyLoads, [{position: 7, rateRps: 0}]);
});
