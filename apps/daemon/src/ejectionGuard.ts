import type {Directory} from '@medlarlane/directory';
import type {Clock} from '@medlarlane/lifecycle';

const WINDOW_MS = 60_000;

interface Observation {
  readonly atMs: number;
  readonly sessionCount: number;
}

/**
 * Limits ejections of servers, because callers can provoke the failures that cause them: an
 * ejection is allowed only if more than half of the maximum number of servers during the last
 * minute remain.
 */
export class EjectionGuard {
  private observations: Observation[] = [];

  constructor(
    private readonly directory: Directory,
    private readonly clock: Clock,
  ) {}

  /** Records the current number of servers of the service. */
  observe(service: string): void {
    const nowMs = this.clock.nowMs();
    const sessionCount = this.directory.sessionsOf(service).length;
    if (this.observations.at(-1)?.sessionCount === sessionCount) return;
    // The last observation before the window is kept: it was still valid when the window started.
    const firstInWindow = this.observations.findIndex(({atMs}) => atMs > nowMs - WINDOW_MS);
    this.observations =
      firstInWindow > 1 ? this.observations.slice(firstInWindow - 1) : this.observations;
    this.observations.push({atMs: nowMs, sessionCount});
  }

  isAllowed(service: string): boolean {
    this.observe(service);
    const remaining = this.directory.sessionsOf(service).length - 1;
    const maxSessions = Math.max(...this.observations.map(({sessionCount}) => sessionCount));
    return remaining > maxSessions / 2;
  }
}
