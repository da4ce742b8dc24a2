/** Random numbers from a seed. */
import * as prand from 'pure-rand';

/** A deterministic sequence of random numbers from a seed. */
export class SeededRandom {
  private readonly generator: prand.RandomGenerator;
  constructor(seed: number) {
    this.generator = prand.xoroshiro128plus(seed);
  }
  /** A random integer from 0 to `bound - 1`. */
  below(bound: number): number {
    return prand.unsafeUniformIntDistribution(0, bound - 1, this.generator);
  }
  /** Returns true with this probability. */
  chance(probability: number): boolean {
    return this.below(1_000_000) < probability * 1_000_000;
  }
}
