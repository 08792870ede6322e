import {rangeIndexAt} from '@medlarlane/key-space';
import type {Range} from '@medlarlane/model';
import type {HotKey} from './placementInput.js';

/** Loads that changed since the previous report of the same session. A key with rate 0 is removed. */
export interface LoadReport {
  readonly rangeLoads: ReadonlyArray<{readonly startPosition: number; readonly rateRps: number}>;
  readonly keyLoads: ReadonlyArray<{readonly position: number; readonly rateRps: number}>;
}

export interface LoadAggregatorOptions {
  /** Maximum number of range loads kept per session; further ones are ignored. */
  readonly maxRangesPerSession?: number;
  /** Maximum number of key loads kept per session; the least loaded keys are evicted. */
  readonly maxKeysPerSession?: number;
  /** Maximum number of hot keys returned per service. */
  readonly maxHotKeys?: number;
  /** Time without a report after which the loads of a session start to decay, and then their half-life. */
  readonly halfLifeMs?: number;
}

interface SessionLoads {
  readonly rangeRps: Map<number, number>;
  readonly keyRps: Map<number, number>;
  reportedAtMs: number;
}

/** Store of the load reports on the leader. Its memory is bounded by the number of live sessions. */
export class LoadAggregator {
  private readonly sessions = new Map<number, SessionLoads>();
  private readonly maxRangesPerSession: number;
  private readonly maxKeysPerSession: number;
  private readonly maxHotKeys: number;
  private readonly halfLifeMs: number;

  constructor(opts: LoadAggregatorOptions = {}) {
    this.maxRangesPerSession = opts.maxRangesPerSession ?? 4096;
    this.maxKeysPerSession = opts.maxKeysPerSession ?? 256;
    this.maxHotKeys = opts.maxHotKeys ?? 1024;
    this.halfLifeMs = opts.halfLifeMs ?? 10_000;
  }

  /** Merges one report. An empty report confirms that the loads are unchanged. */
  mergeReport(sessionId: number, report: LoadReport, nowMs: number): void {
    const loads = this.sessions.get(sessionId) ?? {
      rangeRps: new Map<number, number>(),
      keyRps: new Map<number, number>(),
      reportedAtMs: nowMs,
    };
    this.sessions.set(sessionId, loads);
    loads.reportedAtMs = nowMs;
    for (const {startPosition, rateRps} of report.rangeLoads) {
      if (!isValidRate(rateRps)) continue;
      if (!loads.rangeRps.has(startPosition) && loads.rangeRps.size >= this.maxRangesPerSession) {
        continue;
      }
      loads.rangeRps.set(startPosition, rateRps);
    }
    for (const {position, rateRps} of report.keyLoads) {
      if (!isValidRate(rateRps)) continue;
      if (rateRps === 0) loads.keyRps.delete(position);
      else loads.keyRps.set(position, rateRps);
    }
    evictLeastLoaded(loads.keyRps, this.maxKeysPerSession);
  }

  /** Discards the loads of a session that has ended. */
  removeSession(sessionId: number): void {
    this.sessions.delete(sessionId);
  }

  get sessionCount(): number {
    return this.sessions.size;
  }

  /**
   * Load by start position of the ranges that their owner has reported, and the hottest keys of
   * these ranges. Reports of sessions that no longer own a range are ignored; the entries of
   * ranges that a session no longer owns are removed.
   */
  loadsOf(
    ranges: readonly Range[],
    nowMs: number,
  ): {rangeLoads: Map<number, number>; hotKeys: HotKey[]} {
    const rangeLoads = new Map<number, number>();
    const hotKeys: HotKey[] = [];
    const ownedStarts = new Map<number, Set<number>>();
    for (const {startPosition, ownerSessionId} of ranges) {
      const loads = this.sessions.get(ownerSessionId);
      if (!loads) continue;
      let startPositions = ownedStarts.get(ownerSessionId);
      if (!startPositions) ownedStarts.set(ownerSessionId, (startPositions = new Set()));
      startPositions.add(startPosition);
      const rateRps = loads.rangeRps.get(startPosition);
      if (rateRps !== undefined) rangeLoads.set(startPosition, rateRps * this.decay(loads, nowMs));
    }
    for (const [sessionId, startPositions] of ownedStarts) {
      const loads = this.sessions.get(sessionId)!;
      for (const start of loads.rangeRps.keys()) {
        if (!startPositions.has(start)) loads.rangeRps.delete(start);
      }
      const decay = this.decay(loads, nowMs);
      for (const [position, rateRps] of loads.keyRps) {
        if (ranges[rangeIndexAt(ranges, position)]?.ownerSessionId === sessionId) {
          hotKeys.push({position, rateRps: rateRps * decay});
        } else {
          loads.keyRps.delete(position);
        }
      }
    }
    hotKeys.sort((a, b) => b.rateRps - a.rateRps || a.position - b.position);
    return {rangeLoads, hotKeys: hotKeys.slice(0, this.maxHotKeys)};
  }

  private decay(loads: SessionLoads, nowMs: number): number {
    const sinceReportMs = nowMs - loads.reportedAtMs;
    if (sinceReportMs <= this.halfLifeMs) return 1;
    return 0.5 ** (sinceReportMs / this.halfLifeMs - 1);
  }
}

function evictLeastLoaded(rates: Map<number, number>, limit: number): void {
  if (rates.size <= limit) return;
  const coldestFirst = [...rates].sort((a, b) => a[1] - b[1] || a[0] - b[0]);
  for (const [position] of coldestFirst.slice(0, rates.size - limit)) rates.delete(position);
}

function isValidRate(rateRps: number): boolean {
  return Number.isFinite(rateRps) && rateRps >= 0;
}
