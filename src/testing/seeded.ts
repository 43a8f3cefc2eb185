/** Reproducible pseudo-random numbers for tests. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/**
 * Returns a generator of pseudo-random numbers in [0, 1). The same seed gives the same sequence. The seed is
 * multiplied by a constant, because small seeds have few bits set, which would bias the first numbers.
 */
export function seeded(seed: number): () => number {
  const generator = xoroshiro128plus(Math.imul(seed, 0x9e3779b1));
  return () => uniformFloat64(generator);
}
