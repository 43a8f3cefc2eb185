/**
 * Checks that the cost of decoding is bounded for any received bytes. Run as a program, checks as many random
 * messages as wanted:
 *
 *     node target/test/testing/decoding-checks.js [--messages 1000000] [--seed 1]
 */
import assert from 'node:assert/strict';
import { argv } from 'node:process';
import { pathToFileURL } from 'node:url';
import { isDeepStrictEqual, parseArgs } from 'node:util';
import { getHeapStatistics } from 'node:v8';
import { decode, encode, isFieldMap } from '../wire/codec.js';
import { MalformedMessageError } from '../wire/message-errors.js';
import { maxMemoryPerByte, sparseKeysAllowance } from '../wire/message-scanner.js';
import { randomMessage } from './malformed-messages.js';
import { seeded } from './seeded.js';

/** Memory in bytes that the runtime itself may use for other purposes during a decoding. */
const runtimeMemory = 1024 * 1024;

/** Memory in bytes that this process uses for objects, on the heap and outside of it. */
function usedMemory(): number {
  const { used_heap_size: heap, external_memory: external } = getHeapStatistics();
  return heap + external;
}

/**
 * Decodes a message. Returns its value, or the error if the message is malformed.
 *
 * @throws AssertionError if the decoding needs more memory than is allowed for the length of the message, or
 *   fails with another error
 */
export function decodeWithinBounds(message: Buffer): { value: unknown } | { error: MalformedMessageError } {
  const allowed = message.length * maxMemoryPerByte + sparseKeysAllowance + runtimeMemory;
  const before = usedMemory();
  try {
    const value = decode(message);
    const used = usedMemory() - before;
    assert.ok(used <= allowed, `${used} bytes of memory for ${describe(message)}`);
    return { value };
  } catch (error) {
    if (!(error instanceof MalformedMessageError)) throw error;
    const used = usedMemory() - before;
    assert.ok(used <= allowed, `${used} bytes of memory for refusing ${describe(message)}`);
    return { error };
  }
}

function describe(message: Buffer): string {
  return `${message.length} bytes that begin with ${message.toString('hex', 0, 40)}`;
}

/** Returns the value with 0 in place of -0, which the library encodes as 0. The two are the same number. */
function withoutNegativeZeros(value: unknown): unknown {
  if (value === 0) return 0;
  if (Array.isArray(value)) return value.map(withoutNegativeZeros);
  if (!isFieldMap(value)) return value;
  return Object.fromEntries(Object.entries(value).map(([key, entry]) => [key, withoutNegativeZeros(entry)]));
}

/** Number of messages that were decoded, and number of refused ones by reason. */
export interface DecodingCounts {
  decoded: number;
  refused: Record<string, number>;
}

/**
 * Decodes random messages. Every message is decoded or refused with a `MalformedMessageError` within the memory
 * that is allowed for it, and what is decoded encodes back to the same value.
 */
export function checkRandomMessages(seed: number, messages: number): DecodingCounts {
  const random = seeded(seed);
  const counts: DecodingCounts = { decoded: 0, refused: {} };
  for (let i = 0; i < messages; i++) {
    const message = randomMessage(random);
    const result = decodeWithinBounds(message);
    if ('error' in result) {
      const { reason } = result.error;
      counts.refused[reason] = (counts.refused[reason] ?? 0) + 1;
      continue;
    }
    counts.decoded++;
    const again = decode(encode(result.value));
    assert.ok(
      isDeepStrictEqual(again, withoutNegativeZeros(result.value)),
      `changed by encoding: ${describe(message)}`,
    );
  }
  return counts;
}

function main(): void {
  const { values } = parseArgs({
    options: {
      messages: { type: 'string', default: '1000000' },
      seed: { type: 'string', default: '1' },
    },
  });
  const counts = checkRandomMessages(Number(values.seed), Number(values.messages));
  process.stdout.write(`${JSON.stringify(counts)}\n`);
}

if (argv[1] !== undefined && import.meta.url === pathToFileURL(argv[1]).href) main();
