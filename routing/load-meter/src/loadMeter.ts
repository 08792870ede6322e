import type {Clock} from '@medlarlane/lifecycle';
import {TopKeys} from './topKeys.js';

/** Loads that changed since the previous report. A rate of 0 means that the load has gone. */
export interface LoadReport {
  readonly rangeLoads: ReadonlyArray<{readonly startPosition: number; readonly rateRps: number}>;
  readonly keyLoads: ReadonlyArray<{readonly position: number; readonly rateRps: number}>;
}

export interface LoadMeterOptions {
  readonly clock: Clock;
  /** Time between two reports. */
  readonly reportIntervalMs?: number;
}

const DEFAULT_REPORT_INTERVAL_MS = 2000;
const SMOOTHING = 0.5;
// Smaller changes do not alter a placement, which acts from 10% above the mean.
const REPORTED_CHANGE = 0.1;
const MIN_RATE_RPS = 0.2;
const TRACKED_KEYS = 64;
const REPORTED_KEYS = 16;
// A key below this share of the server's load need not be placed on its own.
const HOT_SHARE = 0.02;

/** Counts requests by range and by key, and reports rates as differences. */
export class LoadMeter {
  private readonly counts = new Map<number, number>();
  private readonly rates = new Map<number, number>();
  private readonly reportedRates = new Map<number, number>();
  private readonly reportedKeys = new Map<number, number>();
  private keys = new TopKeys(TRACKED_KEYS);
  private total = 0;
  /** Ranges that had requests in the previous window. */
  private seenStarts = new Set<number>();
  private lastReportMs: number;

  constructor(private readonly opts: LoadMeterOptions) {
    this.lastReportMs = opts.clock.nowMs();
  }

  /** Counts a request for `position`, which lies in the range that starts at `startPosition`. */
  record(startPosition: number, position: number): void {
    this.counts.set(startPosition, (this.counts.get(startPosition) ?? 0) + 1);
    this.keys.add(position);
    this.total += 1;
  }

  /** Forgets what was reported, for a new leader that knows nothing. */
  resetReported(): void {
    this.reportedRates.clear();
    this.reportedKeys.clear();
  }

  /** The changes since the previous report; empty before the report interval has passed. */
  takeReport(): LoadReport {
    const elapsedMs = this.opts.clock.nowMs() - this.lastReportMs;
    if (elapsedMs < (this.opts.reportIntervalMs ?? DEFAULT_REPORT_INTERVAL_MS)) {
      return {rangeLoads: [], keyLoads: []};
    }
    this.lastReportMs += elapsedMs;
    const rangeLoads = this.rangeChanges(elapsedMs);
    const keyLoads = this.keyChanges(elapsedMs);
    this.counts.clear();
    this.keys = new TopKeys(TRACKED_KEYS);
    this.total = 0;
    return {rangeLoads, keyLoads};
  }

  private rangeChanges(elapsedMs: number): LoadReport['rangeLoads'] {
    const known = new Set([...this.rates.keys(), ...this.seenStarts]);
    // The first window of a range is incomplete, and its low rate would make the range look idle.
    this.seenStarts = new Set(this.counts.keys());
    return [...known].flatMap((startPosition) => {
      const measuredRps = ((this.counts.get(startPosition) ?? 0) * 1000) / elapsedMs;
      const previousRps = this.rates.get(startPosition) ?? measuredRps;
      const smoothedRps = previousRps + (measuredRps - previousRps) * SMOOTHING;
      const rateRps = smoothedRps < MIN_RATE_RPS ? 0 : smoothedRps;
      if (rateRps === 0) this.rates.delete(startPosition);
      else this.rates.set(startPosition, rateRps);
      return this.isNews(this.reportedRates, startPosition, rateRps)
        ? [{startPosition, rateRps}]
        : [];
    });
  }

  private keyChanges(elapsedMs: number): LoadReport['keyLoads'] {
    const hot = new Map(
      this.keys
        .largest(REPORTED_KEYS)
        .filter(({count}) => count >= this.total * HOT_SHARE)
        .map(({position, count}) => [position, (count * 1000) / elapsedMs]),
    );
    const positions = new Set([...this.reportedKeys.keys(), ...hot.keys()]);
    return [...positions].flatMap((position) => {
      const rateRps = hot.get(position) ?? 0;
      return this.isNews(this.reportedKeys, position, rateRps) ? [{position, rateRps}] : [];
    });
  }

  private isNews(reported: Map<number, number>, position: number, rateRps: number): boolean {
    const known = reported.get(position) ?? 0;
    if (Math.abs(rateRps - known) <= known * REPORTED_CHANGE) return false;
    if (rateRps === 0) reported.delete(position);
    else reported.set(position, rateRps);
    return true;
  }
}
