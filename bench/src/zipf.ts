import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** Mean above which a normal distribution approximates the Poisson distribution. */
const NORMAL_MEAN = 32;

/** Samples requests per rank with a probability proportional to `1 / (rank + 1) ** exponent`. */
export class ZipfSampler {
  private readonly probabilities: Float64Array;

  constructor(rankCount: number, exponent: number) {
    const weights = Float64Array.from({length: rankCount}, (_, rank) => (rank + 1) ** -exponent);
    const sum = weights.reduce((a, b) => a + b, 0);
    this.probabilities = weights.map((weight) => weight / sum);
  }

  /** Returns requests per rank. Arrivals are independent, so the total varies around `requests`. */
  sampleCounts(random: RandomGenerator, requests: number): Float64Array {
    return this.probabilities.map((probability) => samplePoisson(random, probability * requests));
  }
}

function samplePoisson(random: RandomGenerator, mean: number): number {
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
