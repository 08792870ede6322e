import type {Clock} from '@medlarlane/lifecycle';
import {TopKeys} from './topKeys.js';

/** Request rates that changed since the previous report. A rate of 0 removes the entry. */
export interface LoadReport {
  readonly rangeLoads: ReadonlyArray<{readonly startPosition: number; readonly rateRps: number}>;
  readonly keyLoads: ReadonlyArray<{readonly position: number; readonly rateRps: number}>;
}

export interface LoadMeterOptions {
  readonly clock: Clock;
  /** Minimum time between two reports. */
  readonly reportIntervalMs?: number;
}

const DEFAULT_REPORT_INTERVAL_MS = 2000;
const SMOOTHING = 0.5;
// Smaller changes do not affect placement, which only reacts to loads 10% above the mean.
const MIN_REPORTED_CHANGE = 0.1;
const MIN_RATE_RPS = 0.2;
const TRACKED_KEYS = 64;
const REPORTED_KEYS = 16;
// Keys below this fraction of the server's load do not need to be placed individually.
const HOT_KEY_RATIO = 0.02;

/** Counts requests by range and by key, and reports the rates that changed. */
export class LoadMeter {
  private readonly counts = new Map<number, number>();
  private readonly rates = new Map<number, number>();
  private readonly reportedRates = new Map<number, number>();
  private readonly reportedKeys = new Map<number, number>();
  private topKeys = new TopKeys(TRACKED_KEYS);
  private requestCount = 0;
  /** Start positions of the ranges that had requests in the previous window. */
  private previousWindowStarts = new Set<number>();
  private lastReportMs: number;

  constructor(private readonly opts: LoadMeterOptions) {
    this.lastReportMs = opts.clock.nowMs();
  }

  /** Counts a request for `position` in the range that starts at `startPosition`. */
  record(startPosition: number, position: number): void {
    this.counts.set(startPosition, (this.counts.get(startPosition) ?? 0) + 1);
    this.topKeys.add(position);
    this.requestCount += 1;
  }

  /** Clears the reported rates, because a new leader has not received any of them. */
  resetReported(): void {
    this.reportedRates.clear();
    this.reportedKeys.clear();
  }

  /** Returns the changes since the previous report; empty if the report interval has not elapsed. */
  takeReport(): LoadReport {
    const elapsedMs = this.opts.clock.nowMs() - this.lastReportMs;
    if (elapsedMs < (this.opts.reportIntervalMs ?? DEFAULT_REPORT_INTERVAL_MS)) {
      return {rangeLoads: [], keyLoads: []};
    }
    this.lastReportMs += elapsedMs;
    const rangeLoads = this.rangeChanges(elapsedMs);
    const keyLoads = this.keyChanges(elapsedMs);
    this.counts.clear();
    this.topKeys = new TopKeys(TRACKED_KEYS);
    this.requestCount = 0;
    return {rangeLoads, keyLoads};
  }

  private rangeChanges(elapsedMs: number): LoadReport['rangeLoads'] {
    const startPositions = new Set([...this.rates.keys(), ...this.previousWindowStarts]);
    // The first window of a range is incomplete, and its low rate would make the range look idle.
    this.previousWindowStarts = new Set(this.counts.keys());
    return [...startPositions].flatMap((startPosition) => {
      const measuredRps = ((this.counts.get(startPosition) ?? 0) * 1000) / elapsedMs;
      const previousRps = this.rates.get(startPosition) ?? measuredRps;
      const smoothedRps = previousRps + (measuredRps - previousRps) * SMOOTHING;
      const rateRps = smoothedRps < MIN_RATE_RPS ? 0 : smoothedRps;
      if (rateRps === 0) this.rates.delete(startPosition);
      else this.rates.set(startPosition, rateRps);
      return this.updateReported(this.reportedRates, startPosition, rateRps)
        ? [{startPosition, rateRps}]
        : [];
    });
  }

  private keyChanges(elapsedMs: number): LoadReport['keyLoads'] {
    const hotKeys = new Map(
      this.topKeys
        .largest(REPORTED_KEYS)
        .filter(({count}) => count >= this.requestCount * HOT_KEY_RATIO)
        .map(({position, count}) => [position, (count * 1000) / elapsedMs]),
    );
    const positions = new Set([...this.reportedKeys.keys(), ...hotKeys.keys()]);
    return [...positions].flatMap((position) => {
      const rateRps = hotKeys.get(position) ?? 0;
      return this.updateReported(this.reportedKeys, position, rateRps) ? [{position, rateRps}] : [];
    });
  }

  private updateReported(
    reported: Map<number, number>,
    position: number,
    rateRps: number,
  ): boolean {
    const reportedRps = reported.get(position) ?? 0;
    if (Math.abs(rateRps - reportedRps) <= reportedRps * MIN_REPORTED_CHANGE) return false;
    if (rateRps === 0) reported.delete(position);
    else reported.set(position, rateRps);
    return true;
  }
}
