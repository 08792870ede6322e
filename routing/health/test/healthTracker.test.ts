import assert from 'node:assert/strict';
import {test} from 'node:test';
import {HealthTracker} from '@medlarlane/health';
import type {PassiveOutcomeKind, ProbeResult} from '@medlarlane/health';
import {ManualClock} from '@medlarlane/lifecycle';

const TARGET = 'kochi-a/1';

interface Fixture {
  readonly clock: ManualClock;
  readonly tracker: HealthTracker;
}

interface Second {
  readonly probe?: ProbeResult;
  readonly outcomes?: ReadonlyArray<readonly [PassiveOutcomeKind, number, durationMs?: number]>;
  /** Reported load and number of own requests in flight. */
  readonly load?: readonly [number, number];
}

const ANSWERED: ProbeResult = {kind: 'answered', durationMs: 6};
const TIMEOUT: ProbeResult = {kind: 'timeout'};
const REFUSED: ProbeResult = {kind: 'refused'};

async function replay({clock, tracker}: Fixture, seconds: readonly Second[]): Promise<void> {
  for (const {probe, outcomes, load} of seconds) {
    if (probe) tracker.recordProbe(TARGET, probe);
    for (const [kind, count, durationMs = 10] of outcomes ?? []) {
      for (let index = 0; index < count; index += 1)
        tracker.recordOutcome(TARGET, {kind, durationMs});
    }
    if (load) tracker.recordLoadReport(TARGET, {load: load[0], ageMs: 0}, load[1]);
    await clock.advance(1_000);
  }
}

function repeat(count: number, second: Second): Second[] {
  return Array.from({length: count}, () => second);
}

const SERVING: Second = {probe: ANSWERED, outcomes: [['success', 5]]};
const SHEDDING: Second = {
  outcomes: [
    ['shed', 20],
    ['cancelled', 20],
    ['success', 1],
  ],
};
const HALF_FAILING: Second = {
  probe: ANSWERED,
  outcomes: [
    ['failure', 3],
    ['success', 3],
  ],
};
const PLAUSIBLE_IDLE_REPORT: Second = {outcomes: [['success', 10, 10]], load: [0, 1]};
const CONTRADICTED_IDLE_REPORT: Second = {outcomes: [['success', 10, 200]], load: [0, 14]};
const SLOW_PROBE: Second = {probe: {kind: 'answered', durationMs: 80}};
const UNHEALTHY: Second = {probe: {kind: 'unhealthy', durationMs: 6}};
const STALLED: Second = {probe: ANSWERED, outcomes: [['timeout', 1]]};

const CASES: ReadonlyArray<readonly [name: string, expected: string, seconds: Second[]]> = [
  ['A target whose probes take 6 ms is healthy', 'healthy', repeat(30, SERVING)],
  [
    'A single refused connection only makes the target suspect',
    'suspect connection-refused',
    [{probe: REFUSED}],
  ],
  [
    'A target that refuses connections is marked as failed',
    'failed connection-refused',
    repeat(2, {probe: REFUSED}),
  ],
  [
    'A hung target is marked as failed',
    'failed probe-timeouts',
    [SERVING, ...repeat(3, {probe: TIMEOUT})],
  ],
  [
    'A target that reports itself unhealthy is marked as failed',
    'failed probe-timeouts',
    repeat(3, UNHEALTHY),
  ],
  [
    'Successful requests outweigh probe timeouts',
    'suspect probe-timeouts',
    repeat(5, {...SERVING, probe: TIMEOUT}),
  ],
  [
    'Failed requests outweigh successful probes',
    'failed passive-failures',
    repeat(3, {outcomes: [['failure', 6]]}),
  ],
  [
    'A target that fails half of its requests is marked as failed',
    'failed passive-failures',
    repeat(5, HALF_FAILING),
  ],
  [
    'A stalled target with little traffic is marked as failed',
    'failed passive-failures',
    repeat(5, STALLED),
  ],
  ['Shed and cancelled requests do not count as failures', 'healthy', repeat(10, SHEDDING)],
  [
    'Failures older than the window do not count',
    'healthy',
    [...repeat(3, {outcomes: [['failure', 10]]}), ...repeat(12, SERVING)],
  ],
  [
    'Unusually slow probes make the target suspect',
    'suspect slow-probes',
    [...repeat(9, SERVING), ...repeat(3, SLOW_PROBE)],
  ],
  [
    'A report of no load that contradicts the measured latency makes the target suspect',
    'suspect load-report-contradicted',
    [...repeat(10, PLAUSIBLE_IDLE_REPORT), ...repeat(5, CONTRADICTED_IDLE_REPORT)],
  ],
];

for (const [name, expected, seconds] of CASES) {
  test(name, async () => {
    const clock = new ManualClock();
    const tracker = new HealthTracker({slots: 14, clock});
    await replay({clock, tracker}, seconds);
    const {state, reason} = tracker.status(TARGET);
    assert.equal(reason ? `${state} ${reason}` : state, expected);
  });
}

test('The load falls back to own requests while load reports are stale or contradicted', async () => {
  const clock = new ManualClock();
  const tracker = new HealthTracker({slots: 10, clock});
  tracker.recordLoadReport(TARGET, {load: 0.8, ageMs: 500}, 2);
  assert.deepEqual(tracker.estimateLoad(TARGET, 2), {load: 0.8, source: 'report'});
  await clock.advance(2_600);
  assert.deepEqual(tracker.estimateLoad(TARGET, 2), {load: 0.2, source: 'own-requests'});
  for (let count = 0; count < 3; count += 1) {
    tracker.recordLoadReport(TARGET, {load: 0, ageMs: 0}, 8);
  }
  tracker.recordLoadReport(TARGET, {load: 0.9, ageMs: 0}, 5);
  assert.equal(tracker.estimateLoad(TARGET, 5).source, 'own-requests');
  for (let count = 0; count < 10; count += 1) {
    tracker.recordLoadReport(TARGET, {load: 0.9, ageMs: 0}, 5);
  }
  assert.equal(tracker.estimateLoad(TARGET, 5).source, 'report');
});

test('At most half of the members are ejected when all have failed, longest failed first', async () => {
  const clock = new ManualClock();
  const tracker = new HealthTracker({slots: 10, clock});
  const members = ['a', 'b', 'c', 'd', 'e'];
  for (const member of ['c', 'a', 'e', 'b', 'd']) {
    for (let probe = 0; probe < 3; probe += 1) tracker.recordProbe(member, TIMEOUT);
    tracker.status(member);
    await clock.advance(10);
  }
  assert.deepEqual(tracker.ejectableTargets(members), ['c', 'a']);
  assert.deepEqual(tracker.ejectableTargets(['a']), []);
  assert.deepEqual(tracker.ejectableTargets(['a', 'b']), ['a']);
});
