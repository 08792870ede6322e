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
  /** Hands the idempotency records of the ranges to their next owner. */
  readonly handOverRecords: (
    destination: Session,
    ranges: readonly ReleasedRange[],
    signal: AbortSignal,
  ) => Promise<void>;
  /** The move was cancelled and this daemon keeps the range. */
  readonly onMoveCancelled: (range: ReleasedRange) => void;
  /** Tells the leader that this daemon has stopped serving the ranges; repeated until it is seen. */
  readonly reportReleased: (ranges: readonly ReleasedRange[]) => void;
}

// A released range that the leader has not acted upon by then is reported again, because the message
// can be lost with its stream.
const REPEAT_INTERVAL_MS = 500;
// Most requests end within this time, so that most ranges of a move are released in one commit.
const GROUP_WAIT_MS = 50;

/** Releases the ranges that move away: stops admission, waits for running requests, hands over. */
export class RangeReleaser {
  private readonly released = new Map<string, ReleasedRange>();

  constructor(private readonly opts: RangeReleaserOptions) {}

  start(): void {
    const {tasks} = this.opts;
    tasks.run('range release', (signal) => this.watchDirectory(signal));
    tasks.run('release repeat', (signal) => this.repeat(signal));
  }

  private async watchDirectory(signal: AbortSignal): Promise<void> {
    for (;;) {
      this.forgetFinished();
      const batches = this.collectMoving();
      for (const [sessionId, ranges] of batches) {
        this.opts.tasks.run('range handover', (taskSignal) =>
          this.releaseBatch(sessionId, ranges, taskSignal),
        );
      }
      await this.opts.directory.waitForChange(signal);
    }
  }

  /** Ranges of this daemon that have a next owner and are not being released yet. */
  private collectMoving(): Map<number, ReleasedRange[]> {
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

  /** Releases what becomes idle soon together; a long request holds up its own range only. */
  private async releaseBatch(
    sessionId: number,
    ranges: readonly ReleasedRange[],
    signal: AbortSignal,
  ): Promise<void> {
    const group = linkAbort([signal], {timeoutMs: GROUP_WAIT_MS});
    const idle: ReleasedRange[] = [];
    const busy: ReleasedRange[] = [];
    await Promise.all(
      ranges.map((range) =>
        this.waitUntilIdle(range, group.signal).then(
          () => idle.push(range),
          () => busy.push(range),
        ),
      ),
    );
    group.release();
    for (const range of busy) {
      this.opts.tasks.run('range handover', async (taskSignal) => {
        await this.waitUntilIdle(range, taskSignal);
        await this.finish(sessionId, [range], taskSignal);
      });
    }
    if (idle.length > 0) await this.finish(sessionId, idle, signal);
  }

  private waitUntilIdle(
    {service, range, endPosition}: ReleasedRange,
    signal: AbortSignal,
  ): Promise<void> {
    const {ownership} = this.opts;
    return ownership.waitUntilIdle(service, range.startPosition, endPosition, signal);
  }

  /** Hands over the records of idle ranges and reports them as released. */
  private async finish(
    sessionId: number,
    ranges: readonly ReleasedRange[],
    signal: AbortSignal,
  ): Promise<void> {
    const {directory, logger} = this.opts;
    const destination = directory.session(sessionId);
    try {
      if (destination) await this.opts.handOverRecords(destination, ranges, signal);
    } catch (failure) {
      // The next owner refuses ids from before the move, as after a crash.
      logger.warn({err: failure, sessionId}, 'Handover of idempotency records failed.');
    }
    for (const released of ranges) this.released.set(keyOf(released), released);
    this.opts.reportReleased(ranges);
  }

  private async repeat(signal: AbortSignal): Promise<void> {
    for (;;) {
      await this.opts.clock.sleep(REPEAT_INTERVAL_MS, {signal});
      this.forgetFinished();
      if (this.released.size > 0) this.opts.reportReleased([...this.released.values()]);
    }
  }

  private forgetFinished(): void {
    for (const [key, released] of this.released) {
      if (this.isStillMoving(released)) continue;
      this.released.delete(key);
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

function keyOf({service, range}: ReleasedRange): string {
  return `${service} ${range.startPosition} ${range.epoch}`;
}
