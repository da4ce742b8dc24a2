import * as prand from 'pure-rand';

/** Random numbers from a seed. */
export class SeededRandom {
  private readonly generator: prand.RandomGenerator;
  constructor(seed: number) {
    this.generator = prand.xoroshiro128plus(seed);
  }
  below(bound: number): number {
    return prand.unsafeUniformIntDistribution(0, bound - 1, this.generator);
  }
  chance(probability: number): boolean {
    return this.below(1_000_000) < probability * 1_000_000;
  }
}
