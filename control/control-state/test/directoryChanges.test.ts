import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ControlState} from '@medlarlane/control-state';
import {Directory} from '@medlarlane/directory';
import {POSITION_END} from '@medlarlane/model';
import type {Command} from '@medlarlane/model';
import {applyDocument, claimTeam, registerSession, SERVICE} from './commands.js';

const SEED = 20261204;
const RUNS = 200;

interface Step {
  readonly kind: 'register' | 'end' | 'drain' | 'finish' | 'document' | 'move';
  readonly pick: number;
  readonly from: number;
  readonly width: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom('register', 'end', 'drain', 'finish', 'document', 'move', 'move'),
  pick: fc.nat(7),
  from: fc.maxSafeNat().map((position) => position % POSITION_END),
  width: fc.integer({min: 1, max: 2 ** 31 - 1}).map((share) => share * 2 ** 19),
});

/** Converts a step into a command that is valid in the current state, or `undefined`. */
function commandFor(step: Step, state: ControlState): Command | undefined {
  const nextIndex = state.appliedIndex + 1;
  const sessions = state.sessionsOf(SERVICE);
  const session = sessions[step.pick % Math.max(1, sessions.length)];
  const table = state.ranges(SERVICE)!;
  const commands: Record<Step['kind'], () => Command | undefined> = {
    register: () => registerSession(`instance-${step.pick}`, {incarnation: `${nextIndex}`}),
    document: () =>
      applyDocument({
        baseRevision: state.currentRevision(SERVICE)!.revision,
        changeId: `change-${nextIndex}`,
      }),
    end: () => session && {kind: 'endSession', sessionId: session.sessionId, reason: 'test'},
    drain: () => session && {kind: 'drainSession', sessionId: session.sessionId},
    finish: () => ({
      kind: 'finishMoves',
      service: SERVICE,
      ranges: table.all.filter(({nextSessionId}) => nextSessionId !== 0),
    }),
    move: () => {
      const fromSessionId = table.find(step.from)!.ownerSessionId;
      if (fromSessionId === 0 || !session) return undefined;
      const toPosition = Math.min(POSITION_END, step.from + step.width);
      const toSessionId = session.sessionId;
      const move = {fromPosition: step.from, toPosition, fromSessionId, toSessionId};
      return {kind: 'startMoves', service: SERVICE, moves: [move]};
    },
  };
  return commands[step.kind]();
}

/** Checks that the ranges cover every position once and refer only to live sessions. */
function checkCovering(state: ControlState): void {
  const ranges = state.ranges(SERVICE)!.all;
  assert.equal(ranges[0]?.startPosition, 0);
  ranges.forEach(({startPosition, ownerSessionId, nextSessionId}, index) => {
    assert.ok(index === 0 || ranges[index - 1]!.startPosition < startPosition);
    for (const sessionId of [ownerSessionId, nextSessionId]) {
      assert.ok(sessionId === 0 || state.session(sessionId), `unknown session ${sessionId}`);
    }
  });
}

function sessionsById(directory: Directory): Map<number, unknown> {
  return new Map(
    directory.sessionsOf(SERVICE).map((session) => [session.sessionId, session] as const),
  );
}

test('A directory that follows the changes equals one that loads the snapshot', () => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, {maxLength: 40}), (steps) => {
      const state = new ControlState();
      const follower = new Directory();
      const apply = (command: Command): void => {
        const index = state.appliedIndex + 1;
        state.apply(index, command);
        follower.applyChanges(index, state.changesSince(index - 1)!);
        if (state.ranges(SERVICE)) checkCovering(state);
      };
      for (const command of [claimTeam(), applyDocument()]) apply(command);
      for (const step of steps) {
        const command = commandFor(step, state);
        if (command) apply(command);
      }
      const loaded = new Directory();
      loaded.applySnapshot(state.appliedIndex, state.directorySnapshot());
      assert.deepEqual(follower.ranges(SERVICE)?.all, loaded.ranges(SERVICE)?.all);
      assert.deepEqual(sessionsById(follower), sessionsById(loaded));
    }),
    {seed: SEED, numRuns: RUNS},
  );
});
