import path from 'node:path';
import {MedlarlaneError} from '@medlarlane/errors';
import {writeFileDurably} from './fileSystem.js';
import type {FileSystem, StoreFile} from './fileSystem.js';
import {encodeFrame} from './frames.js';
import {
  LOG_FILE_PATTERN,
  logFileName,
  SNAPSHOT_FILE_PATTERN,
  snapshotFileName,
} from './fileNames.js';
import {encodeBatches, encodeHeader, encodeSnapshot} from './records.js';
import type {HardState, LogBatch, LogEntry, Snapshot} from './records.js';

export interface LogWriterOptions {
  readonly dataFolder: string;
  readonly replicaId: string;
  readonly files: FileSystem;
  readonly releaseLock: () => Promise<void>;
  readonly logNumber: number;
  /** Number of frames in the open log file, whose size is `sizeBytes`. */
  readonly frameCount: number;
  readonly sizeBytes: number;
  readonly hardState: HardState;
  readonly file: StoreFile;
}

interface PendingBatch {
  readonly batch: LogBatch;
  readonly resolve: () => void;
  readonly reject: (failure: unknown) => void;
}

/** A snapshot in progress, with the batches that were appended since it was requested. */
interface Rotation {
  readonly hardState: HardState;
  readonly batches: LogBatch[];
}

// Limits the size of one frame when many appends queue behind a slow disk.
const MAX_BATCHES_PER_FRAME = 4096;

/** Writes the log file. All writes run one after another in a queue. */
export class LogWriter {
  readonly replicaId: string;
  failure?: MedlarlaneError;
  private hardState: HardState;
  private logNumber: number;
  private frameCount: number;
  private sizeBytes: number;
  private file: StoreFile;
  private pending: PendingBatch[] = [];
  private readonly rotations = new Set<Rotation>();
  private queue: Promise<unknown> = Promise.resolve();
  private snapshots: Promise<unknown> = Promise.resolve();
  private closing?: Promise<void>;

  constructor(private readonly opts: LogWriterOptions) {
    ({
      replicaId: this.replicaId,
      hardState: this.hardState,
      logNumber: this.logNumber,
      frameCount: this.frameCount,
      sizeBytes: this.sizeBytes,
      file: this.file,
    } = opts);
  }

  append(batch: LogBatch): Promise<void> {
    if (this.closing) return Promise.reject(createWriteError('Log is closed'));
    if (this.failure) return Promise.reject(this.failure);
    this.hardState = batch.hardState ?? this.hardState;
    for (const rotation of this.rotations) rotation.batches.push(batch);
    return new Promise((resolve, reject) => {
      this.pending.push({batch, resolve, reject});
      if (this.pending.length === 1) void this.runInOrder(() => this.writePending());
    });
  }

  saveSnapshot(snapshot: Snapshot, keptEntries: readonly LogEntry[]): Promise<void> {
    if (this.closing) return Promise.reject(createWriteError('Log is closed'));
    if (this.failure) return Promise.reject(this.failure);
    const rotation: Rotation = {hardState: this.hardState, batches: []};
    this.rotations.add(rotation);
    const saved = this.snapshots.then(() => this.writeSnapshot(snapshot, keptEntries, rotation));
    this.snapshots = saved.catch(() => undefined);
    return saved;
  }

  close(): Promise<void> {
    this.closing ??= this.finish();
    return this.closing;
  }

  private async finish(): Promise<void> {
    await this.snapshots;
    await this.queue;
    await this.file.close().catch(() => undefined);
    await this.opts.releaseLock();
  }

  /** Runs `step` after all steps that were queued before. */
  private runInOrder(step: () => Promise<void>): Promise<void> {
    const done = this.queue.then(step);
    this.queue = done.catch(() => undefined);
    return done;
  }

  /** Writes the pending batches as one frame with one sync. */
  private async writePending(): Promise<void> {
    const batches = this.pending.splice(0, MAX_BATCHES_PER_FRAME);
    if (batches.length === 0) return;
    if (this.pending.length > 0) void this.runInOrder(() => this.writePending());
    try {
      await this.writeFrame(encodeBatches(batches.map(({batch}) => batch)));
      for (const {resolve} of batches) resolve();
    } catch (failure) {
      const writeFailure = this.fail(failure);
      for (const {reject} of [...batches, ...this.pending.splice(0)]) reject(writeFailure);
    }
  }

  private async writeFrame(payload: Uint8Array): Promise<void> {
    if (this.failure) throw this.failure;
    const frame = encodeFrame(this.frameCount, payload);
    await this.file.write(frame, this.sizeBytes);
    await this.file.sync();
    this.frameCount++;
    this.sizeBytes += frame.length;
  }

  private async writeSnapshot(
    snapshot: Snapshot,
    keptEntries: readonly LogEntry[],
    rotation: Rotation,
  ): Promise<void> {
    try {
      if (this.failure) throw this.failure;
      // Appends still go to the old log file while the snapshot is written.
      const snapshotPath = path.join(this.opts.dataFolder, snapshotFileName(snapshot.index));
      const bytes = encodeFrame(0, encodeSnapshot(snapshot));
      await writeFileDurably(this.opts.files, snapshotPath, bytes);
      await this.runInOrder(() => this.rotateLogFile(snapshot, keptEntries, rotation));
    } catch (failure) {
      throw this.fail(failure);
    } finally {
      this.rotations.delete(rotation);
    }
  }

  private async rotateLogFile(
    snapshot: Snapshot,
    keptEntries: readonly LogEntry[],
    rotation: Rotation,
  ): Promise<void> {
    if (this.failure) throw this.failure;
    const {dataFolder, files, replicaId} = this.opts;
    // Pending batches are also in `rotation.batches`, which is written to the new file.
    const pendingBatches = this.pending.splice(0);
    this.rotations.delete(rotation);
    const header = encodeHeader({
      replicaId,
      baseIndex: snapshot.index,
      baseTerm: snapshot.term,
      hardState: rotation.hardState,
      entries: keptEntries,
    });
    const frames = [encodeFrame(0, header)];
    if (rotation.batches.length > 0) frames.push(encodeFrame(1, encodeBatches(rotation.batches)));
    const bytes = Buffer.concat(frames);
    const newPath = path.join(dataFolder, logFileName(this.logNumber + 1));
    try {
      await writeFileDurably(files, newPath, bytes);
      const oldFile = this.file;
      this.file = await files.open(newPath, 'update');
      await oldFile.close();
    } catch (failure) {
      const writeFailure = this.fail(failure);
      for (const {reject} of pendingBatches) reject(writeFailure);
      throw writeFailure;
    }
    this.logNumber++;
    this.frameCount = frames.length;
    this.sizeBytes = bytes.length;
    for (const {resolve} of pendingBatches) resolve();
    await this.removeOldFiles(snapshot.index);
  }

  private async removeOldFiles(snapshotIndex: number): Promise<void> {
    const {dataFolder, files} = this.opts;
    for (const name of await files.list(dataFolder)) {
      const old =
        (LOG_FILE_PATTERN.test(name) && name !== logFileName(this.logNumber)) ||
        (SNAPSHOT_FILE_PATTERN.test(name) && name !== snapshotFileName(snapshotIndex));
      if (old) await files.remove(path.join(dataFolder, name));
    }
  }

  /**
   * Stops all writes: after a failed sync the kernel may have dropped the data, so a retry is
   * unsafe.
   */
  private fail(failure: unknown): MedlarlaneError {
    this.failure ??= createWriteError(
      failure instanceof Error ? failure.message : String(failure),
      failure,
    );
    return this.failure;
  }
}

function createWriteError(reason: string, cause?: unknown): MedlarlaneError {
  return new MedlarlaneError('LOG_WRITE_FAILED', `Log cannot be written: ${reason}`, {cause});
}
