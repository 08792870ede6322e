import type {Clock} from '@medlarlane/lifecycle';

export interface ReturnRequest {
  /** Requests per second for which capacity is free; 0 for none. */
  readonly freeRps: number;
  /** Time the caller still waits for a response. */
  readonly timeLeftMs: number;
  /** Time that the request needs once it is admitted. */
  readonly workMs: number;
}

const MS_PER_S = 1_000;
/** Callers honour a Retry-After only up to this fraction of the time they have left. */
const MAX_RETURN_FRACTION = 1 / 3;
/**
 * A caller returns after at least this fraction of the time it has left; an earlier return would mostly
 * meet the same overload, and could not be told from a new request.
 */
const MIN_RETURN_FRACTION = 0.12;

/** Asks refused callers of one class back one by one, no faster than capacity is free for them. */
export class ReturnSchedule {
  private nextAtMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  /**
   * Reserves the next return, in milliseconds from now. `undefined` if there is no free capacity by the
   * last time at which the caller would return and still get its response.
   */
  reserve({freeRps, timeLeftMs, workMs}: ReturnRequest): number | undefined {
    if (freeRps <= 0) return undefined;
    const nowMs = this.clock.nowMs();
    const atMs = Math.max(nowMs + timeLeftMs * MIN_RETURN_FRACTION, this.nextAtMs);
    const latestMs = Math.min(timeLeftMs * MAX_RETURN_FRACTION, timeLeftMs - workMs);
    if (atMs - nowMs > latestMs) return undefined;
    this.nextAtMs = atMs + MS_PER_S / freeRps;
    return atMs - nowMs;
  }
}
