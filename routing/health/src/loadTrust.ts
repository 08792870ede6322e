import type {Clock} from '@medlarlane/lifecycle';

export interface LoadReport {
  /** Reported load as a share of the slots. */
  readonly load: number;
  /** Age of the measurement when the report arrived. */
  readonly ageMs: number;
}

export interface LoadEstimate {
  /** Load as a share of the slots. */
  readonly load: number;
  readonly source: 'report' | 'own-requests';
}

const MAX_AGE_MS = 3_000;
// A single contradiction can be a request that was sent after the report was measured.
const CONTRADICTIONS_IN_A_ROW = 3;
const CONFIRMATIONS_IN_A_ROW = 10;
const CONTRADICTED_SHARE = 0.5;
const MIN_OWN_IN_FLIGHT = 3;

/** Whether the load reports of one target agree with what this daemon has in flight there. */
export class LoadTrust {
  trusted = true;
  private inARow = 0;
  private last: {readonly load: number; readonly measuredMs: number} | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly slots: number,
  ) {}

  record(report: LoadReport, ownInFlight: number): void {
    this.last = {load: report.load, measuredMs: this.clock.nowMs() - report.ageMs};
    const contradicted =
      ownInFlight >= MIN_OWN_IN_FLIGHT &&
      report.load < (ownInFlight / this.slots) * CONTRADICTED_SHARE;
    this.inARow = contradicted === this.trusted ? this.inARow + 1 : 0;
    const needed = this.trusted ? CONTRADICTIONS_IN_A_ROW : CONFIRMATIONS_IN_A_ROW;
    if (this.inARow < needed) return;
    this.trusted = !this.trusted;
    this.inARow = 0;
  }

  /** The load is at least what this daemon itself has in flight. */
  estimate(ownInFlight: number): LoadEstimate {
    const own: LoadEstimate = {load: ownInFlight / this.slots, source: 'own-requests'};
    if (!this.trusted || !this.last) return own;
    if (this.clock.nowMs() - this.last.measuredMs > MAX_AGE_MS) return own;
    return this.last.load > own.load ? {load: this.last.load, source: 'report'} : own;
  }
}
