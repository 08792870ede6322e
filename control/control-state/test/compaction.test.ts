import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ControlState} from '@medlarlane/control-state';
import {Directory} from '@medlarlane/directory';
import type {Command} from '@medlarlane/model';
import {applyDocument, claimTeam, registerSession, SERVICE} from './commands.js';

const HOT_KEYS = 400;
// 256 initial ranges plus 16 for each of two sessions; ranges are merged above twice this number.
const MAX_RANGES = 2 * (256 + 32);

test('Ranges left over from hot keys are merged, and directories stay in sync', () => {
  const state = new ControlState();
  const follower = new Directory();
  const apply = (command: Command): void => {
    const index = state.appliedIndex + 1;
    state.apply(index, command);
    follower.applyChanges(index, state.changesSince(index - 1)!);
  };
  for (const command of [
    claimTeam(),
    applyDocument(),
    registerSession('a'),
    registerSession('b'),
  ]) {
    apply(command);
  }
  const owners = (): number[] =>
    Array.from({length: HOT_KEYS}, (_, key) => ownerOf(state, positionOf(key)));
  for (let key = 0; key < HOT_KEYS; key++) {
    // Moves the key to the other session and back, as for a key that is hot for a while.
    moveTo(apply, state, positionOf(key), 4);
    moveTo(apply, state, positionOf(key), 3);
    assert.ok(state.ranges(SERVICE)!.all.length <= MAX_RANGES + 2);
  }
  assert.deepEqual(new Set(owners()), new Set([3]));
  assert.deepEqual(follower.ranges(SERVICE)!.all, state.ranges(SERVICE)!.all);
});

function positionOf(key: number): number {
  return 1_000 + key * 2 ** 40;
}

function ownerOf(state: ControlState, position: number): number {
  return state.ranges(SERVICE)!.find(position)!.ownerSessionId;
}

function moveTo(
  apply: (command: Command) => void,
  state: ControlState,
  position: number,
  toSessionId: number,
): void {
  const fromSessionId = ownerOf(state, position);
  const move = {fromPosition: position, toPosition: position + 1, fromSessionId, toSessionId};
  apply({kind: 'startMoves', service: SERVICE, moves: [move]});
  const {startPosition, epoch} = state.ranges(SERVICE)!.find(position)!;
  apply({kind: 'finishMoves', service: SERVICE, ranges: [{startPosition, epoch}]});
}
