import type {Clock} from '@medlarlane/lifecycle';

export interface LoadReport {
  /** Reported load as a fraction of the slots. */
  readonly load: number;
  /** Age of the measurement when the report was received. */
  readonly ageMs: number;
}

export interface LoadEstimate {
  /** Load as a fraction of the slots. */
  readonly load: number;
  readonly source: 'report' | 'own-requests';
}

const MAX_AGE_MS = 3_000;
// A single contradiction can be caused by a request that was sent after the load was measured.
const CONTRADICTION_THRESHOLD = 3;
const CONFIRMATION_THRESHOLD = 10;
const CONTRADICTION_RATIO = 0.5;
const MIN_OWN_IN_FLIGHT = 3;

/** Tracks whether the load reports of a target agree with the requests this daemon has in flight there. */
export class LoadReportValidator {
  isTrusted = true;
  private consecutiveCount = 0;
  private lastReport: {readonly load: number; readonly measuredMs: number} | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly slots: number,
  ) {}

  record(report: LoadReport, ownInFlight: number): void {
    this.lastReport = {load: report.load, measuredMs: this.clock.nowMs() - report.ageMs};
    const isContradicted =
      ownInFlight >= MIN_OWN_IN_FLIGHT &&
      report.load < (ownInFlight / this.slots) * CONTRADICTION_RATIO;
    this.consecutiveCount = isContradicted === this.isTrusted ? this.consecutiveCount + 1 : 0;
    const threshold = this.isTrusted ? CONTRADICTION_THRESHOLD : CONFIRMATION_THRESHOLD;
    if (this.consecutiveCount < threshold) return;
    this.isTrusted = !this.isTrusted;
    this.consecutiveCount = 0;
  }

  /** Estimates the load, with the in-flight requests of this daemon as the lower bound. */
  estimate(ownInFlight: number): LoadEstimate {
    const own: LoadEstimate = {load: ownInFlight / this.slots, source: 'own-requests'};
    if (!this.isTrusted || !this.lastReport) return own;
    if (this.clock.nowMs() - this.lastReport.measuredMs > MAX_AGE_MS) return own;
    return this.lastReport.load > own.load ? {load: this.lastReport.load, source: 'report'} : own;
  }
}
