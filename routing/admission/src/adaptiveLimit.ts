import {systemClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';

/**
 * Outcome of an admitted request: for `ok` and `failed` the target responded, for `timeout` it did not
 * respond in time, for `shed` it rejected the request for lack of capacity. `cancelled` was cancelled
 * by the caller, `unsent` was never sent to the target.
 */
export type AdmissionOutcome = 'ok' | 'failed' | 'timeout' | 'shed' | 'cancelled' | 'unsent';

export interface Completion {
  /** Time from acquiring the permit to the end of the response. */
  readonly durationMs: number;
  readonly outcome: AdmissionOutcome;
}

export interface AdaptiveLimitOptions {
  /** Number of requests the target runs concurrently; initial value of the limit. */
  readonly slots: number;
  /** Maximum number of connections to the target; upper bound of the limit. */
  readonly maxConnections: number;
  /** Slow-start time during which the limit of a new target grows to its slots. 0 disables slow start. */
  readonly coldStartMs?: number;
  /** Minimum limit. Defaults to a quarter of the slots, so that a recovery is detected on real traffic. */
  readonly minLimit?: number;
  readonly clock?: Clock;
}

const WINDOW_MS = 250;
const MIN_WINDOW_SAMPLES = 20;
// Three failures close a window early, because a target that only times out completes few requests.
const MIN_WINDOW_FAILURES = 3;
const FAILURE_RATIO = 0.1;
const FAILURE_DECREASE = 0.7;
const LATENCY_DECREASE = 0.9;
// Above its slots a target can only queue requests, so less latency growth is tolerated there.
const LATENCY_GROWTH_WITHIN_SLOTS = 2;
const LATENCY_GROWTH_ABOVE_SLOTS = 1.25;
// For requests of about a millisecond, smaller differences are scheduling noise.
const LATENCY_TOLERANCE_MS = 2;
const COLD_START_FRACTION = 0.1;
const BASELINE_DECREASE_WEIGHT = 0.25;
// A slow increase adapts to a changed request mix without treating overload as normal.
const BASELINE_INCREASE_WEIGHT_LOADED = 0.005;
const BASELINE_INCREASE_WEIGHT_IDLE = 0.1;

type Signal = 'latency' | 'trouble' | 'ignored';

const SIGNAL_BY_OUTCOME: Readonly<Record<AdmissionOutcome, Signal>> = {
  ok: 'latency',
  failed: 'trouble',
  timeout: 'trouble',
  shed: 'trouble',
  cancelled: 'ignored',
  unsent: 'ignored',
};

/**
 * Adaptive concurrency limit of one target (AIMD), starting from its slots: additive increase while the
 * limit is fully used and latency is stable, multiplicative decrease on failures or growing latency.
 */
export class AdaptiveLimit {
  readonly slots: number;
  readonly maxConnections: number;
  readonly minLimit: number;
  private readonly clock: Clock;
  private readonly coldStartMs: number;
  private currentLimit: number;
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
    this.currentLimit = this.slots;
    this.startedMs = this.clock.nowMs();
    this.windowStartMs = this.startedMs;
  }

  /** Number of requests that may currently be in flight: an integer from 1 to `maxConnections`. */
  get limit(): number {
    const {coldStartMs, slots} = this;
    const elapsedMs = this.clock.nowMs() - this.startedMs;
    if (elapsedMs >= coldStartMs) return Math.floor(this.currentLimit);
    const fraction = COLD_START_FRACTION + (1 - COLD_START_FRACTION) * (elapsedMs / coldStartMs);
    return Math.max(1, Math.min(Math.floor(this.currentLimit), Math.floor(slots * fraction)));
  }

  /** Whether the limit is still growing because of the cold start. */
  get isRampingUp(): boolean {
    return this.clock.nowMs() - this.startedMs < this.coldStartMs;
  }

  /** Smoothed duration of successful requests without overload; `undefined` before the first window. */
  get baselineLatencyMs(): number | undefined {
    return this.baselineMs;
  }

  /** Restarts the cold start, for a target that was restarted in place. */
  restartColdStart(): void {
    this.startedMs = this.clock.nowMs();
    this.currentLimit = this.slots;
    this.baselineMs = undefined;
    this.resetWindow();
  }

  /** Records the completion of a request. `inFlight` includes this request. */
  record(completion: Completion, inFlight: number): void {
    const signal = SIGNAL_BY_OUTCOME[completion.outcome];
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
    if (this.failures / this.samples >= FAILURE_RATIO && this.failures >= MIN_WINDOW_FAILURES) {
      this.setLimit(this.currentLimit * FAILURE_DECREASE);
    } else if (meanMs !== undefined && this.hasLatencyGrown(meanMs)) {
      this.setLimit(this.currentLimit * LATENCY_DECREASE);
    } else if (
      this.currentLimit < this.slots ||
      this.peakInFlight >= Math.floor(this.currentLimit)
    ) {
      this.setLimit(this.currentLimit + 1);
    }
    if (meanMs !== undefined) this.updateBaseline(meanMs);
    this.resetWindow();
  }

  private hasLatencyGrown(meanMs: number): boolean {
    if (this.baselineMs === undefined) return false;
    // Latency growth without load does not justify a lower limit.
    if (this.peakInFlight < Math.floor(this.currentLimit) / 2) return false;
    const maxGrowth =
      this.currentLimit > this.slots ? LATENCY_GROWTH_ABOVE_SLOTS : LATENCY_GROWTH_WITHIN_SLOTS;
    return meanMs > this.baselineMs * maxGrowth + LATENCY_TOLERANCE_MS;
  }

  private updateBaseline(meanMs: number): void {
    if (this.baselineMs === undefined) {
      this.baselineMs = meanMs;
      return;
    }
    const increaseWeight =
      this.peakInFlight <= this.slots / 2
        ? BASELINE_INCREASE_WEIGHT_IDLE
        : BASELINE_INCREASE_WEIGHT_LOADED;
    const weight = meanMs < this.baselineMs ? BASELINE_DECREASE_WEIGHT : increaseWeight;
    this.baselineMs += (meanMs - this.baselineMs) * weight;
  }

  private setLimit(limit: number): void {
    this.currentLimit = Math.min(this.maxConnections, Math.max(this.minLimit, limit));
  }

  private resetWindow(): void {
    this.windowStartMs = this.clock.nowMs();
    this.samples = 0;
    this.failures = 0;
    this.totalMs = 0;
    this.peakInFlight = 0;
  }
}
