import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import {SlowdownEstimate} from './slowdownEstimate.js';
import type {TargetNotice} from './targetNotice.js';

/** How the daemon learned that its target drains. */
export type DrainSource = 'heartbeat' | 'removal' | 'response' | 'directory';

/** How the daemon learned whether its target is cold. */
export type ColdSource = 'heartbeat' | 'health' | 'start' | 'restored' | 'evacuation';

/** A rate limit and the time since the target first named one. */
export interface RateLimit {
  readonly rps: number;
  readonly ageMs: number;
}

/** The target stops accepting requests this long before the drain timeout. */
const DRAIN_LEAD_TIME_MS = 250;
/** A stated time may have been rounded down, and ends a little later by a clock that runs slow. */
const COLD_MARGIN_MS = 100;
const NO_NOTICE: TargetNotice = {rateLimitRps: undefined, isLeaving: false};

/** What one incarnation of a target has stated about itself: its rate limit, its drain and being cold. */
export class TargetStatements {
  private notice = NO_NOTICE;
  private noticeAtMs = -Infinity;
  private limitedSinceMs: number | undefined;
  private drainStartedAtMs: number | undefined;
  /** Infinity while the target is assumed to be cold until it states otherwise. */
  private coldUntilMs = -Infinity;
  private lastColdSource: ColdSource = 'start';
  private readonly slowdownEstimate: SlowdownEstimate;

  constructor(
    private readonly opts: {
      readonly incarnation: string;
      readonly clock: Clock;
      readonly drainMs: number;
      readonly logger: Logger;
    },
  ) {
    this.slowdownEstimate = new SlowdownEstimate(opts.clock);
  }

  /** Factor by which work currently takes longer than usual; `undefined` when not stated recently. */
  get slowdown(): number | undefined {
    return this.slowdownEstimate.current;
  }

  /** Whether a response has stated anything, also that there is no limit. */
  get hasNotice(): boolean {
    return this.noticeAtMs > -Infinity;
  }

  get isDraining(): boolean {
    return this.drainStartedAtMs !== undefined;
  }

  get isDrainTimeoutNear(): boolean {
    const {clock, drainMs} = this.opts;
    const drainingMs = clock.nowMs() - (this.drainStartedAtMs ?? Infinity);
    return drainingMs >= drainMs - DRAIN_LEAD_TIME_MS;
  }

  /** Time for which the target stays cold, Infinity until it states one, 0 if it is not cold. */
  get coldLeftMs(): number {
    return Math.max(0, this.coldUntilMs - this.opts.clock.nowMs());
  }

  get coldSource(): ColdSource {
    return this.lastColdSource;
  }

  /** Records for how long the target stays cold; the newest statement counts. */
  recordCold(source: ColdSource, coldLeftMs: number): void {
    const marginMs = coldLeftMs > 0 ? COLD_MARGIN_MS : 0;
    this.coldUntilMs = this.opts.clock.nowMs() + coldLeftMs + marginMs;
    this.lastColdSource = source;
  }

  get rateLimit(): RateLimit | undefined {
    const {limitedSinceMs} = this;
    const rps = this.notice.rateLimitRps;
    if (limitedSinceMs === undefined || rps === undefined) return undefined;
    return {rps, ageMs: Math.round(this.opts.clock.nowMs() - limitedSinceMs)};
  }

  /** Records a notice. Returns whether a drain or a limit has started or a limit has ended. */
  recordNotice({load, ...notice}: TargetNotice): boolean {
    if (load?.slowdown !== undefined) this.slowdownEstimate.record(load.slowdown);
    const {clock, logger, incarnation} = this.opts;
    const before = this.notice;
    const isFirst = !this.hasNotice;
    const nowMs = clock.nowMs();
    const beforeAgeMs = Math.round(nowMs - this.noticeAtMs);
    this.noticeAtMs = nowMs;
    const hasChanged =
      notice.rateLimitRps !== before.rateLimitRps || notice.isLeaving !== before.isLeaving;
    if (!hasChanged) return false;
    logger.info({life: incarnation, ...notice, before, beforeAgeMs}, 'Target changed its notice');
    this.notice = notice;
    const wasLimited = before.rateLimitRps !== undefined;
    const isLimited = notice.rateLimitRps !== undefined;
    if (wasLimited !== isLimited) this.limitedSinceMs = isLimited ? nowMs : undefined;
    // A restarted daemon does not know since when the target has been leaving.
    const leavingForMs = isFirst ? this.opts.drainMs : 0;
    const startsDrain = notice.isLeaving && this.beginDrain('response', leavingForMs);
    return startsDrain || wasLimited !== isLimited;
  }

  /**
   * Starts the drain, however the target announced it; an incarnation never returns to service. `agoMs` is
   * the time since the announcement. Returns whether it was not draining yet.
   */
  beginDrain(source: DrainSource, agoMs = 0): boolean {
    const {clock, logger, incarnation} = this.opts;
    if (this.isDraining) return false;
    this.drainStartedAtMs = clock.nowMs() - agoMs;
    logger.info({life: incarnation, source, agoMs}, 'Target started draining');
    return true;
  }
}
