import type {Clock} from '@medlarlane/lifecycle';

/**
 * Outcome of a request: `failure` is a broken connection or a server error, `timeout` a response that
 * did not arrive in time, `shed` a rejection for lack of capacity, `cancelled` a cancellation by the
 * caller.
 */
export type PassiveOutcomeKind = 'success' | 'failure' | 'timeout' | 'shed' | 'cancelled';

export interface PassiveOutcome {
  readonly kind: PassiveOutcomeKind;
  readonly durationMs: number;
}

const BUCKET_MS = 1_000;
const BUCKET_COUNT = 10;
const MIN_SAMPLES = 10;
const SMOOTHING = 0.05;
const SLOW_FACTOR = 3;
const MIN_SLOW_MS = 10;
const MIN_SLOW_SAMPLES = 10;

/** Amounts that an outcome adds to the request and failure counts of the window. */
const OUTCOME_WEIGHTS: Readonly<
  Record<PassiveOutcomeKind, {readonly requests: number; readonly failures: number}>
> = {
  success: {requests: 1, failures: 0},
  failure: {requests: 1, failures: 1},
  timeout: {requests: 1, failures: 1},
  // A target that sheds load works as intended.
  shed: {requests: 0, failures: 0},
  cancelled: {requests: 0, failures: 0},
};

/** Sliding window over the outcomes of the requests to one target in the last 10 s. */
export class OutcomeWindow {
  /** Number of consecutive failures since the last success. */
  consecutiveFailures = 0;
  private lastSuccessMs = Number.NEGATIVE_INFINITY;
  private baselineMs: number | undefined;
  private recentMs: number | undefined;
  private successes = 0;
  private readonly requests = new Float64Array(BUCKET_COUNT);
  private readonly failures = new Float64Array(BUCKET_COUNT);
  private bucket: number;

  constructor(private readonly clock: Clock) {
    this.bucket = this.currentBucket();
  }

  /** Fraction of requests that failed; `undefined` if there are too few samples. */
  get failureRatio(): number | undefined {
    this.expireBuckets();
    const requests = sum(this.requests);
    return requests < MIN_SAMPLES ? undefined : sum(this.failures) / requests;
  }

  /** Whether recent successful requests took much longer than the baseline. */
  get isSlow(): boolean {
    if (this.recentMs === undefined || this.baselineMs === undefined) return false;
    if (this.successes < MIN_SLOW_SAMPLES) return false;
    return this.recentMs > Math.max(MIN_SLOW_MS, this.baselineMs * SLOW_FACTOR);
  }

  hasSucceededSince(sinceMs: number): boolean {
    return this.lastSuccessMs >= sinceMs;
  }

  record({kind, durationMs}: PassiveOutcome): void {
    this.expireBuckets();
    const weight = OUTCOME_WEIGHTS[kind];
    this.requests[this.bucket % BUCKET_COUNT]! += weight.requests;
    this.failures[this.bucket % BUCKET_COUNT]! += weight.failures;
    if (weight.failures > 0) this.consecutiveFailures += 1;
    if (kind === 'success') this.recordSuccess(durationMs);
  }

  private recordSuccess(durationMs: number): void {
    this.consecutiveFailures = 0;
    this.lastSuccessMs = this.clock.nowMs();
    this.successes += 1;
    this.recentMs = smoothed(this.recentMs, durationMs, SMOOTHING * 4);
    // The baseline adapts very slowly while the target is slow, so that slowness does not become normal.
    this.baselineMs = smoothed(
      this.baselineMs,
      durationMs,
      this.isSlow ? SMOOTHING / 50 : SMOOTHING,
    );
  }

  private expireBuckets(): void {
    const current = this.currentBucket();
    const elapsedBuckets = Math.min(BUCKET_COUNT, current - this.bucket);
    for (let step = 1; step <= elapsedBuckets; step += 1) {
      this.requests[(this.bucket + step) % BUCKET_COUNT] = 0;
      this.failures[(this.bucket + step) % BUCKET_COUNT] = 0;
    }
    this.bucket = Math.max(this.bucket, current);
  }

  private currentBucket(): number {
    return Math.floor(this.clock.nowMs() / BUCKET_MS);
  }
}

function smoothed(previous: number | undefined, value: number, weight: number): number {
  return previous === undefined ? value : previous + (value - previous) * weight;
}

function sum(counts: Float64Array): number {
  let total = 0;
  for (const count of counts) total += count;
  return total;
}
