import type {Clock} from '@medlarlane/lifecycle';

/** A stretch of keys; both ends belong to it. */
export interface KeyStretch {
  readonly fromKey: number;
  readonly toKey: number;
}

export interface KeyLoadOptions {
  readonly clock: Clock;
  /** Keys are the integers in [0, keyCount). */
  readonly keyCount: number;
}

/** Time constant of the request counts: short enough to follow a key that becomes hot in seconds. */
const MEMORY_MS = 1_500;
/** Counts are aged at this period, which bounds the work for it. */
const AGEING_MS = 250;
/** A stretch may carry this many times the wanted share, because a hot key cannot be divided. */
const MAX_OVERSHOOT = 1.6;

/** Counts the requests for each key over the last seconds. */
export class KeyLoad {
  private readonly counts: Float32Array;
  private agedAtMs: number;

  constructor(private readonly opts: KeyLoadOptions) {
    this.counts = new Float32Array(opts.keyCount);
    this.agedAtMs = opts.clock.nowMs();
  }

  /** Requests per second for the keys of the ranges. */
  rateOf(ranges: readonly KeyStretch[]): number {
    this.age();
    const counted = ranges.reduce((sum, range) => sum + this.sum(range), 0);
    return (counted * 1_000) / MEMORY_MS;
  }

  count(key: number): void {
    this.age();
    if (key < 0 || key >= this.counts.length) return;
    this.counts[key]! += 1;
  }

  /**
   * Picks a stretch at an end of one of the ranges whose requests come closest to `share` of all
   * requests for the ranges; `undefined` when only too large ones exist.
   */
  pickStretch(ranges: readonly KeyStretch[], share: number): KeyStretch | undefined {
    this.age();
    const owned = ranges.reduce((sum, range) => sum + this.sum(range), 0);
    const wanted = owned * share;
    if (wanted <= 0) return undefined;
    let best: KeyStretch | undefined;
    let bestError = Infinity;
    for (const range of ranges) {
      for (const fromLow of [true, false]) {
        const found = this.grow(range, wanted, fromLow);
        const error = found ? Math.abs(found.load - wanted) : Infinity;
        if (found && error < bestError && found.load <= wanted * MAX_OVERSHOOT) {
          [best, bestError] = [found.stretch, error];
        }
      }
    }
    return best;
  }

  /** Grows a stretch from one end of a range until it carries the wanted load; never the whole range. */
  private grow(
    {fromKey, toKey}: KeyStretch,
    wanted: number,
    fromLow: boolean,
  ): {stretch: KeyStretch; load: number} | undefined {
    let load = 0;
    let size = 0;
    const length = toKey - fromKey + 1;
    while (size < length - 1) {
      const key = fromLow ? fromKey + size : toKey - size;
      const next = load + this.counts[key]!;
      // Stops before a key that would take it further from the wanted load.
      if (next > wanted && next - wanted > wanted - load) break;
      load = next;
      size += 1;
      if (load >= wanted) break;
    }
    if (size === 0 || load === 0) return undefined;
    const stretch = fromLow
      ? {fromKey, toKey: fromKey + size - 1}
      : {fromKey: toKey - size + 1, toKey};
    return {stretch, load};
  }

  private sum({fromKey, toKey}: KeyStretch): number {
    let load = 0;
    for (let key = fromKey; key <= toKey; key += 1) load += this.counts[key]!;
    return load;
  }

  private age(): void {
    const elapsedMs = this.opts.clock.nowMs() - this.agedAtMs;
    if (elapsedMs < AGEING_MS) return;
    const kept = Math.exp(-elapsedMs / MEMORY_MS);
    for (let key = 0; key < this.counts.length; key += 1) this.counts[key]! *= kept;
    this.agedAtMs += elapsedMs;
  }
}
