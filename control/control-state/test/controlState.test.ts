import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ControlState} from '@medlarlane/control-state';
import type {CommandResult} from '@medlarlane/control-state';
import type {Command, Range} from '@medlarlane/model';
import {generateTeamKey} from '@medlarlane/signatures';
import {applyDocument, claimTeam, registerSession, SERVICE} from './commands.js';

interface Applied {
  readonly state: ControlState;
  readonly results: CommandResult[];
}

function applyAll(commands: readonly Command[], state = new ControlState()): Applied {
  const first = state.appliedIndex + 1;
  return {state, results: commands.map((command, order) => state.apply(first + order, command))};
}

function ranges(state: ControlState): readonly Range[] {
  return state.ranges(SERVICE)!.all;
}

function ownersOf(state: ControlState): Set<number> {
  return new Set(ranges(state).map(({ownerSessionId}) => ownerSessionId));
}

const otherKey = generateTeamKey();

const REJECTIONS: Array<{
  readonly title: string;
  readonly before: readonly Command[];
  readonly command: Command;
  readonly code: string;
}> = [
  {
    title: 'a document of a team that is not claimed',
    before: [],
    command: applyDocument(),
    code: 'TEAM_UNKNOWN',
  },
  {
    title: 'a document signed with another key',
    before: [claimTeam()],
    command: applyDocument({signWith: otherKey.privateKeyPem}),
    code: 'SIGNATURE_INVALID',
  },
  {
    title: 'a document signed for another base revision',
    before: [claimTeam()],
    command: {...applyDocument(), baseRevision: 3},
    code: 'SIGNATURE_INVALID',
  },
  {
    title: 'the second of two changes with the same base revision',
    before: [claimTeam(), applyDocument()],
    command: applyDocument({changeId: 'change-0002'}),
    code: 'REVISION_CONFLICT',
  },
  {
    title: 'another change under a used change id',
    before: [claimTeam(), applyDocument()],
    command: applyDocument({baseRevision: 1}),
    code: 'CHANGE_ID_REUSED',
  },
  {
    title: 'a document with an unknown field',
    before: [claimTeam()],
    command: applyDocument({document: {colour: 'red'}}),
    code: 'DOCUMENT_INVALID',
  },
  {
    title: 'a claim of a team that is claimed with another key',
    before: [claimTeam()],
    command: claimTeam({changeId: 'claim-0002', publicKeyPem: otherKey.publicKeyPem}),
    code: 'TEAM_TAKEN',
  },
  {
    title: 'the end of a session that has already ended',
    before: [registerSession('a'), {kind: 'endSession', sessionId: 1, reason: 'x'}],
    command: {kind: 'endSession', sessionId: 1, reason: 'x'},
    code: 'SESSION_ENDED',
  },
];

for (const {title, before, command, code} of REJECTIONS) {
  test(`Rejects ${title} and changes nothing`, () => {
    const {state} = applyAll(before);
    const unchanged = state.directorySnapshot();
    const result = state.apply(state.appliedIndex + 1, command);
    assert.equal(result.ok ? 'accepted' : result.code, code);
    assert.deepEqual(state.directorySnapshot(), unchanged);
  });
}

test('A resend with the same change id gets the first result, also after a later change', () => {
  const {state, results} = applyAll([
    claimTeam(),
    applyDocument(),
    applyDocument({baseRevision: 1, changeId: 'change-0002'}),
  ]);
  assert.deepEqual(state.apply(9, applyDocument()), results[1]);
  assert.equal(state.currentRevision(SERVICE)?.revision, 2);
});

test('A replica restored from a snapshot returns the first result for a resend', () => {
  const {state, results} = applyAll([claimTeam(), applyDocument(), registerSession('a')]);
  const restored = new ControlState();
  restored.restore(state.snapshot());
  assert.deepEqual(restored.apply(9, applyDocument()), results[1]);
  assert.deepEqual(restored.directorySnapshot(), state.directorySnapshot());
});

test('The end of a session reassigns its ranges in the same log entry with a new epoch', () => {
  const {state} = applyAll([
    claimTeam(),
    applyDocument(),
    registerSession('a'),
    registerSession('b'),
    {kind: 'endSession', sessionId: 3, reason: 'lease expired'},
  ]);
  assert.deepEqual(ownersOf(state), new Set([4]));
  assert.ok(ranges(state).every(({epoch}) => epoch === 5));
});

test('Ranges stay unowned while no session is left and go to the next session', () => {
  const {state} = applyAll([
    claimTeam(),
    applyDocument(),
    registerSession('a'),
    {kind: 'endSession', sessionId: 3, reason: 'lease expired'},
  ]);
  assert.deepEqual(ownersOf(state), new Set([0]));
  applyAll([registerSession('a', {incarnation: 'a-2'})], state);
  assert.deepEqual(ownersOf(state), new Set([5]));
});

test('A resent registration does not create a second session', () => {
  const {results} = applyAll([registerSession('a'), registerSession('a')]);
  assert.deepEqual(
    results.map((result) => result.ok && result.sessionId),
    [1, 1],
  );
});

test('A move changes the owner only when the released epoch is the current one', () => {
  const {state} = applyAll([
    claimTeam(),
    applyDocument(),
    registerSession('a'),
    registerSession('b'),
  ]);
  const {startPosition, epoch} = ranges(state)[4]!;
  const toPosition = startPosition + 1;
  const move = {fromPosition: startPosition, toPosition, fromSessionId: 3, toSessionId: 4};
  const ownerAt = (position: number): number =>
    state.ranges(SERVICE)!.find(position)!.ownerSessionId;
  const finish = (releasedEpoch: number): void => {
    const released = [{startPosition, epoch: releasedEpoch}];
    applyAll([{kind: 'finishMoves', service: SERVICE, ranges: released}], state);
  };
  applyAll([{kind: 'startMoves', service: SERVICE, moves: [move]}], state);
  assert.equal(ownerAt(startPosition), 3);
  finish(epoch + 1);
  assert.equal(ownerAt(startPosition), 3);
  finish(epoch);
  assert.equal(ownerAt(startPosition), 4);
  assert.equal(ownerAt(toPosition), 3);
});
