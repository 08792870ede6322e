import assert from 'node:assert/strict';
import {test} from 'node:test';
import {openLogStore} from '@medlarlane/log-store';
import {entries, entry, temporaryFolder} from './logStoreFixture.js';

const MEMBERS = {voters: ['a'], learners: [], addresses: {a: '127.0.0.1:1'}};

test('Entries, truncation, hard state and snapshot survive a restart', async (t) => {
  const folder = await temporaryFolder(t);
  const store = await openLogStore(folder, {replicaId: 'a'});
  await store.append({hardState: {term: 3, votedFor: 'b'}, entries: entries(1, 10)});
  const payload = new Uint8Array([1, 2, 3]);
  const snapshot = {index: 6, term: 1, members: MEMBERS, payload};
  const saved = store.saveSnapshot(snapshot, entries(7, 10));
  // These appends race with the snapshot and must be in the new file too.
  await store.append({entries: entries(11, 12)});
  await store.append({truncateFrom: 12, entries: [entry(12, 'replaced', 2)]});
  await saved;
  await store.append({hardState: {term: 4, votedFor: ''}, entries: entries(13, 13, 2)});
  await store.close();

  const reopened = await openLogStore(folder);
  assert.equal(reopened.replicaId, 'a');
  assert.deepEqual(reopened.recovered.hardState, {term: 4, votedFor: ''});
  assert.deepEqual(reopened.recovered.snapshot, snapshot);
  assert.deepEqual(reopened.recovered.entries, [
    ...entries(7, 11),
    entry(12, 'replaced', 2),
    ...entries(13, 13, 2),
  ]);
  await reopened.close();
});
