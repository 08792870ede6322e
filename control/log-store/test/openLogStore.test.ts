import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readdir, readFile, rm, symlink, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {openLogStore} from '@medlarlane/log-store';
import type {LogStore} from '@medlarlane/log-store';
import {
  entries,
  entry,
  faultyFiles,
  recover,
  snapshotAt,
  temporaryFolder,
} from './logStoreFixture.js';

test('Entries, truncation, hard state and snapshot survive a restart', async (t) => {
  const folder = await temporaryFolder(t);
  const store = await openLogStore(folder, {replicaId: 'a'});
  await store.append({hardState: {term: 3, votedFor: 'b'}, entries: entries(1, 10)});
  const saved = store.saveSnapshot(snapshotAt(6), entries(7, 10));
  // These appends run concurrently with the snapshot and must also be in the new file.
  await store.append({entries: entries(11, 12)});
  await store.append({truncateFrom: 12, entries: [entry(12, 'replaced', 2)]});
  await saved;
  await store.append({hardState: {term: 4, votedFor: ''}, entries: entries(13, 13, 2)});
  await store.close();

  const reopened = await openLogStore(folder);
  assert.equal(reopened.replicaId, 'a');
  assert.deepEqual(reopened.recovered, {
    hardState: {term: 4, votedFor: ''},
    snapshot: snapshotAt(6),
    entries: [...entries(7, 11), entry(12, 'replaced', 2), ...entries(13, 13, 2)],
    tornBytes: 0,
  });
  await reopened.close();
});

test('Concurrent appends share a sync', async (t) => {
  const files = faultyFiles();
  const store = await openLogStore(await temporaryFolder(t), {files});
  const before = files.syncCount;
  await Promise.all(entries(1, 1000).map((one) => store.append({entries: [one]})));
  await store.close();
  // The first append may be synced alone; the appends that arrive during its sync share the next
  // one.
  assert.ok(files.syncCount - before <= 2, `${files.syncCount - before} syncs`);
});

const WRITE_FAULTS: ReadonlyArray<{
  fault: string;
  injectFault: (files: ReturnType<typeof faultyFiles>) => void;
  operation: (store: LogStore) => Promise<void>;
}> = [
  {
    fault: 'full disk during an append',
    injectFault: (files) => (files.writeFailure = new Error('ENOSPC')),
    operation: (store) => store.append({entries: entries(6, 6)}),
  },
  {
    fault: 'failed sync of an append',
    injectFault: (files) => (files.syncFailure = new Error('EIO')),
    operation: (store) => store.append({entries: entries(6, 6)}),
  },
  {
    fault: 'full disk during a snapshot',
    injectFault: (files) => (files.writeFailure = new Error('ENOSPC')),
    operation: (store) => store.saveSnapshot(snapshotAt(3), entries(4, 5)),
  },
  {
    fault: 'failed sync of a snapshot',
    injectFault: (files) => (files.syncFailure = new Error('EIO')),
    operation: (store) => store.saveSnapshot(snapshotAt(3), entries(4, 5)),
  },
];
for (const {fault, injectFault, operation} of WRITE_FAULTS) {
  test(`After a ${fault} no write is acknowledged and acknowledged entries remain`, async (t) => {
    const folder = await temporaryFolder(t);
    const files = faultyFiles();
    const store = await openLogStore(folder, {replicaId: 'a', files});
    await store.append({entries: entries(1, 5)});
    injectFault(files);
    await assert.rejects(operation(store), {code: 'LOG_WRITE_FAILED'});
    assert.equal(store.failure?.code, 'LOG_WRITE_FAILED');
    const syncs = files.syncCount;
    // The fault is over, but the data of the failed sync may already be lost.
    files.writeFailure = files.syncFailure = undefined;
    await assert.rejects(store.append({entries: entries(6, 6)}), {code: 'LOG_WRITE_FAILED'});
    await assert.rejects(store.saveSnapshot(snapshotAt(3), entries(4, 5)), {
      code: 'LOG_WRITE_FAILED',
    });
    assert.equal(files.syncCount, syncs);
    await store.close();
    assert.deepEqual((await recover(folder)).entries.slice(0, 5), entries(1, 5));
  });
}

const INTACT_FILE_NAMES = ['identity.json', 'log-0000000000000002', 'snapshot-0000000000000003'];
const REFUSALS: ReadonlyArray<{
  damage: string;
  code: string;
  applyDamage: (folder: string) => Promise<void>;
}> = [
  ...INTACT_FILE_NAMES.map((name) => ({
    damage: `missing ${name}`,
    code: 'LOG_CORRUPT',
    applyDamage: (folder: string) => rm(path.join(folder, name)),
  })),
  {
    damage: 'an empty log file',
    code: 'LOG_CORRUPT',
    applyDamage: (folder) => writeFile(path.join(folder, INTACT_FILE_NAMES[1]!), ''),
  },
  {
    damage: 'a truncated snapshot',
    code: 'LOG_CORRUPT',
    applyDamage: async (folder) => {
      const file = path.join(folder, INTACT_FILE_NAMES[2]!);
      await writeFile(file, (await readFile(file)).subarray(0, -1));
    },
  },
  {
    damage: 'a format of a later version',
    code: 'LOG_FORMAT',
    applyDamage: (folder) =>
      writeFile(path.join(folder, INTACT_FILE_NAMES[0]!), '{"format": 2, "replicaId": "a"}'),
  },
  {
    damage: 'the identity of another replica',
    code: 'LOG_CORRUPT',
    applyDamage: (folder) =>
      writeFile(path.join(folder, INTACT_FILE_NAMES[0]!), '{"format": 1, "replicaId": "b"}'),
  },
];
for (const {damage, code, applyDamage} of REFUSALS) {
  test(`A folder with ${damage} is refused and not changed`, async (t) => {
    const folder = await temporaryFolder(t);
    const store = await openLogStore(folder, {replicaId: 'a'});
    await store.append({entries: entries(1, 5)});
    await store.saveSnapshot(snapshotAt(3), entries(4, 5));
    await store.close();
    assert.deepEqual((await readdir(folder)).sort(), INTACT_FILE_NAMES);
    await applyDamage(folder);
    const before = await contents(folder);
    await assert.rejects(openLogStore(folder, {replicaId: 'a'}), {code});
    assert.deepEqual(await contents(folder), before);
  });
}

test('A folder that belongs to another replica id is refused', async (t) => {
  const folder = await temporaryFolder(t);
  await (await openLogStore(folder, {replicaId: 'a'})).close();
  await assert.rejects(openLogStore(folder, {replicaId: 'b'}), {code: 'SETTINGS_INVALID'});
});

test('A second open in the same process is refused until the first is closed', async (t) => {
  const folder = await temporaryFolder(t);
  const store = await openLogStore(folder);
  await assert.rejects(openLogStore(folder), {code: 'LOG_LOCKED'});
  await symlink(folder, `${folder}-link`);
  t.after(() => rm(`${folder}-link`));
  await assert.rejects(openLogStore(`${folder}-link`), {code: 'LOG_LOCKED'});
  await store.append({entries: entries(1, 1)});
  await store.close();
  assert.equal((await recover(folder)).entries.length, 1);
});

test('The lock of a running process is respected and that of a killed process is ignored', async (t) => {
  const folder = await temporaryFolder(t);
  const program = fileURLToPath(new URL('./holdLogStore.js', import.meta.url));
  const child = spawn(process.execPath, [program, folder], {stdio: ['ignore', 'pipe', 'inherit']});
  t.after(() => child.kill('SIGKILL'));
  await once(child.stdout, 'data');
  await assert.rejects(openLogStore(folder), {code: 'LOG_LOCKED'});
  child.kill('SIGKILL');
  await once(child, 'exit');
  assert.deepEqual((await recover(folder)).entries, entries(1, 1));
});

test('A lock whose process id was reused by another process is ignored', async (t) => {
  const folder = await temporaryFolder(t);
  const store = await openLogStore(folder);
  const [lock] = (await readdir(folder)).filter((name) => name.startsWith('lock-'));
  await store.close();
  const [, processId, , boot] = lock!.split('-');
  for (const stale of [`lock-${processId}-1-${boot}-1`, `lock-${process.ppid}-1-${boot}-1`]) {
    await writeFile(path.join(folder, stale), '');
    await recover(folder);
  }
});

async function contents(folder: string): Promise<Record<string, string>> {
  const names = await readdir(folder);
  const read = names.map(async (name) => [
    name,
    (await readFile(path.join(folder, name))).toString('hex'),
  ]);
  return Object.fromEntries(await Promise.all(read)) as Record<string, string>;
}
