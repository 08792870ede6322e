import type {Clock} from '@medlarlane/lifecycle';
import type {KeyRange} from './keyRange.js';

export interface KeyLoadOptions {
  readonly clock: Clock;
  /** Keys are the integers in [0, keyCount). */
  readonly keyCount: number;
}

/** Time constant of the request counts: short enough to follow a key that becomes hot in seconds. */
const MEMORY_MS = 1_500;
/** Weights are kept below e to this power, so that sums of them stay exact enough. */
const MAX_WEIGHT_EXPONENT = 20;
/** Keys of one partial sum. */
const BLOCK_KEYS = 256;
/** A stretch may carry this many times the wanted share, because a hot key cannot be divided. */
const MAX_OVERSHOOT = 1.6;

/**
 * Counts the requests for each key over the last seconds. A request weighs more the later it comes, by
 * the rate at which older ones are forgotten, so that counts need no regular ageing.
 */
export class KeyLoad {
  private readonly counts: Float64Array;
  private readonly blocks: Float64Array;
  private startedAtMs: number;

  constructor(private readonly opts: KeyLoadOptions) {
    this.counts = new Float64Array(opts.keyCount);
    this.blocks = new Float64Array(Math.ceil(opts.keyCount / BLOCK_KEYS));
    this.startedAtMs = opts.clock.nowMs();
  }

  /** Requests per second for the keys of the ranges. */
  rateOf(ranges: readonly KeyRange[]): number {
    // First, because it may scale all counts.
    const weight = this.weight();
    const counted = ranges.reduce((sum, range) => sum + this.sum(range), 0) / weight;
    return (counted * 1_000) / MEMORY_MS;
  }

  recordRequest(key: number): void {
    if (key < 0 || key >= this.counts.length) return;
    const weight = this.weight();
    this.counts[key]! += weight;
    this.blocks[Math.floor(key / BLOCK_KEYS)]! += weight;
  }

  /**
   * Picks a stretch at an end of one of the ranges whose requests come closest to `share` of all
   * requests for the ranges; `undefined` when only too large ones exist.
   */
  selectRange(ranges: readonly KeyRange[], share: number): KeyRange | undefined {
    const owned = ranges.reduce((sum, range) => sum + this.sum(range), 0);
    const wanted = owned * share;
    if (wanted <= 0) return undefined;
    let best: KeyRange | undefined;
    let bestError = Infinity;
    for (const range of ranges) {
      for (const fromLow of [true, false]) {
        const found = this.grow(range, wanted, {fromLow, mayTakeAll: ranges.length > 1});
        const error = found ? Math.abs(found.load - wanted) : Infinity;
        if (found && error < bestError && found.load <= wanted * MAX_OVERSHOOT) {
          [best, bestError] = [found.stretch, error];
        }
      }
    }
    return best;
  }

  /** Grows a stretch from one end of a range until it carries the wanted load. */
  private grow(
    {fromKey, toKey}: KeyRange,
    wanted: number,
    {fromLow, mayTakeAll}: {fromLow: boolean; mayTakeAll: boolean},
  ): {stretch: KeyRange; load: number} | undefined {
    let load = 0;
    let size = 0;
    const length = toKey - fromKey + 1;
    while (size < (mayTakeAll ? length : length - 1)) {
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

  private sum({fromKey, toKey}: KeyRange): number {
    let load = 0;
    let key = fromKey;
    while (key <= toKey) {
      const wholeBlock = key % BLOCK_KEYS === 0 && key + BLOCK_KEYS - 1 <= toKey;
      load += wholeBlock ? this.blocks[key / BLOCK_KEYS]! : this.counts[key]!;
      key += wholeBlock ? BLOCK_KEYS : 1;
    }
    return load;
  }

  /** What a request counts now. */
  private weight(): number {
    const exponent = (this.opts.clock.nowMs() - this.startedAtMs) / MEMORY_MS;
    if (exponent <= MAX_WEIGHT_EXPONENT) return Math.exp(exponent);
    const kept = Math.exp(-exponent);
    for (const counts of [this.counts, this.blocks]) {
      for (let index = 0; index < counts.length; index += 1) counts[index]! *= kept;
    }
    this.startedAtMs += exponent * MEMORY_MS;
    return 1;
  }
}
