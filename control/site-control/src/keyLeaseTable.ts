import type {Clock} from '@medlarlane/lifecycle';

/**
 * Time for which a daemon may let its target hold keys after a report. Long enough for an election
 * and the restart of the control processes, short enough for the takeover after a lost instance.
 */
export const KEY_LEASE_MS = 4_500;
/** Covers clock rates that differ by 2% and for the last renewals of a leader that lost its quorum. */
const TAKEOVER_MARGIN_MS = 600;

/** Key leases of targets. The keys of a target may be reassigned only after its lease expired or it ended. */
export class KeyLeaseTable {
  private readonly renewedAtMs = new Map<string, number>();
  private readonly ended = new Set<string>();
  private readonly termStartedAtMs: number;

  /** Create a table per term: every lease counts as renewed at its start, since the previous leader may have renewed it. */
  constructor(private readonly clock: Clock) {
    this.termStartedAtMs = clock.nowMs();
  }

  /** Renews a lease. Must be called just before the response that renews it is sent. */
  renew(incarnation: string): void {
    this.renewedAtMs.set(incarnation, this.clock.nowMs());
  }

  /** Marks a target that has certainly stopped or holds no keys. */
  markEnded(incarnation: string): void {
    this.ended.add(incarnation);
  }

  /** Withdraws the mark when the target reports that it may hold keys again. */
  clearEnded(incarnation: string): void {
    this.ended.delete(incarnation);
  }

  hasEnded(incarnation: string): boolean {
    return this.ended.has(incarnation);
  }

  /** Whether the keys of an owner may be reassigned. Always true for an empty owner. */
  isLeaseExpired(incarnation: string): boolean {
    if (incarnation === '' || this.ended.has(incarnation)) return true;
    const sinceMs = Math.max(this.termStartedAtMs, this.renewedAtMs.get(incarnation) ?? -Infinity);
    return this.clock.nowMs() - sinceMs > KEY_LEASE_MS + TAKEOVER_MARGIN_MS;
  }
}
