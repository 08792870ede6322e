import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** Samples ranks 0 to `count - 1` with probability proportional to `1 / (rank + 1) ** exponent`, by the alias method. */
export class ZipfSampler {
  private readonly threshold: Float64Array;
  private readonly alias: Int32Array;

  constructor(
    private readonly count: number,
    exponent: number,
  ) {
    const weights = Float64Array.from({length: count}, (_, rank) => (rank + 1) ** -exponent);
    const sum = weights.reduce((a, b) => a + b, 0);
    this.threshold = weights.map((weight) => (weight / sum) * count);
    this.alias = new Int32Array(count);
    const small: number[] = [];
    const large: number[] = [];
    for (let rank = 0; rank < count; rank++) (this.threshold[rank]! < 1 ? small : large).push(rank);
    while (small.length > 0 && large.length > 0) {
      const low = small.pop()!;
      const high = large.at(-1)!;
      this.alias[low] = high;
      this.threshold[high]! -= 1 - this.threshold[low]!;
      if (this.threshold[high]! < 1) small.push(large.pop()!);
    }
    for (const rank of [...small, ...large]) this.threshold[rank] = 1;
  }

  sample(random: RandomGenerator): number {
    const scaled = uniformFloat64(random) * this.count;
    const slot = Math.floor(scaled);
    return scaled - slot < this.threshold[slot]! ? slot : this.alias[slot]!;
  }
}
