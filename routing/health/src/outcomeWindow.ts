import type {Clock} from '@medlarlane/lifecycle';

/**
 * How a request ended: `failure` is a broken connection or a server error, `timeout` no answer in
 * time, `shed` a refusal for lack of room, `cancelled` the caller's own decision.
 */
export type PassiveOutcomeKind = 'success' | 'failure' | 'timeout' | 'shed' | 'cancelled';

export interface PassiveOutcome {
  readonly kind: PassiveOutcomeKind;
  readonly durationMs: number;
}

const SLOT_MS = 1_000;
const SLOTS = 10;
const MIN_SAMPLES = 10;
const SMOOTHING = 0.05;
const SLOW_GROWTH = 3;
const SLOW_FLOOR_MS = 10;
const MIN_SLOW_SAMPLES = 10;

/** What an outcome adds to the requests and to the failures of the window. */
const WEIGHTS: Readonly<
  Record<PassiveOutcomeKind, {readonly requests: number; readonly failures: number}>
> = {
  success: {requests: 1, failures: 0},
  failure: {requests: 1, failures: 1},
  timeout: {requests: 1, failures: 1},
  // A target that sheds load works as intended.
  shed: {requests: 0, failures: 0},
  cancelled: {requests: 0, failures: 0},
};

/** Outcomes of the requests to one target over the last 10 s. */
export class OutcomeWindow {
  /** Failures since the last success. */
  failuresInARow = 0;
  private lastSuccessMs = Number.NEGATIVE_INFINITY;
  private usualMs: number | undefined;
  private recentMs: number | undefined;
  private successes = 0;
  private readonly requests = new Float64Array(SLOTS);
  private readonly failures = new Float64Array(SLOTS);
  private slot: number;

  constructor(private readonly clock: Clock) {
    this.slot = this.slotNow();
  }

  /** Failures per request; `undefined` for too few requests. */
  get failureShare(): number | undefined {
    this.expireSlots();
    const requests = sum(this.requests);
    return requests < MIN_SAMPLES ? undefined : sum(this.failures) / requests;
  }

  /** Whether recent successes took much longer than usual. */
  get slowed(): boolean {
    if (this.recentMs === undefined || this.usualMs === undefined) return false;
    if (this.successes < MIN_SLOW_SAMPLES) return false;
    return this.recentMs > Math.max(SLOW_FLOOR_MS, this.usualMs * SLOW_GROWTH);
  }

  succeededSince(sinceMs: number): boolean {
    return this.lastSuccessMs >= sinceMs;
  }

  record({kind, durationMs}: PassiveOutcome): void {
    this.expireSlots();
    const weight = WEIGHTS[kind];
    this.requests[this.slot % SLOTS]! += weight.requests;
    this.failures[this.slot % SLOTS]! += weight.failures;
    if (weight.failures > 0) this.failuresInARow += 1;
    if (kind === 'success') this.recordSuccess(durationMs);
  }

  private recordSuccess(durationMs: number): void {
    this.failuresInARow = 0;
    this.lastSuccessMs = this.clock.nowMs();
    this.successes += 1;
    this.recentMs = smoothed(this.recentMs, durationMs, SMOOTHING * 4);
    // The usual duration hardly follows while the target is slow.
    this.usualMs = smoothed(this.usualMs, durationMs, this.slowed ? SMOOTHING / 50 : SMOOTHING);
  }

  private expireSlots(): void {
    const now = this.slotNow();
    const passed = Math.min(SLOTS, now - this.slot);
    for (let step = 1; step <= passed; step += 1) {
      this.requests[(this.slot + step) % SLOTS] = 0;
      this.failures[(this.slot + step) % SLOTS] = 0;
    }
    this.slot = Math.max(this.slot, now);
  }

  private slotNow(): number {
    return Math.floor(this.clock.nowMs() / SLOT_MS);
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
