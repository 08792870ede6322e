import type {Clock} from '@medlarlane/lifecycle';

export interface LeaseTableOptions {
  readonly clock: Clock;
  readonly leaseTtlMs: number;
  /** Upper bound on how much faster the leader's clock may run than a daemon's. */
  readonly maxClockDriftRatio?: number;
}

const DEFAULT_MAX_CLOCK_DRIFT_RATIO = 0.01;

/** Lease of one live session. */
export interface LeaseState {
  readonly sessionId: number;
  /** Monotonic time of the latest renewal, or of the grant. */
  renewedAtMs: number;
  /** Monotonic time after which the daemon has certainly stopped serving. */
  deadlineMs: number;
  /** Highest log index that the daemon has reported as applied. */
  appliedIndex: number;
  /** Set before the end of the session is proposed; renewals fail from then on. */
  ending: boolean;
}

/** Session leases on the leader, including those that an earlier leader may have granted or renewed. */
export class LeaseTable {
  private readonly leases = new Map<number, LeaseState>();
  private readonly leaseDurationMs: number;

  constructor(private readonly opts: LeaseTableOptions) {
    this.leaseDurationMs =
      opts.leaseTtlMs * (1 + (opts.maxClockDriftRatio ?? DEFAULT_MAX_CLOCK_DRIFT_RATIO));
  }

  /** Discards all leases and grants every session one full TTL from now. */
  reset(sessionIds: Iterable<number>): void {
    this.leases.clear();
    for (const sessionId of sessionIds) this.grant(sessionId);
  }

  /** Extends the lease of a session. Returns whether the session has a lease that is not ending. */
  renew(sessionId: number, appliedIndex: number): boolean {
    const lease = this.leases.get(sessionId);
    if (!lease || lease.ending) return false;
    lease.renewedAtMs = this.opts.clock.nowMs();
    lease.deadlineMs = lease.renewedAtMs + this.leaseDurationMs;
    lease.appliedIndex = Math.max(lease.appliedIndex, appliedIndex);
    return true;
  }

  /** Grants a lease to a session that has just been registered. */
  grant(sessionId: number): void {
    if (this.leases.has(sessionId)) return;
    const renewedAtMs = this.opts.clock.nowMs();
    this.leases.set(sessionId, {
      sessionId,
      renewedAtMs,
      deadlineMs: renewedAtMs + this.leaseDurationMs,
      appliedIndex: 0,
      ending: false,
    });
  }

  /** Makes every later renewal fail. Must be called before the end of the session is proposed. */
  markEnding(sessionId: number): void {
    const lease = this.leases.get(sessionId);
    if (lease) lease.ending = true;
  }

  remove(sessionId: number): void {
    this.leases.delete(sessionId);
  }

  /** Sessions whose lease has expired and whose end has not been proposed yet. */
  expiredSessionIds(): number[] {
    const nowMs = this.opts.clock.nowMs();
    return [...this.leases.values()]
      .filter(({ending, deadlineMs}) => !ending && deadlineMs <= nowMs)
      .map(({sessionId}) => sessionId);
  }

  find(sessionId: number): Readonly<LeaseState> | undefined {
    return this.leases.get(sessionId);
  }
}
