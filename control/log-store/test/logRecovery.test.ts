import assert from 'node:assert/strict';
import {test} from 'node:test';
import {crc32} from 'node:zlib';
import fc from 'fast-check';
import {MedlarlaneError} from '@medlarlane/errors';
import {openLogStore} from '@medlarlane/log-store';
import type {LogBatch, RecoveredLog} from '@medlarlane/log-store';
import {entries, entry, recover, snapshotAt} from './logStoreFixture.js';
import {MemoryFiles} from './memoryFiles.js';

const FOLDER = 'memory';
const SECTOR_BYTES = 512;
const SEED = 20_261_204;
const DAMAGED_INPUTS = 12_000;

// Guards against a start that needs more memory than the replica had before: the file was read as a whole,
// beside the entries decoded from it.
test('Recovery holds one frame of the log at a time', async () => {
  const entryBytes = 10_000;
  const files = new MemoryFiles();
  const store = await openLogStore(FOLDER, {replicaId: 'a', files});
  const large = Array.from({length: 50}, (_, i) => entry(i + 1, 'x'.repeat(entryBytes)));
  for (const one of large) await store.append({entries: [one]});
  await store.close();
  assert.deepEqual((await recover(FOLDER, files)).entries, large);
  assert.ok(files.largestReadBytes < 2 * entryBytes, `${files.largestReadBytes} bytes at once`);
});

test('Recovery repairs a last frame that is truncated at any byte', async () => {
  const {log, lastFrameStart} = await copyIntactFiles();
  for (let size = lastFrameStart; size < log.length; size++) {
    const {files, logName} = await copyIntactFiles();
    files.put(logName, log.subarray(0, size));
    const {entries: found, tornBytes} = await recover(FOLDER, files);
    assert.deepEqual(found, entries(4, 8), `cut at byte ${size}`);
    assert.equal(tornBytes, size - lastFrameStart);
    // The truncation must be durable, or the next append would follow the torn bytes.
    assert.equal((await recover(FOLDER, files.afterCrash('synced'))).tornBytes, 0);
  }
});

test('Recovery repairs a last frame whose end was allocated but never written', async () => {
  const {log, lastFrameStart} = await copyIntactFiles();
  for (let from = lastFrameStart; from < log.length; from++) {
    if (from !== lastFrameStart && from % SECTOR_BYTES !== 0) continue;
    const {files, logName} = await copyIntactFiles();
    files.put(logName, Buffer.concat([log.subarray(0, from), Buffer.alloc(log.length - from)]));
    assert.deepEqual((await recover(FOLDER, files)).entries, entries(4, 8), `zeros from ${from}`);
  }
});

test('Recovery refuses a log or snapshot with one altered byte', async () => {
  const original = await copyIntactFiles();
  for (const name of original.files.dataNames().filter((other) => other !== 'identity.json')) {
    const intact = original.files.get(name).contents;
    for (let position = 0; position < intact.length; position++) {
      const {files} = await copyIntactFiles();
      const damaged = Buffer.from(intact);
      damaged[position]! ^= 1 << (position % 8);
      files.put(name, damaged);
      const where = `${name} at byte ${position}`;
      await assert.rejects(recover(FOLDER, files), {code: 'LOG_CORRUPT'}, where);
    }
  }
});

test('Recovery refuses a frame length past the end of the file when later frames exist', async () => {
  for (const checksumMatches of [false, true]) {
    const {files, logName, log, frameStarts} = await copyIntactFiles();
    const damaged = Buffer.from(log);
    const header = damaged.subarray(frameStarts[2]!);
    header.writeUInt32LE(1_000_000, 8);
    if (checksumMatches) header.writeUInt32LE(crc32(header.subarray(0, 16)), 16);
    files.put(logName, damaged);
    await assert.rejects(recover(FOLDER, files), {code: 'LOG_CORRUPT'});
  }
});

test('Recovery refuses a log with a missing or repeated frame', async () => {
  const {log, logName, frameStarts} = await copyIntactFiles();
  // A missing last frame cannot be distinguished from one that was never written.
  for (const [i, start] of frameStarts.slice(0, -1).entries()) {
    const end = frameStarts[i + 1]!;
    const missing = [log.subarray(0, start), log.subarray(end)];
    const repeated = [log.subarray(0, end), log.subarray(start)];
    for (const parts of [missing, repeated]) {
      const {files} = await copyIntactFiles();
      files.put(logName, Buffer.concat(parts));
      await assert.rejects(recover(FOLDER, files), {code: 'LOG_CORRUPT'}, `frame ${i}`);
    }
  }
});

test('Recovery of generated damage neither crashes nor returns damaged data', async () => {
  const intact = await copyIntactFiles();
  const expected = await recover(FOLDER, (await copyIntactFiles()).files);
  const names = intact.files.dataNames();
  let refused = 0;
  const property = fc.asyncProperty(
    fc.constantFrom(...names),
    damageArbitrary,
    async (name, edits) => {
      const before = intact.files.get(name).contents;
      const damaged = edits.reduce(applyEdit, before);
      const {files} = await copyIntactFiles();
      files.put(name, damaged);
      const found = await recover(FOLDER, files).catch((failure: unknown) => failure);
      if (found instanceof MedlarlaneError) {
        assert.match(found.code, /^LOG_(CORRUPT|FORMAT)$/);
        refused++;
        return;
      }
      if (found instanceof Error) throw found;
      if (isTornCopy(before, damaged)) assertPrefix(found as RecoveredLog, expected);
      else assert.deepEqual({...(found as RecoveredLog), tornBytes: 0}, expected);
    },
  );
  await fc.assert(property, {seed: SEED, numRuns: DAMAGED_INPUTS});
  assert.ok(refused > DAMAGED_INPUTS / 2, `${refused} of ${DAMAGED_INPUTS} inputs refused`);
});

test('A crash at any file operation loses no acknowledged entry', async () => {
  const completeRun = new MemoryFiles();
  await writeHistory(completeRun);
  for (let change = 1; change <= completeRun.changes; change++) {
    for (const kept of ['all', 'synced'] as const) {
      const files = new MemoryFiles();
      files.crashAtChange = change;
      const acknowledged = await writeHistory(files);
      const found = await recover(FOLDER, files.afterCrash(kept));
      const where = `crash at change ${change}, ${kept} changes kept`;
      const base = found.snapshot?.index ?? 0;
      const lastIndex = base + found.entries.length;
      assert.ok(lastIndex >= acknowledged, `${where}: ${lastIndex} < ${acknowledged}`);
      assert.deepEqual(found.entries, entries(base + 1, lastIndex), where);
    }
  }
});

/** Appends entries around two snapshots; returns the last index that was acknowledged. */
async function writeHistory(files: MemoryFiles): Promise<number> {
  let acknowledged = 0;
  const store = await openLogStore(FOLDER, {replicaId: 'a', files}).catch(() => undefined);
  if (!store) return acknowledged;
  const append = async (from: number, to: number): Promise<void> => {
    await store.append({entries: entries(from, to)});
    acknowledged = to;
  };
  try {
    await append(1, 4);
    const first = store.saveSnapshot(snapshotAt(3), entries(4, 4));
    first.catch(() => undefined);
    await append(5, 8);
    await first;
    const second = store.saveSnapshot(snapshotAt(7), entries(8, 8));
    second.catch(() => undefined);
    await append(9, 10);
    await second;
    await append(11, 12);
  } catch (failure) {
    assert.equal((failure as MedlarlaneError).code, 'LOG_WRITE_FAILED');
  }
  await store.close();
  return acknowledged;
}

interface IntactFiles {
  readonly files: MemoryFiles;
  readonly logName: string;
  readonly log: Buffer;
  readonly frameStarts: number[];
  readonly lastFrameStart: number;
}

/**
 * Returns files with a snapshot at index 3 and a log whose frames contain entries, a vote and an
 * entry of 3 sectors.
 */
async function copyIntactFiles(): Promise<IntactFiles> {
  intactFiles ??= await writeIntactFiles();
  return {...intactFiles, files: intactFiles.files.afterCrash('synced')};
}

let intactFiles: IntactFiles | undefined;

async function writeIntactFiles(): Promise<IntactFiles> {
  const files = new MemoryFiles();
  const store = await openLogStore(FOLDER, {replicaId: 'a', files});
  await store.append({hardState: {term: 2, votedFor: 'b'}, entries: entries(1, 5)});
  await store.saveSnapshot(snapshotAt(3), entries(4, 5));
  const logName = files.dataNames().find((name) => name.startsWith('log-'))!;
  const frameStarts = [0];
  const append = async (batch: LogBatch): Promise<void> => {
    frameStarts.push(files.get(logName).contents.length);
    await store.append(batch);
  };
  await append({entries: entries(6, 7)});
  await append({hardState: {term: 3, votedFor: 'c'}, entries: []});
  await append({entries: entries(8, 8)});
  await append({entries: [entry(9, 'x'.repeat(3 * SECTOR_BYTES))]});
  await store.close();
  await files.syncFolder();
  const {contents} = files.get(logName);
  return {files, logName, log: contents, frameStarts, lastFrameStart: frameStarts.at(-1)!};
}

type Edit =
  | {kind: 'set'; at: number; bytes: Uint8Array}
  | {kind: 'cut'; at: number}
  | {kind: 'zero' | 'remove' | 'repeat'; at: number; length: number}
  | {kind: 'insert'; at: number; bytes: Uint8Array}
  | {kind: 'replace'; bytes: Uint8Array};

const AT = fc.double({min: 0, max: 1, maxExcluded: true, noNaN: true});
const LENGTH = fc.oneof(fc.integer({min: 1, max: 64}), fc.integer({min: 65, max: 2_000}));
const damageArbitrary: fc.Arbitrary<Edit[]> = fc.array(
  fc.oneof(
    fc.record({
      kind: fc.constantFrom('set' as const, 'insert' as const),
      at: AT,
      bytes: fc.uint8Array({minLength: 1, maxLength: 24}),
    }),
    fc.record({kind: fc.constant('cut' as const), at: AT}),
    fc.record({
      kind: fc.constantFrom('zero' as const, 'remove' as const, 'repeat' as const),
      at: AT,
      length: LENGTH,
    }),
    fc.record({kind: fc.constant('replace' as const), bytes: fc.uint8Array({maxLength: 200})}),
  ),
  {minLength: 1, maxLength: 3},
);

function applyEdit(file: Buffer, edit: Edit): Buffer {
  if (edit.kind === 'replace') return Buffer.from(edit.bytes);
  const at = Math.floor(edit.at * file.length);
  const head = file.subarray(0, at);
  switch (edit.kind) {
    case 'set':
      return Buffer.concat([head, edit.bytes, file.subarray(at + edit.bytes.length)]);
    case 'insert':
      return Buffer.concat([head, edit.bytes, file.subarray(at)]);
    case 'cut':
      return head;
    case 'zero': {
      const zeros = Buffer.alloc(Math.min(edit.length, file.length - at));
      return Buffer.concat([head, zeros, file.subarray(at + edit.length)]);
    }
    case 'remove':
      return Buffer.concat([head, file.subarray(at + edit.length)]);
    case 'repeat':
      return Buffer.concat([file.subarray(0, at + edit.length), file.subarray(at)]);
  }
}

/** Whether a file is a prefix of the intact file, optionally followed by zeros. */
function isTornCopy(intact: Buffer, damaged: Buffer): boolean {
  let same = 0;
  while (same < damaged.length && damaged[same] === intact[same]) same++;
  return damaged.subarray(same).every((byte) => byte === 0);
}

function assertPrefix(found: RecoveredLog, expected: RecoveredLog): void {
  assert.deepEqual(found.snapshot, expected.snapshot);
  assert.deepEqual(found.entries, expected.entries.slice(0, found.entries.length));
}
