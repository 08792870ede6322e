import type {Clock} from '@medlarlane/lifecycle';

/** The lease of this daemon. Its TTL counts from the time at which the renewal was sent. */
export class Lease {
  private currentSessionId = 0;
  private validUntilMs = -Infinity;

  private readonly listeners = new Set<() => void>();

  constructor(private readonly clock: Clock) {}

  /** Id of the registered session, or 0. Its lease may have expired. */
  get sessionId(): number {
    return this.currentSessionId;
  }

  get remainingMs(): number {
    return Math.max(0, this.validUntilMs - this.clock.nowMs());
  }

  /** Reads the clock on every call, so that a process that was suspended does not use an expired lease. */
  isValid(): boolean {
    return this.currentSessionId !== 0 && this.clock.nowMs() < this.validUntilMs;
  }

  start(sessionId: number): void {
    if (sessionId === this.currentSessionId) return;
    this.setSession(sessionId);
  }

  extend(sentAtMs: number, leaseTtlMs: number): void {
    this.validUntilMs = Math.max(this.validUntilMs, sentAtMs + leaseTtlMs);
  }

  end(): void {
    if (this.currentSessionId !== 0) this.setSession(0);
  }

  /** Calls `listener` when a session starts or ends. */
  onSessionChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  private setSession(sessionId: number): void {
    this.currentSessionId = sessionId;
    this.validUntilMs = -Infinity;
    for (const listener of this.listeners) listener();
  }
}
