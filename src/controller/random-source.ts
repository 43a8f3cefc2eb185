/** Generates random numbers that differ between incarnations and are reproducible for one incarnation. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const seedDigits = 8;

/** Returns a generator of numbers in [0, 1), seeded with the first 8 hexadecimal digits of the UUID. */
export function seededRandom(uuid: string): () => number {
  const generator = xoroshiro128plus(Number.parseInt(uuid.slice(0, seedDigits), 16));
  return () => uniformFloat64(generator);
}
