import type {Clock} from '@medlarlane/lifecycle';
import type {KeyRange} from './keyRange.js';

export interface KeyLoadOptions {
  readonly clock: Clock;
  /** Keys are the integers in [0, keyCount). */
  readonly keyCount: number;
}

/** Time constant of the decay: short enough to follow a key that becomes hot within seconds. */
const DECAY_TIME_MS = 1_500;
/** Counts are rescaled before a weight exceeds e to this power, which keeps their sums precise. */
const MAX_WEIGHT_EXPONENT = 20;
/** Number of keys in one partial sum. */
const KEYS_PER_BLOCK = 256;
/** A selected range may carry this many times the target load, because a hot key cannot be split. */
const MAX_OVERLOAD_RATIO = 1.6;

/**
 * Exponentially decaying count of the requests for each key. Instead of decaying the older counts, it
 * gives each later request a larger weight.
 */
export class KeyLoad {
  private readonly counts: Float64Array;
  private readonly blockSums: Float64Array;
  private weightOriginMs: number;

  constructor(private readonly opts: KeyLoadOptions) {
    this.counts = new Float64Array(opts.keyCount);
    this.blockSums = new Float64Array(Math.ceil(opts.keyCount / KEYS_PER_BLOCK));
    this.weightOriginMs = opts.clock.nowMs();
  }

  /** Returns the requests per second for the keys of the ranges. */
  rateOf(ranges: readonly KeyRange[]): number {
    // Must be called before the sums are computed, because it may rescale all counts.
    const weight = this.currentWeight();
    const counted = ranges.reduce((sum, range) => sum + this.loadOf(range), 0) / weight;
    return (counted * 1_000) / DECAY_TIME_MS;
  }

  recordRequest(key: number): void {
    if (key < 0 || key >= this.counts.length) return;
    const weight = this.currentWeight();
    this.counts[key]! += weight;
    this.blockSums[Math.floor(key / KEYS_PER_BLOCK)]! += weight;
  }

  /**
   * Selects a key range at one end of one of the ranges whose load comes closest to `fraction` of their
   * total load; `undefined` when every candidate carries too much load or none.
   */
  selectRange(ranges: readonly KeyRange[], fraction: number): KeyRange | undefined {
    const totalLoad = ranges.reduce((sum, range) => sum + this.loadOf(range), 0);
    const targetLoad = totalLoad * fraction;
    if (targetLoad <= 0) return undefined;
    let best: KeyRange | undefined;
    let bestDistance = Infinity;
    for (const range of ranges) {
      for (const fromLow of [true, false]) {
        const candidate = this.growRange(range, targetLoad, {
          fromLow,
          mayTakeWholeRange: ranges.length > 1,
        });
        const distance = candidate ? Math.abs(candidate.load - targetLoad) : Infinity;
        if (
          candidate &&
          distance < bestDistance &&
          candidate.load <= targetLoad * MAX_OVERLOAD_RATIO
        ) {
          [best, bestDistance] = [candidate.range, distance];
        }
      }
    }
    return best;
  }

  /** Extends a key range from one end of a range until it carries the target load. */
  private growRange(
    {fromKey, toKey}: KeyRange,
    targetLoad: number,
    {fromLow, mayTakeWholeRange}: {fromLow: boolean; mayTakeWholeRange: boolean},
  ): {range: KeyRange; load: number} | undefined {
    let load = 0;
    let size = 0;
    const length = toKey - fromKey + 1;
    while (size < (mayTakeWholeRange ? length : length - 1)) {
      const key = fromLow ? fromKey + size : toKey - size;
      const next = load + this.counts[key]!;
      // Stops before a key that would increase the distance from the target load.
      if (next > targetLoad && next - targetLoad > targetLoad - load) break;
      load = next;
      size += 1;
      if (load >= targetLoad) break;
    }
    if (size === 0 || load === 0) return undefined;
    const range = fromLow
      ? {fromKey, toKey: fromKey + size - 1}
      : {fromKey: toKey - size + 1, toKey};
    return {range, load};
  }

  private loadOf({fromKey, toKey}: KeyRange): number {
    let load = 0;
    let key = fromKey;
    while (key <= toKey) {
      const isWholeBlock = key % KEYS_PER_BLOCK === 0 && key + KEYS_PER_BLOCK - 1 <= toKey;
      load += isWholeBlock ? this.blockSums[key / KEYS_PER_BLOCK]! : this.counts[key]!;
      key += isWholeBlock ? KEYS_PER_BLOCK : 1;
    }
    return load;
  }

  /** Returns the weight of a request that arrives now. */
  private currentWeight(): number {
    const exponent = (this.opts.clock.nowMs() - this.weightOriginMs) / DECAY_TIME_MS;
    if (exponent <= MAX_WEIGHT_EXPONENT) return Math.exp(exponent);
    const scale = Math.exp(-exponent);
    for (const counts of [this.counts, this.blockSums]) {
      for (let index = 0; index < counts.length; index += 1) counts[index]! *= scale;
    }
    this.weightOriginMs += exponent * DECAY_TIME_MS;
    return 1;
  }
}
