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

interface Bed {
  readonly clock: ManualClock;
  readonly here: PoisonTable;
  readonly there: PoisonTable;
}

function startTwoDaemons(): Bed {
  const clock = new ManualClock();
  return {
    clock,
    here: new PoisonTable({reporterId: 'here', clock}),
    there: new PoisonTable({reporterId: 'there', clock}),
  };
}

type Happening = (bed: Bed) => Promise<void> | void;

const CASES: ReadonlyArray<readonly [name: string, expected: PoisonState, happen: Happening]> = [
  [
    'A request in flight during one crash is suspected',
    'suspect',
    ({here}) => void here.recordCrash(inFlight('x', 'y')),
  ],
  [
    'A request in flight twice during the same crash is suspected',
    'suspect',
    ({here}) => void here.recordCrash(inFlight('x', 'x')),
  ],
  [
    'A request in flight during two crashes is quarantined',
    'quarantined',
    ({here}) => {
      here.recordCrash(inFlight('x', 'y'));
      here.recordCrash(inFlight('x', 'z'));
    },
  ],
  [
    'A request that completed between two crashes is suspected of the second only',
    'suspect',
    ({here}) => {
      here.recordCrash(inFlight('x'));
      here.recordSuccess('x');
      here.recordCrash(inFlight('x'));
    },
  ],
  [
    'Two crashes further apart than the time of suspicion do not quarantine',
    'suspect',
    async ({here, clock}) => {
      here.recordCrash(inFlight('x'));
      await clock.advance(11 * MINUTE_MS);
      here.recordCrash(inFlight('x'));
    },
  ],
  [
    'A crash here and one at another daemon quarantine',
    'quarantined',
    ({here, there}) => {
      there.recordCrash(inFlight('x'));
      here.merge(there.export());
      here.recordCrash(inFlight('x'));
    },
  ],
  [
    'Hearing of the same crash again does not quarantine',
    'suspect',
    ({here, there}) => {
      here.recordCrash(inFlight('x'));
      there.merge(here.export());
      here.merge(there.export());
      here.merge(there.export());
    },
  ],
  [
    'Crashes before and after the restart of a daemon count as two',
    'quarantined',
    ({here, there, clock}) => {
      there.recordCrash(inFlight('x'));
      here.merge(there.export());
      const restarted = new PoisonTable({reporterId: 'there', clock});
      restarted.recordCrash(inFlight('x'));
      here.merge(restarted.export());
    },
  ],
  [
    'A quarantine elsewhere holds here',
    'quarantined',
    ({here, there}) => {
      there.recordCrash(inFlight('x'));
      there.recordCrash(inFlight('x'));
      here.merge(there.export());
    },
  ],
  [
    'A success elsewhere ends the suspicion here, and old entries do not bring it back',
    'clear',
    ({here, there}) => {
      here.recordCrash(inFlight('x'));
      const old = here.export();
      there.merge(old);
      there.recordSuccess('x');
      here.merge(there.export());
      here.merge(old);
    },
  ],
  [
    'A quarantine holds although an attempt elsewhere completes late',
    'quarantined',
    ({here}) => {
      here.recordCrash(inFlight('x'));
      here.recordCrash(inFlight('x'));
      here.recordSuccess('x');
    },
  ],
  [
    'A suspicion ends after 10 minutes however often daemons exchange it',
    'clear',
    async ({here, there, clock}) => {
      here.recordCrash(inFlight('x'));
      for (let step = 0; step < 10; step += 1) {
        await clock.advance(MINUTE_MS);
        there.merge(here.export());
        here.merge(there.export());
      }
    },
  ],
  [
    'A quarantine ends after 10 minutes however often daemons exchange it',
    'clear',
    async ({here, there, clock}) => {
      here.recordCrash(inFlight('x'));
      here.recordCrash(inFlight('x'));
      for (let step = 0; step < 10; step += 1) {
        there.merge(here.export());
        await clock.advance(MINUTE_MS);
        here.merge(there.export());
      }
    },
  ],
];

for (const [name, expected, happen] of CASES) {
  test(name, async () => {
    const bed = startTwoDaemons();
    await happen(bed);
    assert.equal(bed.here.stateOf('x'), expected);
  });
}

test('A quarantined request is refused by its content although its idempotency key is new', () => {
  const {here} = startTwoDaemons();
  const request = {method: 'POST', service: 't/s', key: 'k', path: '/', bodyBytes: 3};
  for (const idempotencyKey of ['1', '2']) {
    const fingerprints = requestFingerprints({...request, idempotencyKey});
    here.assertNotQuarantined(fingerprints);
    here.recordCrash(inFlight(...fingerprints));
  }
  assert.throws(
    () => here.assertNotQuarantined(requestFingerprints({...request, idempotencyKey: '3'})),
    (error) => error instanceof MedlarlaneError && error.code === 'POISON_REQUEST',
  );
  here.assertNotQuarantined(requestFingerprints({...request, bodyPrefix: Buffer.from('abc')}));
});

test('Suspects run one at a time, so that the next crash quarantines one of them only', () => {
  const {here} = startTwoDaemons();
  here.recordCrash(inFlight('poison', 'bystander'));
  const end = here.tryStartRun(['poison']);
  assert.ok(end);
  assert.equal(here.tryStartRun(['bystander']), undefined);
  assert.ok(here.tryStartRun(['unsuspected']));
  assert.deepEqual(here.recordCrash(inFlight('poison', 'unsuspected')), ['poison']);
  assert.ok(here.tryStartRun(['bystander']));
});

test('A full table drops suspects before quarantined requests, and damaged entries change nothing', () => {
  const here = new PoisonTable({reporterId: 'here', maxEntries: 10, clock: new ManualClock()});
  here.recordCrash(inFlight('x'));
  here.recordCrash(inFlight('x'));
  for (let count = 0; count < 100; count += 1) here.recordCrash(inFlight(`suspect${count}`));
  assert.throws(() => here.merge([{fingerprint: 'y', crashes: [{id: 1}]}]), MedlarlaneError);
  assert.equal(here.stateOf('x'), 'quarantined');
  assert.equal(here.list().length, 10);
  assert.equal(here.stateOf('suspect99'), 'suspect');
});
