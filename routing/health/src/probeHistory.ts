import type {Clock} from '@medlarlane/lifecycle';

export type ProbeResult =
  | {readonly kind: 'answered'; readonly durationMs: number}
  /** Answered with a status that is not a success. */
  | {readonly kind: 'unhealthy'; readonly durationMs: number}
  | {readonly kind: 'refused'}
  | {readonly kind: 'timeout'};

// The usual duration of a probe is learned, because 6 ms is normal at one site and 1 ms at another.
const SMOOTHING = 0.1;
const SLOW_GROWTH = 5;
const SLOW_FLOOR_MS = 25;
const SLOW_IN_A_ROW = 3;

/** Consecutive probe results of one target. */
export class ProbeHistory {
  refusedInARow = 0;
  /** Probes without an answer, or answered as unhealthy, in a row. */
  timeoutsInARow = 0;
  /** Monotonic time of the first of them. */
  firstTimeoutMs = 0;
  private slowInARow = 0;
  private usualMs: number | undefined;

  constructor(private readonly clock: Clock) {}

  get slowed(): boolean {
    return this.slowInARow >= SLOW_IN_A_ROW;
  }

  record(result: ProbeResult): void {
    RECORD_BY_KIND[result.kind](this, result);
  }

  recordRefused(): void {
    this.refusedInARow += 1;
    this.timeoutsInARow = 0;
  }

  recordTimeout(): void {
    if (this.timeoutsInARow === 0) this.firstTimeoutMs = this.clock.nowMs();
    this.timeoutsInARow += 1;
    this.refusedInARow = 0;
  }

  recordAnswer(durationMs: number): void {
    this.refusedInARow = 0;
    this.timeoutsInARow = 0;
    const usualMs = this.usualMs ?? durationMs;
    const slow = durationMs > Math.max(SLOW_FLOOR_MS, usualMs * SLOW_GROWTH);
    this.slowInARow = slow ? this.slowInARow + 1 : 0;
    // Slow probes do not become the usual duration, or a target that slows down would be found too late.
    this.usualMs = slow ? usualMs : usualMs + (durationMs - usualMs) * SMOOTHING;
  }
}

const RECORD_BY_KIND: Readonly<
  Record<ProbeResult['kind'], (history: ProbeHistory, result: ProbeResult) => void>
> = {
  answered: (history, result) => {
    if (result.kind === 'answered') history.recordAnswer(result.durationMs);
  },
  unhealthy: (history) => history.recordTimeout(),
  refused: (history) => history.recordRefused(),
  timeout: (history) => history.recordTimeout(),
};
