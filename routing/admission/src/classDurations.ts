/** Weight of a new sample in the smoothed duration. */
const SMOOTHING = 0.08;

/** Usual durations of request classes at the targets of one daemon; outlives incarnations. */
export class ClassDurations {
  private readonly durationMsByClass = new Map<string, number>();
  private meanDurationMs: number | undefined;

  /** Smoothed duration over all classes; `undefined` before the first sample. */
  get meanMs(): number | undefined {
    return this.meanDurationMs;
  }

  of(requestClass: string): number | undefined {
    return this.durationMsByClass.get(requestClass);
  }

  record(requestClass: string, durationMs: number): void {
    this.durationMsByClass.set(
      requestClass,
      smooth(this.durationMsByClass.get(requestClass), durationMs),
    );
    this.meanDurationMs = smooth(this.meanDurationMs, durationMs);
  }
}

function smooth(current: number | undefined, next: number): number {
  return current === undefined ? next : current + (next - current) * SMOOTHING;
}
