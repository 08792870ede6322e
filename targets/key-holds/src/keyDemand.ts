import {KeyLoad} from './keyLoad.js';
import type {KeyLoadOptions} from './keyLoad.js';
import type {KeyRange} from './keyRange.js';

/** Long enough for a stable rate of a target that serves a few dozen requests per second. */
const USUAL_DECAY_MS = 1_500;
/** Short enough to show most of a jump in demand by the next heartbeat of the target. */
const RECENT_DECAY_MS = 350;
/** A jump below this many standard deviations is noise. With 4, a fleet of 53 has a false one per minute. */
const SURGE_DEVIATIONS = 4;
const MIN_SURGE_RPS = 15;
/** Bounds the cost of the check and the number of reports that surges cause. */
const SURGE_CHECK_INTERVAL_MS = 50;
const SURGE_REPORT_INTERVAL_MS = 200;

/** Demand for the keys of a target: the usual one, and the recent one while demand has just jumped. */
export class KeyDemand {
  private readonly usual: KeyLoad;
  private readonly recent: KeyLoad;
  private readonly startedAtMs: number;
  private checkedAtMs = -Infinity;
  private reportedAtMs = -Infinity;

  constructor(private readonly opts: Omit<KeyLoadOptions, 'decayTimeMs'>) {
    this.usual = new KeyLoad({...opts, decayTimeMs: USUAL_DECAY_MS});
    this.recent = new KeyLoad({...opts, decayTimeMs: RECENT_DECAY_MS});
    this.startedAtMs = opts.clock.nowMs();
  }

  recordRequest(key: number): void {
    this.usual.recordRequest(key);
    this.recent.recordRequest(key);
  }

  /** Returns the requests per second for the keys of the ranges. */
  rateOf(ranges: readonly KeyRange[]): number {
    return this.isSurge(ranges) ? this.recent.rateOf(ranges) : this.usual.rateOf(ranges);
  }

  /** Selects a key range for each fraction of the total load; see `KeyLoad.selectRanges`. */
  selectRanges(
    ranges: readonly KeyRange[],
    fractions: readonly number[],
  ): Array<KeyRange | undefined> {
    const load = this.isSurge(ranges) ? this.recent : this.usual;
    return load.selectRanges(ranges, fractions);
  }

  /** Whether a surge is to be reported; at most once in `SURGE_REPORT_INTERVAL_MS`. */
  isNewSurge(ranges: readonly KeyRange[]): boolean {
    const nowMs = this.opts.clock.nowMs();
    if (nowMs - this.checkedAtMs < SURGE_CHECK_INTERVAL_MS) return false;
    this.checkedAtMs = nowMs;
    if (nowMs - this.reportedAtMs < SURGE_REPORT_INTERVAL_MS || !this.isSurge(ranges)) return false;
    this.reportedAtMs = nowMs;
    return true;
  }

  private isSurge(ranges: readonly KeyRange[]): boolean {
    const usualRps = this.usual.rateOf(ranges) / this.usualCoverage();
    // Variance of an exponentially decaying rate of Poisson arrivals.
    const deviationRps = Math.sqrt((usualRps * 1_000) / (2 * RECENT_DECAY_MS));
    const surgeRps = this.recent.rateOf(ranges) - usualRps;
    return surgeRps > Math.max(MIN_SURGE_RPS, SURGE_DEVIATIONS * deviationRps);
  }

  /** Part of the usual rate that has been measured since the start. */
  private usualCoverage(): number {
    const ageMs = Math.max(1, this.opts.clock.nowMs() - this.startedAtMs);
    return 1 - Math.exp(-ageMs / USUAL_DECAY_MS);
  }
}
