const MS_PER_S = 1_000;

/** Rate of events that weighs each event by an exponential decay of its age. */
export class DecayingRate {
  private rps = 0;
  private updatedAtMs = -Infinity;

  constructor(private readonly timeConstantMs: number) {}

  /** Events per second. */
  at(nowMs: number): number {
    return this.rps * Math.exp((this.updatedAtMs - nowMs) / this.timeConstantMs);
  }

  record(nowMs: number, count = 1): void {
    this.rps = this.at(nowMs) + (count * MS_PER_S) / this.timeConstantMs;
    this.updatedAtMs = nowMs;
  }
}
