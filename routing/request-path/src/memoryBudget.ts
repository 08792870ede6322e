/** Bytes that a part of the request path holds in memory. */
export interface MemoryHold {
  add(bytes: number): void;
  remove(bytes: number): void;
  /** Releases all bytes. */
  close(): void;
}

export interface MemoryHoldOptions {
  /**
   * Whether the bytes wait for a reader. When the limit is exceeded, the slowest reader is cut off; only a
   * hold that waits for no reader and has `onCut` is cut off itself.
   */
  readonly isReader: boolean;
  /** Called at most once, after the bytes of the hold were released. */
  readonly onCut?: () => void;
}

export interface MemoryBudgetOptions {
  /** Memory of the process; `undefined` if it is not limited. */
  readonly processBytes?: number | undefined;
  /** Called when a hold was cut off, at most once per second. */
  readonly onCutOff?: (usage: {heldBytes: number; cutOffCount: number}) => void;
}

/** Without a limit for the process; on the smallest instances a process may use 250 MB in total. */
const DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024;
/** The rest of the memory is needed for code, heap and the buffers of the kernel. */
const PROCESS_FRACTION = 0.25;
const TIGHT_FRACTION = 0.5;
/** Interval between two readings of the send queues, which each take a pass over all connections. */
const QUEUE_READING_MS = 20;

/** A smaller response that is being read is not cut off for what others hold. */
const MAX_INNOCENT_BYTES = 65_536;
const REPORT_INTERVAL_MS = 1_000;

/** Counts all bytes that a daemon holds for requests and responses, and limits them. */
export class MemoryBudget {
  /** Maximum of the held bytes. */
  readonly limitBytes: number;
  private readonly readers = new Set<CountedHold>();
  private readonly queues: Array<() => number> = [];
  private countedBytes = 0;
  private peakBytes = 0;
  private queuedBytes = 0;
  private queuesReadAtMs = -Infinity;
  private cutCount = 0;
  private reportedAtMs = -Infinity;

  constructor(private readonly opts: MemoryBudgetOptions = {}) {
    const {processBytes} = opts;
    this.limitBytes =
      processBytes === undefined ? DEFAULT_LIMIT_BYTES : processBytes * PROCESS_FRACTION;
  }

  /** Counts the bytes of queues that `read` returns, in addition to the holds. */
  addQueue(read: () => number): void {
    this.queues.push(read);
  }

  /** Bytes in holds, without queues. */
  get holdBytes(): number {
    return this.countedBytes;
  }

  get heldBytes(): number {
    const nowMs = performance.now();
    if (nowMs - this.queuesReadAtMs >= QUEUE_READING_MS) {
      this.queuesReadAtMs = nowMs;
      this.queuedBytes = this.queues.reduce((sum, read) => sum + read(), 0);
    }
    return this.countedBytes + this.queuedBytes;
  }

  /** Returns the maximum of the bytes in holds, without queues, since the last call. */
  takePeakBytes(): number {
    const peakBytes = this.peakBytes;
    this.peakBytes = this.countedBytes;
    return peakBytes;
  }

  /** Whether large responses should be refused, because half of the budget is used. */
  get isTight(): boolean {
    return this.heldBytes > this.limitBytes * TIGHT_FRACTION;
  }

  /** Number of open holds of readers, which are the responses being streamed or written. */
  get readerCount(): number {
    return this.readers.size;
  }

  /** Number of holds that were cut off since the start. */
  get cutOffCount(): number {
    return this.cutCount;
  }

  open(opts: MemoryHoldOptions): MemoryHold {
    const hold = new CountedHold(opts, {
      count: (bytes) => this.count(hold, bytes),
      close: () => this.readers.delete(hold),
    });
    if (opts.isReader) this.readers.add(hold);
    return hold;
  }

  private count(hold: CountedHold, bytes: number): void {
    this.countedBytes += bytes;
    if (bytes <= 0) return;
    this.peakBytes = Math.max(this.peakBytes, this.countedBytes);
    while (this.heldBytes > this.limitBytes) {
      const isOwnFault =
        !hold.opts.isReader && hold.opts.onCut !== undefined && hold.bytes > MAX_INNOCENT_BYTES;
      const victim = isOwnFault ? hold : this.slowestReader();
      if (!victim?.opts.onCut || victim.isClosed) return;
      this.cutCount += 1;
      this.reportCutOff();
      victim.cut();
    }
  }

  private reportCutOff(): void {
    const nowMs = performance.now();
    if (nowMs - this.reportedAtMs < REPORT_INTERVAL_MS) return;
    this.reportedAtMs = nowMs;
    this.opts.onCutOff?.({heldBytes: this.heldBytes, cutOffCount: this.cutCount});
  }

  private slowestReader(): CountedHold | undefined {
    let slowest: CountedHold | undefined;
    for (const reader of this.readers) {
      if (reader.bytes === 0) continue;
      if (!slowest || reader.lastRemovedAtMs < slowest.lastRemovedAtMs) slowest = reader;
    }
    return slowest;
  }
}

class CountedHold implements MemoryHold {
  bytes = 0;
  isClosed = false;
  /** Time at which the reader last took bytes; the slowest reader has the oldest. */
  lastRemovedAtMs = performance.now();

  constructor(
    readonly opts: MemoryHoldOptions,
    private readonly budget: {count(bytes: number): void; close(): void},
  ) {}

  add(bytes: number): void {
    if (this.isClosed) return;
    // A reader cannot be slow while it has nothing to read.
    if (this.bytes === 0) this.lastRemovedAtMs = performance.now();
    this.bytes += bytes;
    this.budget.count(bytes);
  }

  remove(bytes: number): void {
    if (this.isClosed) return;
    this.bytes -= bytes;
    this.lastRemovedAtMs = performance.now();
    this.budget.count(-bytes);
  }

  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.budget.count(-this.bytes);
    this.budget.close();
    this.bytes = 0;
  }

  cut(): void {
    this.close();
    this.opts.onCut?.();
  }
}
