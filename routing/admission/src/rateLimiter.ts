import type {Clock} from '@medlarlane/lifecycle';
import type {SendWindow} from './sendWindow.js';

export interface RateLimiterOptions {
  readonly clock: Clock;
  /** Current limit in requests per second; `undefined` while there is none. */
  readonly rateLimitRps: () => number | undefined;
  /** Bounds the requests in any one second, in addition to their rate. */
  readonly sendWindow?: SendWindow | undefined;
}

const MS_PER_S = 1_000;
/** Tokens accumulate for at most this time, which bounds bursts after a pause. */
const MAX_BURST_MS = 250;
/** A lower limit counts as this rate, because only a response tells that the limit has ended. */
const MIN_RATE_RPS = 0.5;

/** Token bucket that limits the rate of requests to a target, with a sliding window if one is given. */
export class RateLimiter {
  private tokens = 0;
  private updatedAtMs: number | undefined;

  constructor(private readonly opts: RateLimiterOptions) {}

  /** Requests per second that are permitted; `Infinity` without a limit. */
  get rateRps(): number {
    const limitRps = this.opts.rateLimitRps();
    return limitRps === undefined ? Infinity : Math.max(limitRps, MIN_RATE_RPS);
  }

  /** Takes the token for one request. Returns false if the limit permits none now. */
  tryTake(): boolean {
    const {sendWindow} = this.opts;
    if (sendWindow?.hasRoom === false) return false;
    this.refill();
    if (this.updatedAtMs !== undefined) {
      if (this.tokens < 1) return false;
      this.tokens -= 1;
    }
    sendWindow?.reserve();
    return true;
  }

  /** Returns the token of a request that was not sent. */
  refund(): void {
    this.tokens += 1;
    this.refill();
  }

  /** Time until this number of tokens is available. */
  timeUntilMs(count: number): number {
    this.refill();
    const windowMs = this.opts.sendWindow?.timeUntilMs(count) ?? 0;
    if (this.updatedAtMs === undefined) return windowMs;
    return Math.max(windowMs, ((count - this.tokens) * MS_PER_S) / this.rateRps);
  }

  private refill(): void {
    const {rateRps} = this;
    if (rateRps === Infinity) {
      this.updatedAtMs = undefined;
      this.tokens = 0;
      return;
    }
    const nowMs = this.opts.clock.nowMs();
    const elapsedMs = nowMs - (this.updatedAtMs ?? nowMs);
    const capacity = Math.max(1, (rateRps * MAX_BURST_MS) / MS_PER_S);
    this.tokens = Math.min(capacity, this.tokens + (elapsedMs * rateRps) / MS_PER_S);
    this.updatedAtMs = nowMs;
  }
}
