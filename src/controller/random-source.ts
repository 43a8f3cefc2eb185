/** Random numbers that differ between incarnations and can be repeated for one. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const seedDigits = 8;

/** Numbers in [0, 1), by a seed from the first digits of a UUID. */
export function seededRandom(uuid: string): () => number {
  const generator = xoroshiro128plus(Number.parseInt(uuid.slice(0, seedDigits), 16));
  return () => uniformFloat64(generator);
}
