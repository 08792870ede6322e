import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** Mean above which the normal distribution replaces the Poisson distribution. */
const NORMAL_MEAN = 32;

/** Samples how often each of `keys` ranks is requested, with probability proportional to `1 / (rank + 1) ** exponent`. */
export class ZipfSampler {
  private readonly shares: Float64Array;

  constructor(keys: number, exponent: number) {
    const weights = Float64Array.from({length: keys}, (_, rank) => (rank + 1) ** -exponent);
    const sum = weights.reduce((a, b) => a + b, 0);
    this.shares = weights.map((weight) => weight / sum);
  }

  /** Requests by rank; their total varies around `requests`, as requests arrive independently. */
  counts(random: RandomGenerator, requests: number): Float64Array {
    return this.shares.map((share) => poisson(random, share * requests));
  }
}

function poisson(random: RandomGenerator, mean: number): number {
  if (mean > NORMAL_MEAN) {
    const radius = Math.sqrt(-2 * Math.log(1 - uniformFloat64(random)));
    const normal = radius * Math.cos(2 * Math.PI * uniformFloat64(random));
    return Math.max(0, Math.round(mean + Math.sqrt(mean) * normal));
  }
  const limit = Math.exp(-mean);
  let count = 0;
  for (let product = uniformFloat64(random); product > limit; count++) {
    product *= uniformFloat64(random);
  }
  return count;
}
