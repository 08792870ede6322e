import type {Clock} from '@medlarlane/lifecycle';

export type ProbeResult =
  | {readonly kind: 'answered'; readonly durationMs: number}
  /** The target responded with a status that does not indicate success. */
  | {readonly kind: 'unhealthy'; readonly durationMs: number}
  | {readonly kind: 'refused'}
  | {readonly kind: 'timeout'};

// The baseline duration of a probe is learned, because 6 ms is normal at one site and 1 ms at another.
const SMOOTHING = 0.1;
const SLOW_FACTOR = 5;
const MIN_SLOW_MS = 25;
const CONSECUTIVE_SLOW_THRESHOLD = 3;

/** Counts consecutive probe results of one target. */
export class ProbeHistory {
  consecutiveRefused = 0;
  /** Number of consecutive probes that timed out or reported the target as unhealthy. */
  consecutiveTimeouts = 0;
  /** Monotonic time of the first of these probes. */
  firstTimeoutMs = 0;
  private consecutiveSlow = 0;
  private baselineMs: number | undefined;

  constructor(private readonly clock: Clock) {}

  get isSlow(): boolean {
    return this.consecutiveSlow >= CONSECUTIVE_SLOW_THRESHOLD;
  }

  record(result: ProbeResult): void {
    RECORD_BY_KIND[result.kind](this, result);
  }

  recordRefused(): void {
    this.consecutiveRefused += 1;
    this.consecutiveTimeouts = 0;
  }

  recordTimeout(): void {
    if (this.consecutiveTimeouts === 0) this.firstTimeoutMs = this.clock.nowMs();
    this.consecutiveTimeouts += 1;
    this.consecutiveRefused = 0;
  }

  recordResponse(durationMs: number): void {
    this.consecutiveRefused = 0;
    this.consecutiveTimeouts = 0;
    const baselineMs = this.baselineMs ?? durationMs;
    const isSlow = durationMs > Math.max(MIN_SLOW_MS, baselineMs * SLOW_FACTOR);
    this.consecutiveSlow = isSlow ? this.consecutiveSlow + 1 : 0;
    // Slow probes do not change the baseline; otherwise a target that slows down would be detected too late.
    this.baselineMs = isSlow ? baselineMs : baselineMs + (durationMs - baselineMs) * SMOOTHING;
  }
}

const RECORD_BY_KIND: Readonly<
  Record<ProbeResult['kind'], (history: ProbeHistory, result: ProbeResult) => void>
> = {
  answered: (history, result) => {
    if (result.kind === 'answered') history.recordResponse(result.durationMs);
  },
  unhealthy: (history) => history.recordTimeout(),
  refused: (history) => history.recordRefused(),
  timeout: (history) => history.recordTimeout(),
};
