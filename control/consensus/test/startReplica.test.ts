import assert from 'node:assert/strict';
import {test} from 'node:test';
import {startGroup} from './replicaGroup.js';

test('A group elects a leader, commits in order and survives a restart of all replicas', async (t) => {
  const group = await startGroup(t, ['a', 'b', 'c']);
  const {replica} = await group.leader();
  const results = await Promise.all(
    Array.from({length: 500}, (_, i) => replica.propose(Buffer.from(`command ${i}`))),
  );
  assert.deepEqual(
    results.map(({result}) => result),
    Array.from({length: 500}, (_, i) => i + 1),
  );
  const commands = await group.agreement();
  for (const id of ['a', 'b', 'c']) await group.kill(id);
  for (const id of ['a', 'b', 'c']) await group.start(id);
  assert.deepEqual((await group.agreement()).slice(0, commands.length), commands);
  group.assertOneLeaderPerTerm();
});
