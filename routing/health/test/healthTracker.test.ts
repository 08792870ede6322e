import assert from 'node:assert/strict';
import {test} from 'node:test';
import {HealthTracker} from '@medlarlane/health';
import type {PassiveOutcomeKind, ProbeResult} from '@medlarlane/health';
import {ManualClock} from '@medlarlane/lifecycle';

const TARGET = 'kochi-a/1';

interface Bed {
  readonly clock: ManualClock;
  readonly tracker: HealthTracker;
}

interface Second {
  readonly probe?: ProbeResult;
  readonly outcomes?: ReadonlyArray<readonly [PassiveOutcomeKind, number, durationMs?: number]>;
  /** Reported load and own requests in flight. */
  readonly load?: readonly [number, number];
}

const ANSWERED: ProbeResult = {kind: 'answered', durationMs: 6};
const TIMEOUT: ProbeResult = {kind: 'timeout'};
const REFUSED: ProbeResult = {kind: 'refused'};

async function pass({clock, tracker}: Bed, seconds: readonly Second[]): Promise<void> {
  for (const {probe, outcomes, load} of seconds) {
    if (probe) tracker.recordProbe(TARGET, probe);
    for (const [kind, count, durationMs = 10] of outcomes ?? []) {
      for (let one = 0; one < count; one += 1) tracker.recordOutcome(TARGET, {kind, durationMs});
    }
    if (load) tracker.recordLoadReport(TARGET, {load: load[0], ageMs: 0}, load[1]);
    await clock.advance(1_000);
  }
}

function times(count: number, second: Second): Second[] {
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
const IDLE_REPORTED: Second = {outcomes: [['success', 10, 10]], load: [0, 1]};
const LIE_REPORTED: Second = {outcomes: [['success', 10, 200]], load: [0, 14]};
const SLOW_PROBE: Second = {probe: {kind: 'answered', durationMs: 80}};
const UNHEALTHY: Second = {probe: {kind: 'unhealthy', durationMs: 6}};
const STALLED: Second = {probe: ANSWERED, outcomes: [['timeout', 1]]};

const CASES: ReadonlyArray<readonly [name: string, expected: string, seconds: Second[]]> = [
  ['A target whose probes take 6 ms is healthy', 'healthy', times(30, SERVING)],
  ['One refused connection makes a suspect only', 'suspect connection-refused', [{probe: REFUSED}]],
  ['A target that is gone is found', 'failed connection-refused', times(2, {probe: REFUSED})],
  ['A frozen target is found', 'failed probe-timeouts', [SERVING, ...times(3, {probe: TIMEOUT})]],
  ['A target that calls itself unhealthy is found', 'failed probe-timeouts', times(3, UNHEALTHY)],
  [
    'Requests outweigh late probes',
    'suspect probe-timeouts',
    times(5, {...SERVING, probe: TIMEOUT}),
  ],
  ['Failures outweigh probes', 'failed passive-failures', times(3, {outcomes: [['failure', 6]]})],
  ['A target that fails half is found', 'failed passive-failures', times(5, HALF_FAILING)],
  ['A stalled target with little traffic is found', 'failed passive-failures', times(5, STALLED)],
  ['Shed and cancelled requests are no failures', 'healthy', times(10, SHEDDING)],
  [
    'Failures older than the window do not count',
    'healthy',
    [...times(3, {outcomes: [['failure', 10]]}), ...times(12, SERVING)],
  ],
  [
    'Unusually slow probes make a suspect',
    'suspect slow-probes',
    [...times(9, SERVING), ...times(3, SLOW_PROBE)],
  ],
  [
    'A report of no load that latency contradicts makes a suspect',
    'suspect load-report-contradicted',
    [...times(10, IDLE_REPORTED), ...times(5, LIE_REPORTED)],
  ],
];

for (const [name, expected, seconds] of CASES) {
  test(name, async () => {
    const clock = new ManualClock();
    const tracker = new HealthTracker({slots: 14, clock});
    await pass({clock, tracker}, seconds);
    const {state, reason} = tracker.status(TARGET);
    assert.equal(reason ? `${state} ${reason}` : state, expected);
  });
}

test('A load report that is old or contradicted gives way to own requests until it is plausible again', async () => {
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

test('Bad news about all members leaves out at most half of them, longest failed first', async () => {
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
