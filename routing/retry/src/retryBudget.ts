import {systemClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';

export interface RetryBudgetOptions {
  /** Retries per request of the service. */
  readonly retryRatio?: number;
  /** Retries per second that are allowed however little traffic there is. */
  readonly minRetryRps?: number;
  readonly clock?: Clock;
}

const SLOT_MS = 1_000;
const SLOTS = 10;

/**
 * Bounds the retries of one service: over any 10 s at most `share` of its requests plus `floorRps`
 * per second. Tokens of older traffic expire, so a quiet hour does not pay for a storm of retries.
 */
export class RetryBudget {
  private readonly clock: Clock;
  private readonly share: number;
  private floor: number;
  private readonly requests = new Float64Array(SLOTS);
  private readonly retries = new Float64Array(SLOTS);
  private slot: number;

  constructor(opts: RetryBudgetOptions = {}) {
    this.clock = opts.clock ?? systemClock;
    this.share = opts.retryRatio ?? 0.1;
    this.floor = floorOf(opts.minRetryRps ?? 1);
    this.slot = this.slotNow();
  }

  /** Changes `floorRps`; retries that were taken stay taken. */
  setMinRetryRps(floorRps: number): void {
    this.floor = floorOf(floorRps);
  }

  /** Retries that are allowed at this moment. */
  get available(): number {
    this.expireSlots();
    return Math.floor(this.floor + this.share * sum(this.requests) - sum(this.retries));
  }

  /** Counts a caller's request. Retries are not counted. */
  recordRequest(): void {
    this.expireSlots();
    this.requests[this.slot % SLOTS]! += 1;
  }

  /** Takes one retry out of the budget; `false` when it is used up. */
  tryConsume(): boolean {
    if (this.available < 1) return false;
    this.retries[this.slot % SLOTS]! += 1;
    return true;
  }

  private expireSlots(): void {
    const now = this.slotNow();
    const passed = Math.min(SLOTS, now - this.slot);
    for (let step = 1; step <= passed; step += 1) {
      this.requests[(this.slot + step) % SLOTS] = 0;
      this.retries[(this.slot + step) % SLOTS] = 0;
    }
    this.slot = Math.max(this.slot, now);
  }

  private slotNow(): number {
    return Math.floor(this.clock.nowMs() / SLOT_MS);
  }
}

/** Retries that are always allowed within the window. */
function floorOf(floorRps: number): number {
  return (floorRps * SLOTS * SLOT_MS) / 1_000;
}

function sum(counts: Float64Array): number {
  let total = 0;
  for (const count of counts) total += count;
  return total;
}
