import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MedlarlaneError} from '@medlarlane/errors';
import {ManualClock} from '@medlarlane/lifecycle';
import {PoisonTable, requestFingerprints} from '@medlarlane/poison';
import type {InFlightRequest, PoisonState} from '@medlarlane/poison';

const MINUTE_MS = 60_000;

function inFlight(...fingerprints: string[]): InFlightRequest[] {
  return fingerprints.map((fingerprint) => ({fingerprint, startedAtMs: 0}));
}

interface Fixture {
  readonly clock: ManualClock;
  readonly local: PoisonTable;
  readonly remote: PoisonTable;
}

function startTwoDaemons(): Fixture {
  const clock = new ManualClock();
  return {
    clock,
    local: new PoisonTable({reporterId: 'here', clock}),
    remote: new PoisonTable({reporterId: 'there', clock}),
  };
}

type Scenario = (fixture: Fixture) => Promise<void> | void;

const CASES: ReadonlyArray<readonly [name: string, expected: PoisonState, run: Scenario]> = [
  [
    'A request in flight during one crash is suspect',
    'suspect',
    ({local}) => void local.recordCrash(inFlight('x', 'y')),
  ],
  [
    'A request in flight twice during the same crash is suspect',
    'suspect',
    ({local}) => void local.recordCrash(inFlight('x', 'x')),
  ],
  [
    'A request in flight during two crashes is quarantined',
    'quarantined',
    ({local}) => {
      local.recordCrash(inFlight('x', 'y'));
      local.recordCrash(inFlight('x', 'z'));
    },
  ],
  [
    'A request that completed between two crashes is suspect because of the second one only',
    'suspect',
    ({local}) => {
      local.recordCrash(inFlight('x'));
      local.recordSuccess('x');
      local.recordCrash(inFlight('x'));
    },
  ],
  [
    'Two crashes further apart than the suspicion TTL do not quarantine the request',
    'suspect',
    async ({local, clock}) => {
      local.recordCrash(inFlight('x'));
      await clock.advance(11 * MINUTE_MS);
      local.recordCrash(inFlight('x'));
    },
  ],
  [
    'A local crash and a crash reported by another daemon quarantine the request',
    'quarantined',
    ({local, remote}) => {
      remote.recordCrash(inFlight('x'));
      local.merge(remote.export());
      local.recordCrash(inFlight('x'));
    },
  ],
  [
    'Receiving the same crash again does not quarantine the request',
    'suspect',
    ({local, remote}) => {
      local.recordCrash(inFlight('x'));
      remote.merge(local.export());
      local.merge(remote.export());
      local.merge(remote.export());
    },
  ],
  [
    'Crashes before and after the restart of a daemon count as two',
    'quarantined',
    ({local, remote, clock}) => {
      remote.recordCrash(inFlight('x'));
      local.merge(remote.export());
      const restarted = new PoisonTable({reporterId: 'there', clock});
      restarted.recordCrash(inFlight('x'));
      local.merge(restarted.export());
    },
  ],
  [
    'A quarantine by another daemon applies locally',
    'quarantined',
    ({local, remote}) => {
      remote.recordCrash(inFlight('x'));
      remote.recordCrash(inFlight('x'));
      local.merge(remote.export());
    },
  ],
  [
    'A success at another daemon clears the suspicion, and merging old entries does not restore it',
    'clear',
    ({local, remote}) => {
      local.recordCrash(inFlight('x'));
      const old = local.export();
      remote.merge(old);
      remote.recordSuccess('x');
      local.merge(remote.export());
      local.merge(old);
    },
  ],
  [
    'A quarantine stays in force if an earlier attempt completes afterwards',
    'quarantined',
    ({local}) => {
      local.recordCrash(inFlight('x'));
      local.recordCrash(inFlight('x'));
      local.recordSuccess('x');
    },
  ],
  [
    'A suspicion expires after 10 minutes regardless of how often daemons exchange it',
    'clear',
    async ({local, remote, clock}) => {
      local.recordCrash(inFlight('x'));
      for (let step = 0; step < 10; step += 1) {
        await clock.advance(MINUTE_MS);
        remote.merge(local.export());
        local.merge(remote.export());
      }
    },
  ],
  [
    'A quarantine expires after 10 minutes regardless of how often daemons exchange it',
    'clear',
    async ({local, remote, clock}) => {
      local.recordCrash(inFlight('x'));
      local.recordCrash(inFlight('x'));
      for (let step = 0; step < 10; step += 1) {
        remote.merge(local.export());
        await clock.advance(MINUTE_MS);
        local.merge(remote.export());
      }
    },
  ],
];

for (const [name, expected, run] of CASES) {
  test(name, async () => {
    const fixture = startTwoDaemons();
    await run(fixture);
    assert.equal(fixture.local.stateOf('x'), expected);
  });
}

test('A quarantined request is refused by its content even with a new idempotency key', () => {
  const {local} = startTwoDaemons();
  const request = {method: 'POST', service: 't/s', key: 'k', path: '/', bodyBytes: 3};
  for (const idempotencyKey of ['1', '2']) {
    const fingerprints = requestFingerprints({...request, idempotencyKey});
    local.assertNotQuarantined(fingerprints);
    local.recordCrash(inFlight(...fingerprints));
  }
  assert.throws(
    () => local.assertNotQuarantined(requestFingerprints({...request, idempotencyKey: '3'})),
    (error) => error instanceof MedlarlaneError && error.code === 'POISON_REQUEST',
  );
  local.assertNotQuarantined(requestFingerprints({...request, bodyPrefix: Buffer.from('abc')}));
});

test('Suspect requests run one at a time, so that the next crash quarantines only one of them', () => {
  const {local} = startTwoDaemons();
  local.recordCrash(inFlight('poison', 'bystander'));
  const end = local.tryStartRun(['poison']);
  assert.ok(end);
  assert.equal(local.tryStartRun(['bystander']), undefined);
  assert.ok(local.tryStartRun(['unsuspected']));
  assert.deepEqual(local.recordCrash(inFlight('poison', 'unsuspected')), ['poison']);
  assert.ok(local.tryStartRun(['bystander']));
});

test('A full table evicts suspects before quarantined requests, and invalid entries are rejected', () => {
  const local = new PoisonTable({reporterId: 'here', maxEntries: 10, clock: new ManualClock()});
  local.recordCrash(inFlight('x'));
  local.recordCrash(inFlight('x'));
  for (let count = 0; count < 100; count += 1) local.recordCrash(inFlight(`suspect${count}`));
  assert.throws(() => local.merge([{fingerprint: 'y', crashes: [{id: 1}]}]), MedlarlaneError);
  assert.equal(local.stateOf('x'), 'quarantined');
  assert.equal(local.list().length, 10);
  assert.equal(local.stateOf('suspect99'), 'suspect');
});
