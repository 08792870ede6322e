import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LoadAggregator, type LoadReport} from '@medlarlane/placement';
import {serviceInput} from './placementFixture.js';

const {ranges} = serviceInput({servers: 2, rangesPerServer: 2});
const starts = ranges.map(({startPosition}) => startPosition);

function report(
  rates: ReadonlyArray<[number, number]>,
  keys: ReadonlyArray<[number, number]> = [],
): LoadReport {
  return {
    rangeLoads: rates.map(([startPosition, rateRps]) => ({startPosition, rateRps})),
    keyLoads: keys.map(([position, rateRps]) => ({position, rateRps})),
  };
}

test('A report is merged with the previous reports of the session', () => {
  const aggregator = new LoadAggregator();
  aggregator.mergeReport(
    1,
    report(
      [
        [starts[0]!, 10],
        [starts[2]!, 20],
      ],
      [
        [7, 5],
        [8, 4],
      ],
    ),
    0,
  );
  aggregator.mergeReport(1, report([[starts[2]!, 30]], [[8, 0]]), 100);
  const {rangeLoads, hotKeys} = aggregator.loadsOf(ranges, 100);
  assert.deepEqual(
    [...rangeLoads],
    [
      [starts[0], 10],
      [starts[2], 30],
    ],
  );
  assert.deepEqual(hotKeys, [{position: 7, rateRps: 5}]);
});

test('A report about a range of another session is ignored', () => {
  const aggregator = new LoadAggregator();
  aggregator.mergeReport(1, report([[starts[1]!, 10]], [[starts[1]! + 1, 10]]), 0);
  assert.deepEqual(aggregator.loadsOf(ranges, 0), {rangeLoads: new Map(), hotKeys: []});
});

test('The loads of a session decay without reports and are removed when it ends', () => {
  const aggregator = new LoadAggregator({halfLifeMs: 1_000});
  aggregator.mergeReport(1, report([[starts[0]!, 80]]), 0);
  assert.equal(aggregator.loadsOf(ranges, 1_000).rangeLoads.get(starts[0]!), 80);
  assert.equal(aggregator.loadsOf(ranges, 2_000).rangeLoads.get(starts[0]!), 40);
  aggregator.removeSession(1);
  assert.equal(aggregator.loadsOf(ranges, 0).rangeLoads.size, 0);
  assert.equal(aggregator.sessionCount, 0);
});

test('The loads kept per session are bounded', () => {
  const aggregator = new LoadAggregator({maxKeysPerSession: 8, maxRangesPerSession: 8});
  for (let i = 0; i < 100; i++) {
    aggregator.mergeReport(1, report([[i, 1]], [[i, i + 1]]), i);
  }
  const {hotKeys, rangeLoads} = aggregator.loadsOf(
    Array.from({length: 100}, (_, i) => ({
      startPosition: i,
      ownerSessionId: 1,
      nextSessionId: 0,
      epoch: 1,
    })),
    100,
  );
  assert.deepEqual(
    hotKeys.map(({position}) => position),
    [99, 98, 97, 96, 95, 94, 93, 92],
  );
  assert.equal(rangeLoads.size, 8);
});

test('Rates that are not numbers are ignored', () => {
  const aggregator = new LoadAggregator();
  aggregator.mergeReport(
    1,
    report([
      [starts[0]!, Number.NaN],
      [starts[2]!, -1],
    ]),
    0,
  );
  assert.equal(aggregator.loadsOf(ranges, 0).rangeLoads.size, 0);
});
