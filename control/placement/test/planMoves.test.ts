import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Move} from '@medlarlane/model';
import {
  assignUnownedRanges,
  planMoves,
  type PlacementInput,
  type PlacementSession,
} from '@medlarlane/placement';
import {
  applyMoves,
  loadsBySession,
  maxOverMean,
  movedFraction,
  serviceInput,
  session,
  type ServiceFixture,
} from './placementFixture.js';

const MAX_IMBALANCE = 1.15;
const createSessions = (count: number): PlacementSession[] =>
  Array.from({length: count}, (_, i) => session(i + 1));

/** Plans and applies moves until the plan is empty. Throws when that takes more than `limit` rounds. */
function settle(
  start: PlacementInput,
  isReported: (startPosition: number) => boolean = () => true,
  limit = 40,
): {input: PlacementInput; rounds: number; moves: Move[]} {
  let input = start;
  const all: Move[] = [];
  for (let rounds = 0; rounds <= limit; rounds++) {
    const reported = [...input.rangeLoads].filter(([start]) => isReported(start));
    const moves = planMoves({...input, rangeLoads: new Map(reported)});
    if (moves.length === 0) return {input, rounds, moves: all};
    all.push(...moves);
    input = applyMoves(input, moves);
  }
  throw new Error(`Still moving after ${limit} rounds`);
}

const skewed = (_: number, owner: number): number => (owner === 1 ? 300 : 100);

const BALANCED_CASES: Array<{
  name: string;
  fixture: ServiceFixture;
  isReported?: (startPosition: number) => boolean;
}> = [
  {name: 'one server has three times the load', fixture: {servers: 5, rateRps: skewed}},
  {name: 'a server joins', fixture: {servers: 5, sessions: createSessions(6)}},
  {name: 'two servers join at once', fixture: {servers: 5, sessions: createSessions(7)}},
  {
    name: 'a server drains',
    fixture: {servers: 6, sessions: [...createSessions(5), session(6, {draining: true})]},
  },
  {
    name: 'a server drains while another joins',
    fixture: {servers: 5, sessions: [session(1, {draining: true}), ...createSessions(6).slice(1)]},
  },
  {
    name: 'two servers drain at once',
    fixture: {
      servers: 6,
      sessions: createSessions(6).map((each) => ({...each, draining: each.sessionId > 4})),
    },
  },
  {
    name: 'all servers but one drain',
    fixture: {
      servers: 3,
      sessions: createSessions(3).map((each) => ({...each, draining: each.sessionId > 1})),
    },
  },
  {
    name: 'a fifth of the reports are missing',
    fixture: {servers: 6, rateRps: skewed},
    isReported: (startPosition) => Math.floor(startPosition / 1000) % 5 !== 0,
  },
  {
    name: 'four hot keys are in one range',
    fixture: {
      servers: 5,
      rateRps: (i) => (i === 0 ? 4100 : 100),
      hotKeys: [11, 12, 13, 14].map((position) => ({position, rateRps: 1000})),
    },
  },
];

for (const weighsMost of ['churn', 'unavailable-time'] as const) {
  for (const {name, fixture, isReported} of BALANCED_CASES) {
    test(`The load is even within 1.15 when ${name} (${weighsMost})`, () => {
      const {input} = settle(serviceInput({...fixture, weighsMost}), isReported);
      assert.ok(maxOverMean(input) <= MAX_IMBALANCE, `max/mean ${maxOverMean(input)}`);
      for (const {sessionId, draining} of input.sessions) {
        if (draining) assert.ok(input.ranges.every((r) => r.ownerSessionId !== sessionId));
      }
    });
  }
}

test('The load becomes even when every report is one plan old', () => {
  let input = serviceInput({servers: 5, rateRps: skewed, weighsMost: 'unavailable-time'});
  let reported = input.rangeLoads;
  let roundsWithoutMoves = 0;
  for (let round = 0; round < 20; round++) {
    const moves = planMoves({...input, rangeLoads: reported});
    roundsWithoutMoves = moves.length === 0 ? roundsWithoutMoves + 1 : 0;
    reported = input.rangeLoads;
    input = applyMoves(input, moves);
  }
  assert.ok(roundsWithoutMoves >= 10, `no moves for ${roundsWithoutMoves} rounds`);
  assert.ok(maxOverMean(input) <= MAX_IMBALANCE, `max/mean ${maxOverMean(input)}`);
});

test('The load is even within 1.15 after two servers are lost at once', () => {
  const input = serviceInput({
    servers: 6,
    sessions: createSessions(4),
    rateRps: (i) => 50 + (i % 7),
  });
  const unowned = [...input.ranges.keys()].filter((i) => input.ranges[i]!.ownerSessionId > 4);
  const owners = assignUnownedRanges(input.ranges, unowned, input.sessions);
  const ranges = [...input.ranges];
  for (const [order, i] of unowned.entries()) {
    ranges[i] = {...ranges[i]!, ownerSessionId: owners[order]!};
  }
  const settled = settle({...input, ranges});
  assert.ok(maxOverMean(settled.input) <= MAX_IMBALANCE);
});

const UNMOVED_CASES: Array<{name: string; fixture: ServiceFixture}> = [
  {name: 'no load is reported', fixture: {servers: 5, rateRps: () => undefined}},
  {name: 'the load is zero everywhere', fixture: {servers: 5, rateRps: () => 0}},
  {name: 'there is a single server', fixture: {servers: 1, rateRps: (i) => i * 50}},
  {name: 'there is no session', fixture: {servers: 3, sessions: []}},
  {
    name: 'every session drains',
    fixture: {servers: 2, sessions: createSessions(2).map((each) => ({...each, draining: true}))},
  },
  {
    name: 'the load differs by a few percent',
    fixture: {servers: 5, rateRps: (_, owner) => 97 + 1.5 * owner},
  },
  {
    name: 'one server reports zero for all its ranges',
    fixture: {servers: 5, rateRps: (_, owner) => (owner === 2 ? 0 : 100)},
  },
  {
    name: 'one server reports nothing',
    fixture: {servers: 5, rateRps: (_, owner) => (owner === 2 ? undefined : 100)},
  },
  {
    name: 'reports are not numbers',
    fixture: {servers: 5, rateRps: (i) => (i % 2 === 0 ? Number.NaN : 100)},
  },
];

for (const {name, fixture} of UNMOVED_CASES) {
  test(`Nothing moves when ${name}`, () => {
    assert.deepEqual(planMoves(serviceInput(fixture)), []);
  });
}

test('A key hotter than the mean load ends alone on one server and the plan settles', () => {
  const hotKeys = [{position: 5, rateRps: 20_000}];
  const fixture = {servers: 5, rateRps: (i: number) => (i === 0 ? 20_100 : 100), hotKeys};
  const {input} = settle(serviceInput(fixture));
  const loads = [...loadsBySession(input).values()].sort((a, b) => b - a);
  assert.ok(loads[0]! <= 20_000 * MAX_IMBALANCE);
  const others = loads.slice(1);
  const mean = others.reduce((sum, load) => sum + load, 0) / others.length;
  assert.ok(others[0]! <= mean * MAX_IMBALANCE, `others ${others.join(', ')}`);
});

test('Two keys hotter than the mean load end on different servers', () => {
  const hotKeys = [5, 6].map((position) => ({position, rateRps: 9_000}));
  const fixture = {servers: 5, rateRps: (i: number) => (i === 0 ? 18_100 : 100), hotKeys};
  const {input} = settle(serviceInput(fixture));
  assert.ok(Math.max(...loadsBySession(input).values()) <= 9_000 * MAX_IMBALANCE);
});

test('A hot key is moved as a range of one position', () => {
  const hotKeys = [1_000_003, 2_000_003].map((position) => ({position, rateRps: 700}));
  const fixture = {servers: 5, rateRps: (i: number) => (i === 0 ? 1_500 : 100), hotKeys};
  const moves = planMoves(serviceInput(fixture));
  const ofKeys = moves.filter(({fromPosition, toPosition}) =>
    hotKeys.some(({position}) => position >= fromPosition && position < toPosition),
  );
  assert.equal(ofKeys.length, 1);
  assert.equal(ofKeys[0]!.toPosition, ofKeys[0]!.fromPosition + 1);
});

test('A server that joins takes about 1/n of the load for at most about 1/n of the positions', () => {
  const {input, moves} = settle(serviceInput({servers: 9, sessions: createSessions(10)}));
  const loads = loadsBySession(input);
  const total = [...loads.values()].reduce((sum, load) => sum + load, 0);
  assert.ok(loads.get(10)! / total >= 0.09);
  assert.ok(movedFraction(moves) <= 0.11, `moved ${movedFraction(moves)}`);
  assert.ok(moves.every(({toSessionId}) => toSessionId === 10));
});

test('Ranges that already move count for their destination and are not moved again', () => {
  const input = serviceInput({servers: 5, rateRps: skewed});
  const ranges = input.ranges.map((range, i) =>
    range.ownerSessionId === 1 && i < 60 ? {...range, nextSessionId: 2 + (i % 4)} : range,
  );
  for (const move of planMoves({...input, ranges})) {
    const range = ranges.findLast(({startPosition}) => startPosition <= move.fromPosition)!;
    assert.equal(range.nextSessionId, 0);
  }
});

test('Ranges of an ended session are not moved', () => {
  const input = serviceInput({servers: 5, sessions: createSessions(4)});
  assert.ok(planMoves(input).every(({fromSessionId}) => fromSessionId <= 4));
});

test('A draining server loses all ranges in one plan even without a churn budget', () => {
  const input = serviceInput({
    servers: 5,
    sessions: [session(1, {draining: true}), ...createSessions(5).slice(1)],
    elapsedMs: 0,
  });
  const moves = planMoves(input);
  assert.ok(Math.abs(movedFraction(moves) - 0.2) < 1e-9);
  assert.ok(moves.every(({fromSessionId}) => fromSessionId === 1));
});

test('A server drains in few moves when the loads are too small to divide', () => {
  const input = serviceInput({
    servers: 2,
    rangesPerServer: 1,
    sessions: [session(1, {draining: true}), session(2), session(3)],
    rateRps: () => Number.MIN_VALUE,
  });
  const moves = planMoves(input);
  assert.ok(moves.length <= 20 && Math.abs(movedFraction(moves) - 0.5) < 1e-9);
});

test('A service that weighs churn most moves less per interval than one that weighs unavailable time most', () => {
  const fractions = (['churn', 'unavailable-time'] as const).map((weighsMost) =>
    movedFraction(
      planMoves(serviceInput({servers: 5, rateRps: skewed, elapsedMs: 5_000, weighsMost})),
    ),
  );
  assert.ok(fractions[0]! > 0 && fractions[0]! < fractions[1]!);
});

test('A service that weighs unavailable time most prefers targets that are warm', () => {
  const input = serviceInput({
    servers: 4,
    sessions: [session(1, {draining: true}), session(2, {coldSinceMs: 0}), session(3), session(4)],
    weighsMost: 'unavailable-time',
  });
  const moves = planMoves(input);
  const fractionTo = (id: number): number =>
    movedFraction(moves.filter((m) => m.toSessionId === id));
  assert.ok(fractionTo(2) < fractionTo(3) && fractionTo(2) < fractionTo(4));
});

test('The same input in another order of sessions gives the same plan', () => {
  const input = serviceInput({servers: 6, rateRps: (i) => 50 + ((i * 37) % 100)});
  const reversed = {...input, sessions: [...input.sessions].reverse()};
  assert.deepEqual(planMoves(reversed), planMoves(input));
});
