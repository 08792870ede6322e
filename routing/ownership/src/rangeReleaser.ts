import type {Directory} from '@medlarlane/directory';
import {linkAbort} from '@medlarlane/lifecycle';
import type {BackgroundTasks, Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import type {Range, Session} from '@medlarlane/model';
import type {Lease} from './lease.js';
import type {Ownership} from './ownership.js';

/** A range that this daemon releases. */
export interface ReleasedRange {
  readonly service: string;
  readonly range: Range;
  readonly endPosition: number;
}

export interface RangeReleaserOptions {
  readonly lease: Lease;
  readonly ownership: Ownership;
  readonly directory: Directory;
  readonly tasks: BackgroundTasks;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Hands the idempotency records of the ranges over to their next owner. */
  readonly handOverRecords: (
    destination: Session,
    ranges: readonly ReleasedRange[],
    signal: AbortSignal,
  ) => Promise<void>;
  /** Called when the move was cancelled, so that this daemon keeps the range. */
  readonly onMoveCancelled: (range: ReleasedRange) => void;
  /** Reports to the leader that this daemon has stopped serving the ranges; repeated until it has effect. */
  readonly reportReleased: (ranges: readonly ReleasedRange[]) => void;
}

// Interval at which ranges that the leader has not reassigned yet are reported again, because the
// message can be lost with its stream.
const REPORT_INTERVAL_MS = 500;
// Most requests end within this time, so most ranges of a move can be released in one commit.
const BATCH_WAIT_MS = 50;

/**
 * Releases the ranges that move to another daemon: stops admission, waits for running requests, hands
 * the idempotency records over and reports the release.
 */
export class RangeReleaser {
  private readonly reportedRanges = new Map<string, ReleasedRange>();

  constructor(private readonly opts: RangeReleaserOptions) {}

  start(): void {
    const {tasks} = this.opts;
    tasks.run('range release', (signal) => this.watchDirectory(signal));
    tasks.run('release repeat', (signal) => this.repeatReports(signal));
  }

  private async watchDirectory(signal: AbortSignal): Promise<void> {
    for (;;) {
      this.removeFinished();
      const batches = this.startReleases();
      for (const [sessionId, ranges] of batches) {
        this.opts.tasks.run('range handover', (taskSignal) =>
          this.releaseBatch(sessionId, ranges, taskSignal),
        );
      }
      await this.opts.directory.waitForChange(signal);
    }
  }

  /** Starts the release of each range that has a next owner. Returns these ranges by next session. */
  private startReleases(): Map<number, ReleasedRange[]> {
    const {directory, lease, ownership} = this.opts;
    const service = directory.session(lease.sessionId)?.service;
    const table = service === undefined ? undefined : directory.ranges(service);
    const batches = new Map<number, ReleasedRange[]>();
    if (service === undefined || !table) return batches;
    table.all.forEach((range, index) => {
      if (range.ownerSessionId !== lease.sessionId || range.nextSessionId === 0) return;
      if (!ownership.startRelease(service, range)) return;
      const batch = batches.get(range.nextSessionId) ?? [];
      batch.push({service, range, endPosition: table.endOf(index)});
      batches.set(range.nextSessionId, batch);
    });
    return batches;
  }

  /**
   * Releases the ranges that become idle within a short time together. A long request delays only its own
   * range.
   */
  private async releaseBatch(
    sessionId: number,
    ranges: readonly ReleasedRange[],
    signal: AbortSignal,
  ): Promise<void> {
    const batchWait = linkAbort([signal], {timeoutMs: BATCH_WAIT_MS});
    const idle: ReleasedRange[] = [];
    const busy: ReleasedRange[] = [];
    await Promise.all(
      ranges.map((range) =>
        this.waitUntilIdle(range, batchWait.signal).then(
          () => idle.push(range),
          () => busy.push(range),
        ),
      ),
    );
    batchWait.release();
    for (const range of busy) {
      this.opts.tasks.run('range handover', async (taskSignal) => {
        await this.waitUntilIdle(range, taskSignal);
        await this.handOverAndReport(sessionId, [range], taskSignal);
      });
    }
    if (idle.length > 0) await this.handOverAndReport(sessionId, idle, signal);
  }

  private waitUntilIdle(
    {service, range, endPosition}: ReleasedRange,
    signal: AbortSignal,
  ): Promise<void> {
    const {ownership} = this.opts;
    return ownership.waitUntilIdle(service, range.startPosition, endPosition, signal);
  }

  /** Hands the records of idle ranges over and reports the ranges as released. */
  private async handOverAndReport(
    sessionId: number,
    ranges: readonly ReleasedRange[],
    signal: AbortSignal,
  ): Promise<void> {
    const {directory, logger} = this.opts;
    const destination = directory.session(sessionId);
    try {
      if (destination) await this.opts.handOverRecords(destination, ranges, signal);
    } catch (failure) {
      // The next owner then refuses ids created before the move, as after a crash.
      logger.warn({err: failure, sessionId}, 'Handover of idempotency records failed');
    }
    for (const released of ranges) this.reportedRanges.set(rangeKey(released), released);
    this.opts.reportReleased(ranges);
  }

  private async repeatReports(signal: AbortSignal): Promise<void> {
    for (;;) {
      await this.opts.clock.sleep(REPORT_INTERVAL_MS, {signal});
      this.removeFinished();
      if (this.reportedRanges.size > 0) this.opts.reportReleased([...this.reportedRanges.values()]);
    }
  }

  private removeFinished(): void {
    for (const [key, released] of this.reportedRanges) {
      if (this.isStillMoving(released)) continue;
      this.reportedRanges.delete(key);
      if (this.isStillOwned(released)) this.opts.onMoveCancelled(released);
      this.opts.ownership.endRelease(released.service, released.range);
    }
  }

  private isStillMoving(released: ReleasedRange): boolean {
    const {service, range} = released;
    const current = this.opts.directory.range(service, range.startPosition);
    return this.isStillOwned(released) && current?.nextSessionId !== 0;
  }

  private isStillOwned({service, range}: ReleasedRange): boolean {
    const {directory, lease} = this.opts;
    const current = directory.range(service, range.startPosition);
    return current?.epoch === range.epoch && current.ownerSessionId === lease.sessionId;
  }
}

function rangeKey({service, range}: ReleasedRange): string {
  return `${service} ${range.startPosition} ${range.epoch}`;
}
