import {MedlarlaneError} from '@medlarlane/errors';
import type {Clock} from '@medlarlane/lifecycle';
import type {HardState, LogBatch, LogEntry, LogStore, Snapshot} from '@medlarlane/log-store';

/** Durable state. It outlives the store that writes it. */
export interface MemoryDisk {
  hardState: HardState;
  snapshot?: Snapshot;
  entries: LogEntry[];
}

export function emptyDisk(): MemoryDisk {
  return {hardState: {term: 0, votedFor: ''}, entries: []};
}

const SYNC_MS = 2;

/** In-memory log store whose syncs take time on the clock of the test. */
export class MemoryStore implements LogStore {
  readonly recovered: LogStore['recovered'];
  failure?: MedlarlaneError;
  /** Makes the next sync fail. */
  failsSyncs = false;
  private readonly queue: Array<{write: () => void; done: (failure?: MedlarlaneError) => void}> =
    [];

  constructor(
    readonly replicaId: string,
    private readonly disk: MemoryDisk,
    private readonly clock: Clock,
  ) {
    this.recovered = {...structuredClone(disk), tornBytes: 0};
  }

  append({hardState, truncateFrom, entries}: LogBatch): Promise<void> {
    return this.enqueue(() => {
      this.disk.hardState = hardState ?? this.disk.hardState;
      if (truncateFrom !== undefined) {
        this.disk.entries = this.disk.entries.filter(({index}) => index < truncateFrom);
      }
      for (const entry of entries) {
        const expected = (this.disk.entries.at(-1)?.index ?? this.disk.snapshot?.index ?? 0) + 1;
        if (entry.index !== expected) throw new Error(`Entry ${entry.index} is not ${expected}`);
        this.disk.entries.push(entry);
      }
    });
  }

  saveSnapshot(snapshot: Snapshot, keptEntries: readonly LogEntry[]): Promise<void> {
    const kept = [...keptEntries];
    return this.enqueue(() => {
      this.disk.snapshot = snapshot;
      this.disk.entries = kept;
    });
  }

  async close(): Promise<void> {
    this.failure ??= new MedlarlaneError('LOG_WRITE_FAILED');
  }

  private enqueue(write: () => void): Promise<void> {
    if (this.failure) return Promise.reject(this.failure);
    return new Promise((resolve, reject) => {
      this.queue.push({write, done: (failure) => (failure ? reject(failure) : resolve())});
      if (this.queue.length === 1) void this.sync();
    });
  }

  private async sync(): Promise<void> {
    while (this.queue.length > 0) {
      const group = [...this.queue];
      await this.clock.sleep(SYNC_MS);
      if (this.failsSyncs) this.failure ??= new MedlarlaneError('LOG_WRITE_FAILED');
      if (this.failure) group.splice(0, group.length, ...this.queue);
      this.queue.splice(0, group.length);
      for (const {write, done} of group) {
        if (!this.failure) write();
        done(this.failure);
      }
    }
  }
}
