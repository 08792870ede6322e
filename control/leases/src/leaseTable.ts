import type {Clock} from '@medlarlane/lifecycle';

export interface LeaseTableOptions {
  readonly clock: Clock;
  readonly leaseTtlMs: number;
  /** Bound on how much faster the leader's clock may run than a daemon's. */
  readonly maxClockDriftRatio?: number;
}

const DEFAULT_DRIFT_RATIO = 0.01;

/** What the leader knows about one live session. */
export interface LeaseState {
  readonly sessionId: number;
  /** Monotonic time of the latest renewal or of the grant. */
  renewedAtMs: number;
  /** Monotonic time after which the daemon has certainly stopped serving. */
  deadlineMs: number;
  /** Log index that the daemon reported as applied. */
  appliedIndex: number;
  /** Set once the end of the session may be in the log; no renewal succeeds from then on. */
  ending: boolean;
}

/** The leases that this leader has granted, and those that an earlier leader may have granted. */
export class LeaseTable {
  private readonly leases = new Map<number, LeaseState>();
  private readonly leaseSpanMs: number;

  constructor(private readonly opts: LeaseTableOptions) {
    this.leaseSpanMs = opts.leaseTtlMs * (1 + (opts.maxClockDriftRatio ?? DEFAULT_DRIFT_RATIO));
  }

  /** Forgets all leases and treats every session as leased for one full TTL from now. */
  reset(sessionIds: Iterable<number>): void {
    this.leases.clear();
    for (const sessionId of sessionIds) this.grant(sessionId);
  }

  /** Starts or extends the lease of a session. Returns whether the session may be renewed. */
  renew(sessionId: number, appliedIndex: number): boolean {
    const lease = this.leases.get(sessionId);
    if (!lease || lease.ending) return false;
    lease.renewedAtMs = this.opts.clock.nowMs();
    lease.deadlineMs = lease.renewedAtMs + this.leaseSpanMs;
    lease.appliedIndex = Math.max(lease.appliedIndex, appliedIndex);
    return true;
  }

  /** Adds a session that the state machine has just registered. */
  grant(sessionId: number): void {
    if (this.leases.has(sessionId)) return;
    const renewedAtMs = this.opts.clock.nowMs();
    this.leases.set(sessionId, {
      sessionId,
      renewedAtMs,
      deadlineMs: renewedAtMs + this.leaseSpanMs,
      appliedIndex: 0,
      ending: false,
    });
  }

  /** Refuses every later renewal. Must come before the end of the session is proposed. */
  markEnding(sessionId: number): void {
    const lease = this.leases.get(sessionId);
    if (lease) lease.ending = true;
  }

  remove(sessionId: number): void {
    this.leases.delete(sessionId);
  }

  /** Sessions whose lease has run out and whose end has not been proposed yet. */
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
