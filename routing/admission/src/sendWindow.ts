import type {Clock} from '@medlarlane/lifecycle';

export interface SendWindowOptions {
  readonly clock: Clock;
  /** Requests that may arrive at the target in any one second; `undefined` while there is no bound. */
  readonly maxPerSecond: () => number | undefined;
}

/**
 * One second and a margin: the target counts a request when it reads it, and either process may be
 * scheduled late by up to a tenth of a second on a busy machine.
 */
export const SEND_WINDOW_MS = 1_100;
/** More requests than any target gets in a second; limits the memory. */
const MAX_KEPT_SENDS = 4_096;

/**
 * Sliding window over the requests to a target. A request occupies a place from its reservation until one
 * window after it was sent, so that delays between both cannot bunch requests. Requests are also
 * recorded while there is no bound, because they count once one begins.
 */
export class SendWindow {
  private reserved = 0;
  /** Send times, in ascending order. */
  private sentAtMs: number[] = [];

  constructor(private readonly opts: SendWindowOptions) {}

  get hasRoom(): boolean {
    return this.room > 0;
  }

  reserve(): void {
    this.reserved += 1;
  }

  /** Returns a reservation that is not going to be used. */
  cancel(): void {
    this.reserved -= 1;
  }

  /**
   * Uses a reservation. Returns the send time, or `undefined` if the request must not be sent, because a
   * bound began after the reservation. The reservation is then still held.
   */
  trySend(): number | undefined {
    const nowMs = this.opts.clock.nowMs();
    this.discardOld(nowMs);
    if (this.sentAtMs.length >= (this.opts.maxPerSecond() ?? Infinity)) return undefined;
    this.reserved -= 1;
    this.sentAtMs.push(nowMs);
    if (this.sentAtMs.length > MAX_KEPT_SENDS) this.sentAtMs.shift();
    return nowMs;
  }

  /** Removes a request that did not arrive at the target. */
  withdraw(sentAtMs: number): void {
    const index = this.sentAtMs.lastIndexOf(sentAtMs);
    if (index >= 0) this.sentAtMs.splice(index, 1);
  }

  /** Time until this number of requests can be reserved. */
  timeUntilMs(count: number): number {
    const missing = count - this.room;
    if (missing <= 0) return 0;
    const max = Math.max(1, this.opts.maxPerSecond() ?? Infinity);
    // Places become free as sent requests leave the window, and later at the rate of the bound.
    const freeing = this.sentAtMs[missing - 1];
    if (freeing !== undefined) return freeing + SEND_WINDOW_MS - this.opts.clock.nowMs();
    return (missing * SEND_WINDOW_MS) / max;
  }

  private get room(): number {
    const max = this.opts.maxPerSecond();
    if (max === undefined) return Infinity;
    this.discardOld(this.opts.clock.nowMs());
    return max - this.sentAtMs.length - this.reserved;
  }

  private discardOld(nowMs: number): void {
    while (this.sentAtMs.length > 0 && this.sentAtMs[0]! <= nowMs - SEND_WINDOW_MS) {
      this.sentAtMs.shift();
    }
  }
}
