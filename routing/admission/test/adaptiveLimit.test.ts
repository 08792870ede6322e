import assert from 'node:assert/strict';
import {test} from 'node:test';
import {AdaptiveLimit} from '@medlarlane/admission';
import type {AdmissionOutcome} from '@medlarlane/admission';
import {ManualClock} from '@medlarlane/lifecycle';

interface Load {
  readonly windows: number;
  readonly durationMs: number;
  readonly outcome: AdmissionOutcome;
  /** Whether the requests use the full limit. */
  readonly isSaturated: boolean;
}

async function apply(limit: AdaptiveLimit, clock: ManualClock, load: Load): Promise<void> {
  for (let window = 0; window < load.windows; window += 1) {
    await clock.advance(250);
    for (let request = 0; request < 20; request += 1) {
      const inFlight = load.isSaturated ? limit.limit : 1;
      limit.record({durationMs: load.durationMs, outcome: load.outcome}, inFlight);
    }
  }
}

function saturatedLoad(
  windows: number,
  durationMs: number,
  outcome: AdmissionOutcome = 'ok',
): Load {
  return {windows, durationMs, outcome, isSaturated: true};
}

function idleLoad(windows: number, durationMs: number): Load {
  return {...saturatedLoad(windows, durationMs), isSaturated: false};
}

const CASES: ReadonlyArray<readonly [name: string, min: number, max: number, loads: Load[]]> = [
  [
    'A fully used limit with stable latency grows up to the maximum connections',
    30,
    30,
    [saturatedLoad(40, 10)],
  ],
  ['A limit that is not fully used does not grow above the slots', 18, 18, [idleLoad(40, 10)]],
  ['Latency growth under load lowers the limit', 5, 11, [idleLoad(4, 10), saturatedLoad(5, 60)]],
  [
    'Latency growth without load does not change the limit',
    18,
    18,
    [idleLoad(4, 10), idleLoad(5, 60)],
  ],
  [
    'A target that fails all requests keeps the minimum limit',
    5,
    5,
    [saturatedLoad(30, 10, 'failed')],
  ],
  [
    'A target that recovers gets its slots back',
    18,
    18,
    [saturatedLoad(30, 10, 'timeout'), idleLoad(20, 10)],
  ],
  ['Cancelled requests do not affect the limit', 18, 18, [saturatedLoad(30, 500, 'cancelled')]],
];

for (const [name, min, max, loads] of CASES) {
  test(name, async () => {
    const clock = new ManualClock();
    const limit = new AdaptiveLimit({slots: 18, maxConnections: 30, clock});
    assert.equal(limit.limit, 18);
    for (const load of loads) await apply(limit, clock, load);
    assert.ok(limit.limit >= min && limit.limit <= max, `limit is ${limit.limit}`);
  });
}

test('The limit of a new target grows to its slots during the cold start', async () => {
  const clock = new ManualClock();
  const limit = new AdaptiveLimit({slots: 18, maxConnections: 120, coldStartMs: 1_000, clock});
  const limits = [limit.limit];
  for (let step = 0; step < 4; step += 1) {
    await clock.advance(250);
    limits.push(limit.limit);
  }
  assert.deepEqual(limits, [1, 5, 9, 13, 18]);
});
