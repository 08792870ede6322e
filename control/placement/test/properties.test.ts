import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {POSITION_END} from '@medlarlane/model';
import {
  assignUnownedRanges,
  PLACEMENT_LIMITS,
  planMoves,
  type PlacementInput,
} from '@medlarlane/placement';
import {applyMoves, endOf, loadsBySession, movedFraction} from './placementFixture.js';

const PROPERTY_OPTIONS = {seed: 20_261, numRuns: 400};
const rate = fc.double({min: 0, max: 5_000, noNaN: true});

/** Services with ranges of arbitrary width and owner, some without loads and some being moved. */
const inputs: fc.Arbitrary<PlacementInput> = fc
  .record({
    sessions: fc.array(fc.record({draining: fc.boolean(), cold: fc.boolean(), zone: fc.nat(2)}), {
      minLength: 1,
      maxLength: 8,
    }),
    starts: fc.uniqueArray(fc.integer({min: 1, max: 10_000}), {maxLength: 40}),
    ranges: fc.array(
      fc.record({
        owner: fc.nat(9),
        next: fc.option(fc.nat(9), {freq: 6}),
        load: fc.option(rate, {freq: 6}),
      }),
      {minLength: 41, maxLength: 41},
    ),
    keys: fc.array(fc.record({at: fc.integer({min: 0, max: 10_000}), rate}), {maxLength: 10}),
    elapsedMs: fc.integer({min: 0, max: 100_000}),
    weighsMost: fc.constantFrom('churn' as const, 'unavailable-time' as const),
  })
  .map(({sessions, starts, ranges, keys, elapsedMs, weighsMost}) => {
    const unit = Math.floor(POSITION_END / 10_002);
    const positions = [0, ...starts.sort((a, b) => a - b).map((start) => start * unit)];
    const all = positions.map((startPosition, i) => ({
      startPosition,
      ownerSessionId: ranges[i]!.owner,
      nextSessionId: ranges[i]!.next ?? 0,
      epoch: 1,
    }));
    const loads = positions.flatMap((start, i) => {
      const load = ranges[i]!.load;
      return load === null ? [] : [[start, load] as const];
    });
    return {
      ranges: all,
      sessions: sessions.map(({draining, cold, zone}, i) => ({
        sessionId: i + 1,
        draining,
        availabilityZone: `zone-${zone}`,
        ...(cold ? {coldSinceMs: 0} : {}),
      })),
      rangeLoads: new Map(loads),
      hotKeys: keys.map(({at, rate: rateRps}) => ({position: at * unit + 3, rateRps})),
      elapsedMs,
      weighsMost,
    };
  });

test('Moves do not overlap and lie within one range that is not being moved', () => {
  fc.assert(
    fc.property(inputs, (input) => {
      const moves = planMoves(input);
      for (const [index, move] of moves.entries()) {
        assert.ok(move.fromPosition < move.toPosition);
        assert.ok(index === 0 || moves[index - 1]!.toPosition <= move.fromPosition);
        const i = input.ranges.findLastIndex((r) => r.startPosition <= move.fromPosition);
        assert.ok(move.toPosition <= endOf(input.ranges, i));
        assert.equal(input.ranges[i]!.ownerSessionId, move.fromSessionId);
        assert.equal(input.ranges[i]!.nextSessionId, 0);
      }
    }),
    PROPERTY_OPTIONS,
  );
});

test('Moves never go to a draining or unknown session, nor back to their owner', () => {
  fc.assert(
    fc.property(inputs, (input) => {
      for (const {fromSessionId, toSessionId} of planMoves(input)) {
        const to = input.sessions.find(({sessionId}) => sessionId === toSessionId);
        assert.equal(to?.draining, false);
        assert.notEqual(fromSessionId, toSessionId);
      }
    }),
    PROPERTY_OPTIONS,
  );
});

test('Moves that balance load stay within the churn budget', () => {
  fc.assert(
    fc.property(inputs, (input) => {
      const staying = new Set(
        input.sessions.filter(({draining}) => !draining).map(({sessionId}) => sessionId),
      );
      const forLoad = planMoves(input).filter(({fromSessionId}) => staying.has(fromSessionId));
      const limits = PLACEMENT_LIMITS[input.weighsMost];
      const elapsedMs = Math.min(input.elapsedMs, limits.maxBudgetPeriodMs);
      // Hot keys are single positions and add far less than the tolerance.
      assert.ok(
        movedFraction(forLoad) <= (limits.maxMovedFractionPerMinute * elapsedMs) / 60_000 + 1e-9,
      );
    }),
    PROPERTY_OPTIONS,
  );
});

/** Services whose loads are all known and consistent: each range has at least the load of its hot keys. */
const consistentInputs = inputs.map((input) => {
  const rangeLoads = new Map<number, number>();
  const keys = new Map(input.hotKeys.map((key) => [key.position, key]));
  const hotKeys = [...keys.values()];
  for (const [i, {startPosition}] of input.ranges.entries()) {
    const width = endOf(input.ranges, i) - startPosition;
    const keysRps = hotKeys
      .filter(({position}) => position >= startPosition && position < startPosition + width)
      .reduce((sum, {rateRps}) => sum + rateRps, 0);
    const baseRps = (input.rangeLoads.get(startPosition) ?? 100) + 10_000 * (width / POSITION_END);
    rangeLoads.set(startPosition, baseRps + keysRps);
  }
  const sessions = input.sessions.map((each) => ({...each, draining: false}));
  return {...input, sessions, rangeLoads, hotKeys};
});

test('Applying the moves never increases the highest load when nothing drains', () => {
  fc.assert(
    fc.property(consistentInputs, (input) => {
      const before = Math.max(...loadsBySession(input).values());
      const after = Math.max(...loadsBySession(applyMoves(input, planMoves(input))).values());
      assert.ok(after <= before * (1 + 1e-9), `${before} became ${after}`);
    }),
    PROPERTY_OPTIONS,
  );
});

test('With constant loads the plan settles', () => {
  fc.assert(
    fc.property(consistentInputs, (start) => {
      let input: PlacementInput = {...start, elapsedMs: 60_000};
      for (let round = 0; round < 60; round++) {
        const moves = planMoves(input);
        if (moves.length === 0) return;
        input = applyMoves(input, moves);
      }
      assert.fail('Still moving after 60 rounds');
    }),
    {...PROPERTY_OPTIONS, numRuns: 150},
  );
});

test('Every unowned range is assigned to a live session, the same one on every replica', () => {
  fc.assert(
    fc.property(inputs, fc.boolean(), ({ranges, sessions, rangeLoads}, withLoads) => {
      const known = new Set(sessions.map(({sessionId}) => sessionId));
      const unowned = [...ranges.keys()].filter((i) => !known.has(ranges[i]!.ownerSessionId));
      const loads = withLoads ? rangeLoads : undefined;
      const owners = assignUnownedRanges(ranges, unowned, sessions, loads);
      assert.equal(owners.length, unowned.length);
      const hasActiveSession = sessions.some(({draining}) => !draining);
      for (const owner of owners) {
        const session = sessions.find(({sessionId}) => sessionId === owner);
        assert.ok(session && session.draining === !hasActiveSession);
      }
      const reordered = assignUnownedRanges(ranges, unowned, [...sessions].reverse(), loads);
      assert.deepEqual(reordered, owners);
    }),
    PROPERTY_OPTIONS,
  );
});
