import type {Clock} from '@medlarlane/lifecycle';

/** The figure changes many times per second; this follows changes that last for about half a second. */
const SMOOTHING_MS = 300;
/** An older figure says nothing about the current speed. */
const MAX_AGE_MS = 1_000;

/** Smoothed factor by which work at a target currently takes longer than usual. */
export class SlowdownEstimate {
  private smoothed = 1;
  private updatedAtMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Current factor, 1 for the usual speed; `undefined` when the target has not stated it recently. */
  get current(): number | undefined {
    return this.clock.nowMs() - this.updatedAtMs < MAX_AGE_MS ? this.smoothed : undefined;
  }

  record(slowdown: number): void {
    const nowMs = this.clock.nowMs();
    const weight = 1 - Math.exp(-(nowMs - this.updatedAtMs) / SMOOTHING_MS);
    this.smoothed += (slowdown - this.smoothed) * weight;
    this.updatedAtMs = nowMs;
  }
}
