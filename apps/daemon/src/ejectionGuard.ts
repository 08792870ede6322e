import type {Directory} from '@medlarlane/directory';
import type {Clock} from '@medlarlane/lifecycle';

const WINDOW_MS = 60_000;

interface Observation {
  readonly atMs: number;
  readonly sessions: number;
}

/**
 * Keeps failures that callers can provoke from emptying a service: an ejection is allowed while more
 * than half of the servers seen during the last minute remain.
 */
export class EjectionGuard {
  private observations: Observation[] = [];

  constructor(
    private readonly directory: Directory,
    private readonly clock: Clock,
  ) {}

  /** Notes the present number of servers of the service. */
  observe(service: string): void {
    const nowMs = this.clock.nowMs();
    const sessions = this.directory.sessionsOf(service).length;
    if (this.observations.at(-1)?.sessions === sessions) return;
    // The last observation before the window still held at its start.
    const firstInside = this.observations.findIndex(({atMs}) => atMs > nowMs - WINDOW_MS);
    this.observations =
      firstInside > 1 ? this.observations.slice(firstInside - 1) : this.observations;
    this.observations.push({atMs: nowMs, sessions});
  }

  isAllowed(service: string): boolean {
    this.observe(service);
    const remaining = this.directory.sessionsOf(service).length - 1;
    const most = Math.max(...this.observations.map(({sessions}) => sessions));
    return remaining > most / 2;
  }
}
