import assert from 'node:assert/strict';
import {test} from 'node:test';
import {AdaptiveLimit} from '@medlarlane/admission';
import type {AdmissionOutcome} from '@medlarlane/admission';
import {ManualClock} from '@medlarlane/lifecycle';

interface Load {
  readonly windows: number;
  readonly durationMs: number;
  readonly outcome: AdmissionOutcome;
  /** Whether the requests use the whole limit. */
  readonly saturated: boolean;
}

async function apply(limit: AdaptiveLimit, clock: ManualClock, load: Load): Promise<void> {
  for (let window = 0; window < load.windows; window += 1) {
    await clock.advance(250);
    for (let request = 0; request < 20; request += 1) {
      const inFlight = load.saturated ? limit.limit : 1;
      limit.record({durationMs: load.durationMs, outcome: load.outcome}, inFlight);
    }
  }
}

function used(windows: number, durationMs: number, outcome: AdmissionOutcome = 'ok'): Load {
  return {windows, durationMs, outcome, saturated: true};
}

function idle(windows: number, durationMs: number): Load {
  return {...used(windows, durationMs), saturated: false};
}

const CASES: ReadonlyArray<readonly [name: string, min: number, max: number, loads: Load[]]> = [
  ['A used limit with flat latency grows up to the connections', 30, 30, [used(40, 10)]],
  ['A limit that is not used does not grow above the slots', 18, 18, [idle(40, 10)]],
  ['Latency that grows under load lowers the limit', 5, 11, [idle(4, 10), used(5, 60)]],
  ['Latency that grows without load keeps the limit', 18, 18, [idle(4, 10), idle(5, 60)]],
  ['A target that fails everything keeps the floor', 5, 5, [used(30, 10, 'failed')]],
  ['A target that recovers regains its slots', 18, 18, [used(30, 10, 'timeout'), idle(20, 10)]],
  ['Cancelled requests say nothing about the target', 18, 18, [used(30, 500, 'cancelled')]],
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

test('A new target receives a share of its slots that grows over the cold start', async () => {
  const clock = new ManualClock();
  const limit = new AdaptiveLimit({slots: 18, maxConnections: 120, coldStartMs: 1_000, clock});
  const limits = [limit.limit];
  for (let step = 0; step < 4; step += 1) {
    await clock.advance(250);
    limits.push(limit.limit);
  }
  assert.deepEqual(limits, [1, 5, 9, 13, 18]);
});
