import type {Clock} from '@medlarlane/lifecycle';
import {overlaps, without} from './keyRange.js';
import type {KeyRange} from './keyRange.js';
import {narrowestWindow, splitWindow} from './narrowestWindow.js';

export interface KeyLoadOptions {
  readonly clock: Clock;
  /** Keys are the integers in [0, keyCount). */
  readonly keyCount: number;
  /** Time constant of the decay. */
  readonly decayTimeMs?: number;
}

/** Time constant of the decay: short enough to follow a key that becomes hot within seconds. */
const DECAY_TIME_MS = 1_500;
/** Counts are rescaled before a weight exceeds e to this power, which keeps their sums precise. */
const MAX_WEIGHT_EXPONENT = 20;
/** Number of keys in one partial sum. */
const KEYS_PER_BLOCK = 256;
/** Bounds of the load of a stretch that is divided among several transfers. */
const MIN_STRETCH_RATIO = 0.95;
const MAX_STRETCH_RATIO = 1.15;

/**
 * Exponentially decaying count of the requests for each key. Instead of decaying the older counts, it
 * gives each later request a larger weight.
 */
export class KeyLoad {
  private readonly counts: Float64Array;
  private readonly blockSums: Float64Array;
  private readonly decayTimeMs: number;
  private weightOriginMs: number;

  constructor(private readonly opts: KeyLoadOptions) {
    this.counts = new Float64Array(opts.keyCount);
    this.blockSums = new Float64Array(Math.ceil(opts.keyCount / KEYS_PER_BLOCK));
    this.decayTimeMs = opts.decayTimeMs ?? DECAY_TIME_MS;
    this.weightOriginMs = opts.clock.nowMs();
  }

  /** Returns the requests per second for the keys of the ranges. */
  rateOf(ranges: readonly KeyRange[]): number {
    // Must be called before the sums are computed, because it may rescale all counts.
    const weight = this.currentWeight();
    const counted = ranges.reduce((sum, range) => sum + this.loadOf(range), 0) / weight;
    return (counted * 1_000) / this.decayTimeMs;
  }

  recordRequest(key: number): void {
    if (key < 0 || key >= this.counts.length) return;
    const weight = this.currentWeight();
    this.counts[key]! += weight;
    this.blockSums[Math.floor(key / KEYS_PER_BLOCK)]! += weight;
  }

  /**
   * Selects a key range for each of `fractions` of the total load of `ranges`; `undefined` where no range
   * carries about that much. Several fractions are parts of one busy stretch if there is one: its parts by
   * cumulative load are accurate even when only few requests of each key have been counted.
   */
  selectRanges(
    ranges: readonly KeyRange[],
    fractions: readonly number[],
  ): Array<KeyRange | undefined> {
    const totalLoad = ranges.reduce((sum, range) => sum + this.loadOf(range), 0);
    const combinedLoad = totalLoad * fractions.reduce((sum, fraction) => sum + fraction, 0);
    const stretch =
      fractions.length > 1
        ? narrowestWindow(this.counts, ranges, combinedLoad, {
            minLoad: combinedLoad * MIN_STRETCH_RATIO,
            maxLoad: combinedLoad * MAX_STRETCH_RATIO,
          })
        : undefined;
    const selected = stretch ? splitWindow(this.counts, stretch, fractions) : [];
    let remaining = [...ranges];
    const exclude = (taken: KeyRange): void => {
      remaining = remaining.flatMap((range) =>
        overlaps(range, taken) ? without(range, taken) : [range],
      );
    };
    selected.forEach(exclude);
    return fractions.map((fraction, index) => {
      if (stretch) return selected[index];
      const range = narrowestWindow(this.counts, remaining, totalLoad * fraction);
      if (range) exclude(range);
      return range;
    });
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
    const exponent = (this.opts.clock.nowMs() - this.weightOriginMs) / this.decayTimeMs;
    if (exponent <= MAX_WEIGHT_EXPONENT) return Math.exp(exponent);
    const scale = Math.exp(-exponent);
    for (const counts of [this.counts, this.blockSums]) {
      for (let index = 0; index < counts.length; index += 1) counts[index]! *= scale;
    }
    this.weightOriginMs += exponent * this.decayTimeMs;
    return 1;
  }
}
