import {systemClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';

/**
 * How an admitted request ended: `ok` and `failed` were answered by the target, `timeout` was not
 * answered in time, `shed` was refused by the target for lack of room, `cancelled` was given up by
 * the caller, `unsent` never reached the target.
 */
export type AdmissionOutcome = 'ok' | 'failed' | 'timeout' | 'shed' | 'cancelled' | 'unsent';

export interface Completion {
  /** Time from the permit to the end of the response. */
  readonly durationMs: number;
  readonly outcome: AdmissionOutcome;
}

export interface AdaptiveLimitOptions {
  /** Requests that the target works on at once; the limit starts here. */
  readonly slots: number;
  /** Connections to the target; the limit never exceeds it. */
  readonly maxConnections: number;
  /** Time during which the limit of a new target grows to its slots. 0 disables the ramp. */
  readonly coldStartMs?: number;
  /** Lowest limit. By default a quarter of the slots, so that recovery is measured on real traffic. */
  readonly minLimit?: number;
  readonly clock?: Clock;
}

const WINDOW_MS = 250;
const MIN_WINDOW_SAMPLES = 20;
// Three failures decide early; a target that only times out completes few requests.
const MIN_WINDOW_FAILURES = 3;
const FAILURE_SHARE = 0.1;
const FAILURE_DECREASE = 0.7;
const LATENCY_DECREASE = 0.9;
// Beyond its slots a target can only queue, so there smaller growth of latency counts.
const LATENCY_GROWTH_WITHIN_SLOTS = 2;
const LATENCY_GROWTH_ABOVE_SLOTS = 1.25;
// Differences below this are scheduling noise for requests of about a millisecond.
const LATENCY_SLACK_MS = 2;
const COLD_START_SHARE = 0.1;
const BASELINE_FALL = 0.25;
// A slow rise adapts to a changed mix of requests without taking overload for the new normal.
const BASELINE_RISE_LOADED = 0.005;
const BASELINE_RISE_IDLE = 0.1;

type Signal = 'latency' | 'trouble' | 'ignored';

const SIGNALS: Readonly<Record<AdmissionOutcome, Signal>> = {
  ok: 'latency',
  failed: 'trouble',
  timeout: 'trouble',
  shed: 'trouble',
  cancelled: 'ignored',
  unsent: 'ignored',
};

/**
 * The concurrency limit of one target, learned around its slots: additive increase while it is used
 * and latency is flat, multiplicative decrease on failures and growing latency.
 */
export class AdaptiveLimit {
  readonly slots: number;
  readonly maxConnections: number;
  readonly minLimit: number;
  private readonly clock: Clock;
  private readonly coldStartMs: number;
  private learned: number;
  private startedMs: number;
  private windowStartMs: number;
  private samples = 0;
  private failures = 0;
  private totalMs = 0;
  private peakInFlight = 0;
  private baselineMs: number | undefined;

  constructor(opts: AdaptiveLimitOptions) {
    this.clock = opts.clock ?? systemClock;
    this.maxConnections = Math.max(1, opts.maxConnections);
    this.slots = Math.min(Math.max(1, opts.slots), this.maxConnections);
    this.minLimit = Math.min(Math.max(1, opts.minLimit ?? Math.ceil(this.slots / 4)), this.slots);
    this.coldStartMs = opts.coldStartMs ?? 0;
    this.learned = this.slots;
    this.startedMs = this.clock.nowMs();
    this.windowStartMs = this.startedMs;
  }

  /** Requests that may be in flight now: a whole number from 1 to the connections. */
  get limit(): number {
    const {coldStartMs, slots} = this;
    const elapsedMs = this.clock.nowMs() - this.startedMs;
    if (elapsedMs >= coldStartMs) return Math.floor(this.learned);
    const share = COLD_START_SHARE + (1 - COLD_START_SHARE) * (elapsedMs / coldStartMs);
    return Math.max(1, Math.min(Math.floor(this.learned), Math.floor(slots * share)));
  }

  /** Whether the cold-start ramp still raises the limit with time. */
  get isRampingUp(): boolean {
    return this.clock.nowMs() - this.startedMs < this.coldStartMs;
  }

  /** Smoothed duration of successful requests without overload; `undefined` before the first window. */
  get baselineLatencyMs(): number | undefined {
    return this.baselineMs;
  }

  /** Starts the cold-start ramp again, for a target that was restarted in place. */
  restartColdStart(): void {
    this.startedMs = this.clock.nowMs();
    this.learned = this.slots;
    this.baselineMs = undefined;
    this.openWindow();
  }

  /** Takes the end of one request. `inFlight` counts it. */
  record(completion: Completion, inFlight: number): void {
    const signal = SIGNALS[completion.outcome];
    if (signal === 'ignored') return;
    this.peakInFlight = Math.max(this.peakInFlight, inFlight);
    this.samples += 1;
    if (signal === 'trouble') this.failures += 1;
    else this.totalMs += Math.max(0, completion.durationMs);
    if (this.clock.nowMs() - this.windowStartMs < WINDOW_MS) return;
    if (this.samples >= MIN_WINDOW_SAMPLES || this.failures >= MIN_WINDOW_FAILURES) {
      this.closeWindow();
    }
  }

  private closeWindow(): void {
    const successes = this.samples - this.failures;
    const meanMs = successes > 0 ? this.totalMs / successes : undefined;
    if (this.failures / this.samples >= FAILURE_SHARE && this.failures >= MIN_WINDOW_FAILURES) {
      this.set(this.learned * FAILURE_DECREASE);
    } else if (meanMs !== undefined && this.latencyGrew(meanMs)) {
      this.set(this.learned * LATENCY_DECREASE);
    } else if (this.learned < this.slots || this.peakInFlight >= Math.floor(this.learned)) {
      this.set(this.learned + 1);
    }
    if (meanMs !== undefined) this.learnBaseline(meanMs);
    this.openWindow();
  }

  private latencyGrew(meanMs: number): boolean {
    if (this.baselineMs === undefined) return false;
    // Latency that grew without load is no reason to admit less.
    if (this.peakInFlight < Math.floor(this.learned) / 2) return false;
    const growth =
      this.learned > this.slots ? LATENCY_GROWTH_ABOVE_SLOTS : LATENCY_GROWTH_WITHIN_SLOTS;
    return meanMs > this.baselineMs * growth + LATENCY_SLACK_MS;
  }

  private learnBaseline(meanMs: number): void {
    if (this.baselineMs === undefined) {
      this.baselineMs = meanMs;
      return;
    }
    const rise = this.peakInFlight <= this.slots / 2 ? BASELINE_RISE_IDLE : BASELINE_RISE_LOADED;
    const weight = meanMs < this.baselineMs ? BASELINE_FALL : rise;
    this.baselineMs += (meanMs - this.baselineMs) * weight;
  }

  private set(limit: number): void {
    this.learned = Math.min(this.maxConnections, Math.max(this.minLimit, limit));
  }

  private openWindow(): void {
    this.windowStartMs = this.clock.nowMs();
    this.samples = 0;
    this.failures = 0;
    this.totalMs = 0;
    this.peakInFlight = 0;
  }
}
