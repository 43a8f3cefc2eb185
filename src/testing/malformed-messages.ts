/** Malformed messages for tests: those of recorded incidents, and others that are generated from a seed. */
import { encode } from '../wire/codec.js';
import { submission } from './submission.js';

/** A list of 33,554,432 entries, the first of which claims as many again. */
export const claimedCounts = Buffer.from('dd02000000dd02000000', 'hex');

/** A surrogate as three bytes, which UTF-8 does not allow. */
const surrogate = Buffer.from('eda080', 'hex');
const textInPlace = 'xyz';

/** Returns a submission whose image contains bytes that are not valid UTF-8. */
export function submissionWithInvalidText(id: string): Buffer {
  const bytes = encode(submission(id, 1, { bundle: `img-601${textInPlace}` }));
  surrogate.copy(bytes, bytes.indexOf(textInPlace));
  return bytes;
}

/** Returns lists within lists, each of which claims `count` entries. */
export function nestedClaims(count: number, depth: number): Buffer {
  const level = Buffer.alloc(5, 0xdd);
  level.writeUInt32BE(count, 1);
  return repeat(level, depth);
}

/** Returns a list of `count` maps whose only key is a number that no other key of the map is near. */
export function sparseNumericKeys(count: number): Buffer {
  return listOf(Buffer.concat([Buffer.from([0x81]), encode('1023'), encode(null)]), count);
}

/** Returns a list that contains the encoded value `count` times. */
export function listOf(value: Buffer, count: number): Buffer {
  const header = Buffer.alloc(5, 0xdd);
  header.writeUInt32BE(count, 1);
  return Buffer.concat([header, repeat(value, count)]);
}

/** Returns the bytes `count` times in a row. */
export function repeat(bytes: Buffer, count: number): Buffer {
  return Buffer.alloc(bytes.length * count, bytes);
}

/** Malformed bodies of at most 64 KiB, by what is wrong with them. */
export const malformedBodies: Record<string, Buffer> = {
  'two lists that claim millions of entries': claimedCounts,
  'a list that claims millions of entries': claimedCounts.subarray(0, 5),
  'nested lists that claim 65,535 entries each': nestedClaims(0xffff, 12_000),
  'nested lists that claim 2,000 entries each': nestedClaims(2000, 12_000),
  'nested lists of one entry': Buffer.alloc(60_000, 0x91),
  'maps with sparse numeric keys': sparseNumericKeys(8000),
  'a map that claims millions of entries': Buffer.from('df02000000a161', 'hex'),
  'a text that claims 4 GB': Buffer.from('dbffffffff', 'hex'),
  'binary data that claims 4 GB': Buffer.from('c6ffffffff', 'hex'),
  'invalid text': submissionWithInvalidText('req-000601'),
  'an extension that creates a set': Buffer.from('81a161d4730093010203', 'hex'),
  'an extension that refers to its own list': Buffer.from('81a161d6690000000191d67000000001', 'hex'),
  'an extension that defines a record': Buffer.from('d4724091a16101', 'hex'),
  'a reserved byte': Buffer.from('81a161c1', 'hex'),
  'a numeric key': Buffer.from('8101c0', 'hex'),
  'bytes after the end': Buffer.from('80c0', 'hex'),
};

type Random = () => number;

const maxNesting = 5;
/** The limit for the bodies of requests. */
const maxMessageBytes = 64 * 1024;

/** Returns a whole number below `limit`. */
function below(random: Random, limit: number): number {
  return Math.floor(random() * limit);
}

function randomText(random: Random): string {
  const texts = [
    '',
    'a',
    'id',
    'req-000412',
    '7',
    '1023',
    'zoné',
    '船',
    '💡',
    'x'.repeat(40),
    'é'.repeat(70),
  ];
  return texts[below(random, texts.length)] ?? '';
}

function randomScalar(random: Random): unknown {
  const scalars = [null, true, false, 0, 31, -1, 255, 70_000, 5_000_000_000, 0.25, 2n ** 63n, -(2n ** 62n)];
  return random() < 0.4 ? randomText(random) : scalars[below(random, scalars.length)];
}

/** Returns a random value of the kinds that the protocols use. */
export function randomValue(random: Random, depth = 0): unknown {
  const entries = below(random, 6);
  if (depth === maxNesting || random() < 0.3) return randomScalar(random);
  if (random() < 0.5) return Array.from({ length: entries }, () => randomValue(random, depth + 1));
  return Object.fromEntries(
    Array.from({ length: entries }, () => [randomText(random), randomValue(random, depth + 1)]),
  );
}

type Mutation = (message: Buffer, random: Random) => Buffer;

const truncate: Mutation = (message, random) => message.subarray(0, below(random, message.length));

const flipByte: Mutation = (message, random) => {
  const result = Buffer.from(message);
  result[below(random, result.length)] = below(random, 256);
  return result;
};

/** Headers of lists, maps, texts, binary data and extensions that claim more than the message contains. */
const claims = [
  'dcffff',
  'dd0000ffff',
  'dd02000000',
  'deffff',
  'df02000000',
  'daffff',
  'dbffffffff',
  'c9ffffffff',
];

const claimMore: Mutation = (message, random) => {
  const position = below(random, message.length);
  const claim = Buffer.from(claims[below(random, claims.length)] ?? '', 'hex');
  return Buffer.concat([message.subarray(0, position), claim, message.subarray(position + 1)]);
};

const nest: Mutation = (message, random) => {
  const level = Buffer.from(random() < 0.5 ? '91' : (claims[below(random, 5)] ?? ''), 'hex');
  return Buffer.concat([repeat(level, 1 + below(random, 2000)), message]);
};

const repeatEntries: Mutation = (message, random) => listOf(message, 1 + below(random, 200));

const wrapInExtension: Mutation = (message, random) => {
  const types = [0x72, 0x73, 0x69, 0x70, 0x65, 0x78, 0x62, 0x42, 0x74, 0xff];
  return Buffer.concat([Buffer.from([0x91, 0xd4, types[below(random, types.length)] ?? 0, 1]), message]);
};

const mutations = [truncate, flipByte, flipByte, claimMore, nest, repeatEntries, wrapInExtension];

/** Returns the encoding of a random value, unchanged or changed once or several times. */
export function randomMessage(random: Random): Buffer {
  let message = encode(randomValue(random));
  for (let changes = below(random, 4); changes > 0 && message.length > 0; changes--) {
    const mutate = mutations[below(random, mutations.length)];
    const mutated = mutate?.(message, random) ?? message;
    if (mutated.length <= maxMessageBytes) message = mutated;
  }
  return message;
}
