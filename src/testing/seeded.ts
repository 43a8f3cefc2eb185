import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Numbers in [0, 1) that repeat. Small seeds have few bits set, and the generator's first numbers would show it. */
export function seeded(seed: number): () => number {
  const generator = xoroshiro128plus(Math.imul(seed, 0x9e3779b1));
  return () => uniformFloat64(generator);
}
