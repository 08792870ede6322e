import type {Clock} from '@medlarlane/lifecycle';

interface Removal {
  readonly announcedAtMs: number;
  /** Time of the announcement in Unix milliseconds, to be compared with the start of an incarnation. */
  readonly announcedAtWallMs: number;
}

/** One target at a time runs beside a daemon, so removals of others are outdated soon. */
const MAX_REMOVALS = 8;

/**
 * Targets that announced their removal. An announcement may arrive before the daemon knows which incarnation
 * of the target sent it: after a restart of the daemon, or when the first heartbeat is late.
 */
export class AnnouncedRemovals {
  private readonly removals = new Map<string, Removal>();

  constructor(private readonly clock: Clock) {}

  /** Records a removal; only the first announcement of a target counts. */
  record(targetId: string): void {
    if (this.removals.has(targetId)) return;
    this.removals.set(targetId, {
      announcedAtMs: this.clock.nowMs(),
      announcedAtWallMs: this.clock.wallMs(),
    });
    if (this.removals.size <= MAX_REMOVALS) return;
    const [oldest] = this.removals.keys();
    if (oldest !== undefined) this.removals.delete(oldest);
  }

  /**
   * Returns the time since the incarnation announced its removal, in milliseconds; `undefined` if it has not.
   * An incarnation that started after the announcement did not send it.
   */
  sinceAnnouncementMs({
    targetId,
    startedAtMs,
  }: {
    targetId: string;
    /** Unix milliseconds. */
    startedAtMs: number;
  }): number | undefined {
    const removal = this.removals.get(targetId);
    if (!removal || startedAtMs > removal.announcedAtWallMs) return undefined;
    return this.clock.nowMs() - removal.announcedAtMs;
  }

  /** Forgets the removal of a target whose process has exited. */
  forget(targetId: string): void {
    this.removals.delete(targetId);
  }
}
