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

const CASES: ReadonlyArray<{
  readonly name: string;
  readonly seconds: readonly Second[];
  readonly expected: string;
}> = [
  {
    name: 'A target whose probes take 6 ms is healthy',
    seconds: times(30, {probe: ANSWERED, outcomes: [['success', 5]]}),
    expected: 'healthy',
  },
  {
    name: 'One refused connection makes a suspect only',
    seconds: [{probe: ANSWERED}, {probe: REFUSED}],
    expected: 'suspect connection-refused',
  },
  {
    name: 'A target whose process is gone is found by refused connections',
    seconds: [{probe: ANSWERED}, {probe: REFUSED}, {probe: REFUSED}],
    expected: 'failed connection-refused',
  },
  {
    name: 'A frozen target without requests is found by probe timeouts',
    seconds: [{probe: ANSWERED}, ...times(3, {probe: TIMEOUT})],
    expected: 'failed probe-timeouts',
  },
  {
    name: 'A target whose probes answer that it is unhealthy is found',
    seconds: times(3, {probe: {kind: 'unhealthy', durationMs: 6}}),
    expected: 'failed probe-timeouts',
  },
  {
    name: 'A busy target that completes requests while its probes time out is a suspect only',
    seconds: times(5, {probe: TIMEOUT, outcomes: [['success', 5]]}),
    expected: 'suspect probe-timeouts',
  },
  {
    name: 'A target that answers probes but fails its requests is found',
    seconds: times(3, {probe: ANSWERED, outcomes: [['failure', 6]]}),
    expected: 'failed passive-failures',
  },
  {
    name: 'A target that answers probes but fails half of its requests is found',
    seconds: times(5, {
      probe: ANSWERED,
      outcomes: [
        ['failure', 3],
        ['success', 3],
      ],
    }),
    expected: 'failed passive-failures',
  },
  {
    name: 'A target with little traffic that answers probes but lets its requests time out is found',
    seconds: times(5, {probe: ANSWERED, outcomes: [['timeout', 1]]}),
    expected: 'failed passive-failures',
  },
  {
    name: 'A target that sheds load, and callers that cancel, are no failures',
    seconds: times(10, {
      probe: ANSWERED,
      outcomes: [
        ['shed', 20],
        ['cancelled', 20],
        ['success', 1],
      ],
    }),
    expected: 'healthy',
  },
  {
    name: 'A target that recovered is healthy when its failures are older than the window',
    seconds: [
      ...times(3, {outcomes: [['failure', 10]]}),
      ...times(12, {probe: ANSWERED, outcomes: [['success', 5]]}),
    ],
    expected: 'healthy',
  },
  {
    name: 'Probes that take much longer than usual at this site make a suspect',
    seconds: [
      ...times(10, {probe: ANSWERED}),
      ...times(3, {probe: {kind: 'answered', durationMs: 80}}),
    ],
    expected: 'suspect slow-probes',
  },
  {
    name: 'A target that reports no load while its latency and requests in flight grow is a suspect',
    seconds: [
      ...times(10, {probe: ANSWERED, outcomes: [['success', 10, 10]], load: [0, 1]}),
      ...times(5, {probe: ANSWERED, outcomes: [['success', 10, 200]], load: [0, 14]}),
    ],
    expected: 'suspect load-report-contradicted',
  },
];

for (const {name, seconds, expected} of CASES) {
  test(name, async () => {
    const clock = new ManualClock();
    const tracker = new HealthTracker({slots: 14, clock});
    await pass({clock, tracker}, seconds);
    const {state, reason} = tracker.verdict(TARGET);
    assert.equal(reason ? `${state} ${reason}` : state, expected);
  });
}

test('A load report that is old or contradicted gives way to own requests until it is plausible again', async () => {
  const clock = new ManualClock();
  const tracker = new HealthTracker({slots: 10, clock});
  tracker.recordLoadReport(TARGET, {load: 0.8, ageMs: 500}, 2);
  assert.deepEqual(tracker.load(TARGET, 2), {load: 0.8, source: 'report'});
  await clock.advance(2_600);
  assert.deepEqual(tracker.load(TARGET, 2), {load: 0.2, source: 'own-requests'});
  for (let count = 0; count < 3; count += 1) {
    tracker.recordLoadReport(TARGET, {load: 0, ageMs: 0}, 8);
  }
  tracker.recordLoadReport(TARGET, {load: 0.9, ageMs: 0}, 5);
  assert.equal(tracker.load(TARGET, 5).source, 'own-requests');
  for (let count = 0; count < 10; count += 1) {
    tracker.recordLoadReport(TARGET, {load: 0.9, ageMs: 0}, 5);
  }
  assert.equal(tracker.load(TARGET, 5).source, 'report');
});

test('Bad news about all members leaves out at most half of them, longest failed first', async () => {
  const clock = new ManualClock();
  const tracker = new HealthTracker({slots: 10, clock});
  const members = ['a', 'b', 'c', 'd', 'e'];
  for (const member of ['c', 'a', 'e', 'b', 'd']) {
    for (let probe = 0; probe < 3; probe += 1) tracker.recordProbe(member, TIMEOUT);
    tracker.verdict(member);
    await clock.advance(10);
  }
  assert.deepEqual(tracker.ejectionAllowed(members), ['c', 'a']);
  assert.deepEqual(tracker.ejectionAllowed(['a']), []);
  assert.deepEqual(tracker.ejectionAllowed(['a', 'b']), ['a']);
});
