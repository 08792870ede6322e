import {randomUUID} from 'node:crypto';
import path from 'node:path';
import {z} from 'zod';
import {MedlarlaneError} from '@medlarlane/errors';
import {nodeFileSystem, TEMPORARY_SUFFIX, writeFileDurably} from './fileSystem.js';
import type {FileSystem} from './fileSystem.js';
import {lockFolder} from './folderLock.js';
import {encodeFrame, scanFrames} from './frames.js';
import type {FrameScan} from './frames.js';
import {LogWriter} from './logWriter.js';
import {
  IDENTITY_FILE,
  LOG_FILE_PATTERN,
  logFileName,
  SNAPSHOT_FILE_PATTERN,
  snapshotFileName,
} from './fileNames.js';
import {decodeBatches, decodeHeader, decodeSnapshot, encodeHeader} from './records.js';
import type {DecodedBatch, HardState, LogBatch, LogEntry, LogHeader, Snapshot} from './records.js';

const FORMAT_VERSION = 1;
const identitySchema = z.object({format: z.int(), replicaId: z.string().min(1)});

/** Contents of the data folder when it was opened. */
export interface RecoveredLog {
  readonly hardState: HardState;
  readonly snapshot?: Snapshot;
  /** Entries after the snapshot, without gaps. */
  readonly entries: LogEntry[];
  /** Size of the incomplete last write that was truncated. */
  readonly tornBytes: number;
}

export interface LogStore {
  readonly replicaId: string;
  readonly recovered: RecoveredLog;
  /** Set once a write fails; no later write is acknowledged. */
  readonly failure?: MedlarlaneError;
  /**
   * Resolves once the batch is durable. Concurrent calls share one sync and keep their order.
   * @throws MedlarlaneError `LOG_WRITE_FAILED` when the write fails, and for every later call.
   */
  append(batch: LogBatch): Promise<void>;
  /**
   * Makes the snapshot durable and starts a new log file with `keptEntries`, which follow the
   * snapshot.
   */
  saveSnapshot(snapshot: Snapshot, keptEntries: readonly LogEntry[]): Promise<void>;
  /** Waits for writes in progress and releases the lock of the folder. */
  close(): Promise<void>;
}

export interface OpenLogStoreOptions {
  /** Must equal the id in the folder. A new folder gets this id or, without it, a generated one. */
  readonly replicaId?: string;
  /** Generates the replica id of a new folder. Default: a random UUID. */
  readonly generateReplicaId?: () => string;
  /**
   * Set when the caller guarantees that no other process uses the folder, for example because it
   * listens on a port that is assigned to the folder. No lock file is written then.
   */
  readonly assumeExclusive?: boolean;
  readonly files?: FileSystem;
}

/**
 * Opens the log in a data folder, creating it when the folder is empty.
 *
 * @throws MedlarlaneError `LOG_LOCKED`, `LOG_FORMAT`, `LOG_CORRUPT`, or `SETTINGS_INVALID` when the
 * folder belongs to another replica id.
 */
export async function openLogStore(
  dataFolder: string,
  opts: OpenLogStoreOptions = {},
): Promise<LogStore> {
  const files = opts.files ?? nodeFileSystem;
  await files.makeFolder(dataFolder);
  const releaseLock = opts.assumeExclusive
    ? async () => undefined
    : await lockFolder(dataFolder, files);
  try {
    const names = await files.list(dataFolder);
    const found = await findLog(dataFolder, names, files);
    const {replicaId, logNumber, recovered, frameCount, sizeBytes} = found
      ? await recoverLog(dataFolder, found, opts.replicaId, files)
      : await createLog(
          dataFolder,
          opts.replicaId ?? (opts.generateReplicaId ?? randomUUID)(),
          files,
        );
    await removeStaleFiles(dataFolder, logNumber, recovered.snapshot?.index, files);
    const writer = new LogWriter({
      dataFolder,
      replicaId,
      files,
      releaseLock,
      logNumber,
      frameCount,
      sizeBytes,
      hardState: recovered.hardState,
      file: await files.open(path.join(dataFolder, logFileName(logNumber)), 'update'),
    });
    return Object.assign(writer, {recovered});
  } catch (failure) {
    await releaseLock();
    throw failure;
  }
}

interface FoundLog {
  readonly logNumber: number;
  /** Absent when a crash interrupted the creation of the folder. */
  readonly identity: z.infer<typeof identitySchema> | undefined;
}

interface OpenedLog {
  readonly replicaId: string;
  readonly logNumber: number;
  readonly recovered: RecoveredLog;
  readonly frameCount: number;
  readonly sizeBytes: number;
}

async function findLog(
  dataFolder: string,
  names: readonly string[],
  files: FileSystem,
): Promise<FoundLog | undefined> {
  const logNumbers = names.flatMap((name) => {
    const match = LOG_FILE_PATTERN.exec(name);
    return match ? [Number(match[1])] : [];
  });
  const identity = names.includes(IDENTITY_FILE)
    ? readIdentity(await files.read(path.join(dataFolder, IDENTITY_FILE)))
    : undefined;
  if (logNumbers.length > 0) return {logNumber: Math.max(...logNumbers), identity};
  if (identity || names.some((name) => SNAPSHOT_FILE_PATTERN.test(name))) {
    throw new MedlarlaneError('LOG_CORRUPT', 'Data folder has no log file');
  }
  return undefined;
}

function readIdentity(bytes: Uint8Array): z.infer<typeof identitySchema> {
  let identity: z.infer<typeof identitySchema>;
  try {
    identity = identitySchema.parse(JSON.parse(Buffer.from(bytes).toString('utf8')));
  } catch (cause) {
    throw new MedlarlaneError('LOG_CORRUPT', `${IDENTITY_FILE} cannot be read`, {cause});
  }
  if (identity.format === FORMAT_VERSION) return identity;
  throw new MedlarlaneError('LOG_FORMAT', `Data folder has format ${identity.format}`, {
    details: {format: identity.format, supported: FORMAT_VERSION},
  });
}

async function createLog(
  dataFolder: string,
  replicaId: string,
  files: FileSystem,
): Promise<OpenedLog> {
  const logNumber = 1;
  const hardState = {term: 0, votedFor: ''};
  const header = {replicaId, baseIndex: 0, baseTerm: 0, hardState, entries: []};
  const frame = encodeFrame(0, encodeHeader(header));
  await writeFileDurably(files, path.join(dataFolder, logFileName(logNumber)), frame);
  // The identity is written last, so that an identity without a log file always means a lost log
  // file.
  await writeIdentity(dataFolder, replicaId, files);
  const recovered = {hardState, entries: [], tornBytes: 0};
  return {replicaId, logNumber, recovered, frameCount: 1, sizeBytes: frame.length};
}

async function writeIdentity(
  dataFolder: string,
  replicaId: string,
  files: FileSystem,
): Promise<void> {
  const text = `${JSON.stringify({format: FORMAT_VERSION, replicaId})}\n`;
  await writeFileDurably(files, path.join(dataFolder, IDENTITY_FILE), Buffer.from(text));
}

async function recoverLog(
  dataFolder: string,
  {logNumber, identity}: FoundLog,
  expectedId: string | undefined,
  files: FileSystem,
): Promise<OpenedLog> {
  const logPath = path.join(dataFolder, logFileName(logNumber));
  const replay = new LogReplay();
  const {frameCount, validBytes, tornBytes} = await readFrames(logPath, files, (payload) =>
    replay.add(payload),
  );
  const {header, hardState, entries} = replay;
  if (!header) throw new MedlarlaneError('LOG_CORRUPT', 'Log file has no header');
  checkIdentity(header, identity, expectedId, frameCount - 1);
  const snapshot = await readSnapshot(dataFolder, header, files);
  if (tornBytes > 0) await truncateTornTail(logPath, validBytes, files);
  if (!identity) await writeIdentity(dataFolder, header.replicaId, files);
  return {
    replicaId: header.replicaId,
    logNumber,
    recovered: {hardState, entries, tornBytes, ...(snapshot ? {snapshot} : {})},
    frameCount,
    sizeBytes: validBytes,
  };
}

async function readFrames(
  filePath: string,
  files: FileSystem,
  onFrame: (payload: Uint8Array) => void,
): Promise<FrameScan> {
  const file = await files.openForRead(filePath);
  try {
    return await scanFrames(file, onFrame);
  } finally {
    await file.close();
  }
}

function checkIdentity(
  {replicaId, baseIndex, entries}: LogHeader,
  identity: FoundLog['identity'],
  expectedId: string | undefined,
  batchCount: number,
): void {
  if (!identity && (baseIndex > 0 || entries.length > 0 || batchCount > 0)) {
    throw new MedlarlaneError('LOG_CORRUPT', `${IDENTITY_FILE} is missing`);
  }
  if (identity && identity.replicaId !== replicaId) {
    throw new MedlarlaneError(
      'LOG_CORRUPT',
      `${IDENTITY_FILE} and the log have different replica ids`,
    );
  }
  if (expectedId !== undefined && expectedId !== replicaId) {
    throw new MedlarlaneError('SETTINGS_INVALID', `Data folder belongs to replica ${replicaId}`, {
      details: {replicaId, expectedId},
    });
  }
}

async function readSnapshot(
  dataFolder: string,
  {baseIndex, baseTerm}: LogHeader,
  files: FileSystem,
): Promise<Snapshot | undefined> {
  if (baseIndex === 0) return undefined;
  const name = snapshotFileName(baseIndex);
  if (!(await files.list(dataFolder)).includes(name)) {
    throw new MedlarlaneError('LOG_CORRUPT', `Snapshot ${name} is missing`);
  }
  const snapshots: Snapshot[] = [];
  const {tornBytes} = await readFrames(path.join(dataFolder, name), files, (payload) =>
    snapshots.push(decodeSnapshot(payload)),
  );
  const [snapshot] = snapshots;
  if (!snapshot || snapshots.length > 1 || tornBytes > 0) {
    throw new MedlarlaneError('LOG_CORRUPT', `Snapshot ${name} is incomplete`);
  }
  if (snapshot.index === baseIndex && snapshot.term === baseTerm) return snapshot;
  throw new MedlarlaneError('LOG_CORRUPT', `Snapshot ${name} does not match the log`);
}

/** The log entries after the batches of a log file, which are added in order. */
class LogReplay {
  header: LogHeader | undefined;
  hardState: HardState = {term: 0, votedFor: ''};
  readonly entries: LogEntry[] = [];

  /** Adds the payload of the next frame; the first one holds the header. */
  add(payload: Uint8Array): void {
    if (this.header) {
      for (const batch of decodeBatches(payload)) this.apply(this.header, batch);
      return;
    }
    const header = decodeHeader(payload);
    this.header = header;
    this.apply(header, {hardState: header.hardState, entries: [...header.entries]});
  }

  private apply({baseIndex}: LogHeader, batch: DecodedBatch): void {
    const {entries} = this;
    const nextIndex = (): number => baseIndex + entries.length + 1;
    this.hardState = batch.hardState ?? this.hardState;
    if (batch.truncateFrom !== undefined) {
      if (batch.truncateFrom <= baseIndex || batch.truncateFrom > nextIndex()) {
        throw new MedlarlaneError(
          'LOG_CORRUPT',
          `Truncation at index ${batch.truncateFrom} is out of range`,
        );
      }
      entries.length = batch.truncateFrom - baseIndex - 1;
    }
    for (const entry of batch.entries) {
      if (entry.index !== nextIndex()) {
        throw new MedlarlaneError('LOG_CORRUPT', `Entry ${nextIndex()} is missing`, {
          details: {expected: nextIndex(), found: entry.index},
        });
      }
      entries.push(entry);
    }
  }
}

async function truncateTornTail(
  logPath: string,
  validBytes: number,
  files: FileSystem,
): Promise<void> {
  const file = await files.open(logPath, 'update');
  try {
    await file.truncate(validBytes);
    await file.sync();
  } finally {
    await file.close();
  }
}

/** Removes files that a crash during a snapshot left behind. */
async function removeStaleFiles(
  dataFolder: string,
  logNumber: number,
  snapshotIndex: number | undefined,
  files: FileSystem,
): Promise<void> {
  const kept = new Set([logFileName(logNumber), IDENTITY_FILE]);
  if (snapshotIndex !== undefined) kept.add(snapshotFileName(snapshotIndex));
  for (const name of await files.list(dataFolder)) {
    const isLogStoreFile =
      LOG_FILE_PATTERN.test(name) ||
      SNAPSHOT_FILE_PATTERN.test(name) ||
      name.endsWith(TEMPORARY_SUFFIX);
    if (isLogStoreFile && !kept.has(name)) await files.remove(path.join(dataFolder, name));
  }
}
