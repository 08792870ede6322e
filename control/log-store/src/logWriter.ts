import path from 'node:path';
import {MedlarlaneError} from '@medlarlane/errors';
import {writeFileDurably} from './fileSystem.js';
import type {FileSystem, StoreFile} from './fileSystem.js';
import {encodeFrame} from './frames.js';
import {LOG_NAME, logName, SNAPSHOT_NAME, snapshotName} from './names.js';
import {encodeBatches, encodeHeader, encodeSnapshot} from './records.js';
import type {HardState, LogBatch, LogEntry, Snapshot} from './records.js';

export interface LogWriterOptions {
  readonly dataFolder: string;
  readonly replicaId: string;
  readonly files: FileSystem;
  readonly release: () => Promise<void>;
  readonly logNumber: number;
  /** Frames and bytes in the open file. */
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

/** A snapshot in progress, with the batches appended since it was asked for. */
interface Rotation {
  readonly hardState: HardState;
  readonly batches: LogBatch[];
}

// Bounds the size of one frame when many calls wait for a slow disk.
const MAX_BATCHES_PER_FRAME = 4096;

/** Writes the log file. All writes to it run in one queue. */
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
    if (this.closing) return Promise.reject(writeFailed('Log is closed'));
    if (this.failure) return Promise.reject(this.failure);
    this.hardState = batch.hardState ?? this.hardState;
    for (const rotation of this.rotations) rotation.batches.push(batch);
    return new Promise((resolve, reject) => {
      this.pending.push({batch, resolve, reject});
      if (this.pending.length === 1) void this.enqueue(() => this.writePending());
    });
  }

  saveSnapshot(snapshot: Snapshot, keptEntries: readonly LogEntry[]): Promise<void> {
    if (this.closing) return Promise.reject(writeFailed('Log is closed'));
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
    await this.opts.release();
  }

  /** Runs `step` after all earlier steps. */
  private enqueue(step: () => Promise<void>): Promise<void> {
    const done = this.queue.then(step);
    this.queue = done.catch(() => undefined);
    return done;
  }

  /** Writes everything that waits as one frame with one sync. */
  private async writePending(): Promise<void> {
    const group = this.pending.splice(0, MAX_BATCHES_PER_FRAME);
    if (group.length === 0) return;
    if (this.pending.length > 0) void this.enqueue(() => this.writePending());
    try {
      await this.writeFrame(encodeBatches(group.map(({batch}) => batch)));
      for (const {resolve} of group) resolve();
    } catch (failure) {
      const writeFailure = this.fail(failure);
      for (const {reject} of [...group, ...this.pending.splice(0)]) reject(writeFailure);
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
      // Appends continue in the old file while the snapshot is written.
      const snapshotPath = path.join(this.opts.dataFolder, snapshotName(snapshot.index));
      const bytes = encodeFrame(0, encodeSnapshot(snapshot));
      await writeFileDurably(this.opts.files, snapshotPath, bytes);
      await this.enqueue(() => this.startNewFile(snapshot, keptEntries, rotation));
    } catch (failure) {
      throw this.fail(failure);
    } finally {
      this.rotations.delete(rotation);
    }
  }

  private async startNewFile(
    snapshot: Snapshot,
    keptEntries: readonly LogEntry[],
    rotation: Rotation,
  ): Promise<void> {
    if (this.failure) throw this.failure;
    const {dataFolder, files, replicaId} = this.opts;
    // Batches that still wait are in this list and will be written to the new file by it.
    const waiting = this.pending.splice(0);
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
    const newPath = path.join(dataFolder, logName(this.logNumber + 1));
    try {
      await writeFileDurably(files, newPath, bytes);
      const oldFile = this.file;
      this.file = await files.open(newPath, 'update');
      await oldFile.close();
    } catch (failure) {
      const writeFailure = this.fail(failure);
      for (const {reject} of waiting) reject(writeFailure);
      throw writeFailure;
    }
    this.logNumber++;
    this.frameCount = frames.length;
    this.sizeBytes = bytes.length;
    for (const {resolve} of waiting) resolve();
    await this.removeOldFiles(snapshot.index);
  }

  private async removeOldFiles(snapshotIndex: number): Promise<void> {
    const {dataFolder, files} = this.opts;
    for (const name of await files.list(dataFolder)) {
      const old =
        (LOG_NAME.test(name) && name !== logName(this.logNumber)) ||
        (SNAPSHOT_NAME.test(name) && name !== snapshotName(snapshotIndex));
      if (old) await files.remove(path.join(dataFolder, name));
    }
  }

  /** After a failed sync the kernel may have dropped the data, so nothing is retried. */
  private fail(failure: unknown): MedlarlaneError {
    this.failure ??= writeFailed(
      failure instanceof Error ? failure.message : String(failure),
      failure,
    );
    return this.failure;
  }
}

function writeFailed(reason: string, cause?: unknown): MedlarlaneError {
  return new MedlarlaneError('LOG_WRITE_FAILED', `Log cannot be written: ${reason}`, {cause});
}
