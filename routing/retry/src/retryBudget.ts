import {systemClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';

export interface RetryBudgetOptions {
  /** Allowed retries as a fraction of the requests of the service. */
  readonly retryRatio?: number;
  /** Retries per second that are allowed regardless of traffic. */
  readonly minRetryRps?: number;
  readonly clock?: Clock;
}

const BUCKET_MS = 1_000;
const BUCKET_COUNT = 10;

/**
 * Limits the retries of one service: in any 10 s window at most `retryRatio` of its requests plus
 * `minRetryRps` per second. The allowance of older traffic expires, so that past traffic does not
 * permit a retry storm.
 */
export class RetryBudget {
  private readonly clock: Clock;
  private readonly retryRatio: number;
  private minRetries: number;
  private readonly requests = new Float64Array(BUCKET_COUNT);
  private readonly retries = new Float64Array(BUCKET_COUNT);
  private bucket: number;

  constructor(opts: RetryBudgetOptions = {}) {
    this.clock = opts.clock ?? systemClock;
    this.retryRatio = opts.retryRatio ?? 0.1;
    this.minRetries = minRetriesPerWindow(opts.minRetryRps ?? 1);
    this.bucket = this.currentBucket();
  }

  /** Changes `minRetryRps`. Retries that were already consumed still count. */
  setMinRetryRps(minRetryRps: number): void {
    this.minRetries = minRetriesPerWindow(minRetryRps);
  }

  /** Number of retries that are currently allowed. */
  get available(): number {
    this.expireBuckets();
    return Math.floor(this.minRetries + this.retryRatio * sum(this.requests) - sum(this.retries));
  }

  /** Counts a caller's request. Retries must not be counted here. */
  recordRequest(): void {
    this.expireBuckets();
    this.requests[this.bucket % BUCKET_COUNT]! += 1;
  }

  /** Consumes one retry from the budget; returns `false` if the budget is exhausted. */
  tryConsume(): boolean {
    if (this.available < 1) return false;
    this.retries[this.bucket % BUCKET_COUNT]! += 1;
    return true;
  }

  private expireBuckets(): void {
    const current = this.currentBucket();
    const elapsedBuckets = Math.min(BUCKET_COUNT, current - this.bucket);
    for (let step = 1; step <= elapsedBuckets; step += 1) {
      this.requests[(this.bucket + step) % BUCKET_COUNT] = 0;
      this.retries[(this.bucket + step) % BUCKET_COUNT] = 0;
    }
    this.bucket = Math.max(this.bucket, current);
  }

  private currentBucket(): number {
    return Math.floor(this.clock.nowMs() / BUCKET_MS);
  }
}

/** Number of retries per window that are allowed regardless of traffic. */
function minRetriesPerWindow(minRetryRps: number): number {
  return (minRetryRps * BUCKET_COUNT * BUCKET_MS) / 1_000;
}

function sum(counts: Float64Array): number {
  let total = 0;
  for (const count of counts) total += count;
  return total;
}
