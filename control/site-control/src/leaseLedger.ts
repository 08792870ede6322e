import type {Clock} from '@medlarlane/lifecycle';

/**
 * Time for which a daemon may let its target hold keys after a report. Long enough for an election
 * and the restart of the control processes, short enough for the takeover after a lost instance.
 */
export const KEY_LEASE_MS = 4_500;
/** Covers clocks that differ in rate by 2% and the last renewals of a leader that lost its quorum. */
const TAKEOVER_MARGIN_MS = 600;

/** When the leader may give the keys of a silent target to another one. */
export class KeyLeaseTable {
  private readonly renewedAtMs = new Map<string, number>();
  private readonly ended = new Set<string>();
  private readonly startedAtMs: number;

  /** Starts with the term: an earlier leader may have renewed any lease just before. */
  constructor(private readonly clock: Clock) {
    this.startedAtMs = clock.nowMs();
  }

  /** Called when the answer that renews the lease is about to leave. */
  renew(life: string): void {
    this.renewedAtMs.set(life, this.clock.nowMs());
  }

  /** The target is certain to run no more, or to hold no keys. */
  end(life: string): void {
    this.ended.add(life);
  }

  revive(life: string): void {
    this.ended.delete(life);
  }

  hasEnded(life: string): boolean {
    return this.ended.has(life);
  }

  isLeaseExpired(life: string): boolean {
    if (life === '' || this.ended.has(life)) return true;
    const sinceMs = Math.max(this.startedAtMs, this.renewedAtMs.get(life) ?? -Infinity);
    return this.clock.nowMs() - sinceMs > KEY_LEASE_MS + TAKEOVER_MARGIN_MS;
  }
}
