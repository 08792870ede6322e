import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LearnedLimit} from '@medlarlane/admission';
import type {AdmissionOutcome} from '@medlarlane/admission';
import {ManualClock} from '@medlarlane/lifecycle';

interface Load {
  readonly windows: number;
  readonly durationMs: number;
  readonly outcome?: AdmissionOutcome;
  /** Whether the requests use the whole limit. */
  readonly saturated: boolean;
}

async function apply(limit: LearnedLimit, clock: ManualClock, load: Load): Promise<void> {
  for (let window = 0; window < load.windows; window += 1) {
    await clock.advance(250);
    for (let request = 0; request < 20; request += 1) {
      const inFlight = load.saturated ? limit.limit : 1;
      limit.record({durationMs: load.durationMs, outcome: load.outcome ?? 'ok'}, inFlight);
    }
  }
}

const CASES: ReadonlyArray<{
  readonly name: string;
  readonly loads: readonly Load[];
  readonly expected: {readonly min: number; readonly max: number};
}> = [
  {
    name: 'A target that keeps its latency at a used limit receives more, up to its connections',
    loads: [{windows: 40, durationMs: 10, saturated: true}],
    expected: {min: 30, max: 30},
  },
  {
    name: 'A limit that is not used does not grow above the slots',
    loads: [{windows: 40, durationMs: 10, saturated: false}],
    expected: {min: 18, max: 18},
  },
  {
    name: 'A target that slows down under load receives less',
    loads: [
      {windows: 4, durationMs: 10, saturated: false},
      {windows: 5, durationMs: 60, saturated: true},
    ],
    expected: {min: 5, max: 11},
  },
  {
    name: 'Latency that grows without load does not lower the limit',
    loads: [
      {windows: 4, durationMs: 10, saturated: false},
      {windows: 5, durationMs: 60, saturated: false},
    ],
    expected: {min: 18, max: 18},
  },
  {
    name: 'A target that fails everything keeps the floor, so that its recovery is noticed',
    loads: [{windows: 30, durationMs: 10, outcome: 'failed', saturated: true}],
    expected: {min: 5, max: 5},
  },
  {
    name: 'A target that recovers gets its slots back',
    loads: [
      {windows: 30, durationMs: 10, outcome: 'timeout', saturated: true},
      {windows: 20, durationMs: 10, saturated: false},
    ],
    expected: {min: 18, max: 18},
  },
  {
    name: 'Requests that callers cancel say nothing about the target',
    loads: [{windows: 30, durationMs: 500, outcome: 'cancelled', saturated: true}],
    expected: {min: 18, max: 18},
  },
];

for (const {name, loads, expected} of CASES) {
  test(name, async () => {
    const clock = new ManualClock();
    const limit = new LearnedLimit({slots: 18, connections: 30, clock});
    assert.equal(limit.limit, 18);
    for (const load of loads) await apply(limit, clock, load);
    assert.ok(
      limit.limit >= expected.min && limit.limit <= expected.max,
      `limit is ${limit.limit}`,
    );
  });
}

test('A new target receives a share of its slots that grows over the cold start', async () => {
  const clock = new ManualClock();
  const limit = new LearnedLimit({slots: 18, connections: 120, coldStartMs: 1_000, clock});
  const limits = [limit.limit];
  for (let step = 0; step < 4; step += 1) {
    await clock.advance(250);
    limits.push(limit.limit);
  }
  assert.deepEqual(limits, [1, 5, 9, 13, 18]);
});
