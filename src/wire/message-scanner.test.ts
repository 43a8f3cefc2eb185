import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import { checkRandomMessages, decodeWithinBounds } from '../testing/decoding-checks.js';
import {
  claimedCounts,
  listOf,
  malformedBodies,
  randomMessage,
  sparseNumericKeys,
  submissionWithInvalidText,
} from '../testing/malformed-messages.js';
import { seeded } from '../testing/seeded.js';
import { decode, decodeStored, encode } from './codec.js';
import { MalformedMessageError } from './message-errors.js';
import { MessageScanner, noLimits } from './message-scanner.js';
import { topLevelText } from './message-tokens.js';

function refusalOf(run: () => unknown): MalformedMessageError {
  try {
    run();
  } catch (error) {
    assert.ok(error instanceof MalformedMessageError, String(error));
    return error;
  }
  throw new Error('the message must be refused');
}

describe('a malformed message is refused without the memory that it claims', () => {
  for (const [name, message] of Object.entries(malformedBodies)) {
    test(name, () => assert.ok('error' in decodeWithinBounds(message)));
  }
});

test('the memory for a random message, well-formed or not, is bounded by its length', () => {
  const counts = checkRandomMessages(1, 20_000);
  assert.ok(counts.decoded > 2000, `${counts.decoded} decoded`);
  for (const reason of ['truncated', 'trailing-bytes', 'too-deep', 'extension', 'reserved-byte'])
    assert.ok((counts.refused[reason] ?? 0) > 0, `none refused as ${reason}`);
});

test('the memory for large well-formed messages of the smallest values is bounded by their length', () => {
  for (const value of [{}, [], [[]], '', 'a', 0.5, null, { '': 0 }, { 0: 0 }, { 16: [] }, Buffer.alloc(0)]) {
    const result = decodeWithinBounds(listOf(encode(value), 30_000));
    assert.ok('value' in result);
  }
});

test('numeric keys are read if they are dense or few', () => {
  const dense = Object.fromEntries(Array.from({ length: 3000 }, (_, i) => [String(i), i]));
  for (const value of [dense, { 1023: 'a' }, { 4_000_000_000: 1, 900: 2 }])
    assert.deepEqual(decode(encode(value)), value);
  // Headers that are longer than necessary do not decide whether a message is accepted.
  const sparse = sparseNumericKeys(20);
  const padded = Buffer.concat([
    Buffer.from('92', 'hex'),
    sparse,
    listOf(Buffer.from('db00000000', 'hex'), 500),
  ]);
  assert.deepEqual(decode(encode(decode(padded))), decode(padded));
});

test('stored records with many numeric keys are read within the memory limit of the receiver', () => {
  const stored = sparseNumericKeys(500);
  assert.equal(refusalOf(() => decode(stored)).reason, 'too-expensive');
  assert.equal((decodeStored(stored) as unknown[]).length, 500);
  const limits = { maxBytes: Infinity, maxMemoryBytes: 1_000_000 };
  assert.equal(refusalOf(() => decodeStored(stored, limits)).reason, 'too-expensive');
});

test('the reason of a refusal names what is wrong and where', () => {
  const expectedReasons: [string, MalformedMessageError['reason'], number][] = [
    ['', 'truncated', 0],
    ['93c0c0', 'truncated', 1],
    ['dd0200', 'truncated', 3],
    ['a461', 'truncated', 0],
    ['c0c0', 'trailing-bytes', 1],
    ['92c0c1', 'reserved-byte', 2],
    ['91d40001', 'extension', 1],
    ['91c70205aabb', 'extension', 1],
    ['8101c0', 'key-not-text', 1],
    ['92a161a1ff', 'invalid-text', 3],
  ];
  for (const [hex, reason, offset] of expectedReasons) {
    const error = refusalOf(() => decode(Buffer.from(hex, 'hex')));
    if (reason === 'truncated') assert.equal(error.reason, reason, hex);
    else assert.deepEqual([error.reason, error.offset], [reason, offset], hex);
  }
  const nested = (depth: number): Buffer => Buffer.concat([Buffer.alloc(depth, 0x91), Buffer.from([0xc0])]);
  assert.equal(refusalOf(() => decode(nested(101))).reason, 'too-deep');
  assert.doesNotThrow(() => decode(nested(100)));
});

test('a message that exceeds a limit of its receiver is refused', () => {
  const message = encode(Array.from({ length: 1000 }, () => ({})));
  const limits = { maxBytes: message.length, maxMemoryBytes: 100_000 };
  assert.doesNotThrow(() => decode(message, limits));
  assert.equal(refusalOf(() => decode(message, { ...limits, maxBytes: 500 })).reason, 'too-large');
  assert.equal(refusalOf(() => decode(message, { ...limits, maxMemoryBytes: 500 })).reason, 'too-expensive');
});

test('a message that arrives in parts is accepted or refused like one that arrives as a whole', () => {
  const random = seeded(7);
  for (let i = 0; i < 2000; i++) {
    const message = randomMessage(random);
    const whole = outcomeOf(() => void decode(message));
    const scanner = new MessageScanner();
    const inParts = outcomeOf(() => {
      for (let end = 0; end < message.length; end += 1 + Math.floor(random() * 20)) {
        if (scanner.scan(message.subarray(0, end), noLimits) !== undefined) throw new Error('ends early');
      }
      const length = scanner.scan(message, noLimits);
      if (length !== message.length) throw new Error(`ends at ${length ?? 'no byte'}`);
    });
    if (whole === 'accepted') assert.equal(inParts, 'accepted');
    else assert.notEqual(inParts, 'accepted');
  }
});

function outcomeOf(run: () => void): string {
  try {
    run();
    return 'accepted';
  } catch (error) {
    return String(error);
  }
}

test('a message in parts is refused as soon as it cannot end within the maximum length', () => {
  const scanner = new MessageScanner();
  const limits = { maxBytes: 1000, maxMemoryBytes: Infinity };
  assert.equal(refusalOf(() => scanner.scan(claimedCounts.subarray(0, 5), limits)).reason, 'too-large');
  assert.equal(refusalOf(() => scanner.scan(Buffer.from('db00010000', 'hex'), limits)).reason, 'too-large');
  assert.equal(scanner.scan(Buffer.from('93c0', 'hex'), limits), undefined);
});

test('a stored record with text that is not valid UTF-8 is read with replacement characters', () => {
  const stored = decodeStored(submissionWithInvalidText('req-000601')) as Record<string, unknown>;
  assert.equal(stored['id'], 'req-000601');
  assert.match(String(stored['bundle']), /^img-601�+$/);
  assert.equal(stored['pieces'], 1);
  // The lead byte announces three bytes, so that a decoder may read beyond the end of the text.
  assert.deepEqual(decodeStored(Buffer.from('93a1e0a26162c0', 'hex')), ['�', 'ab', null]);
  assert.equal(refusalOf(() => decodeStored(claimedCounts)).reason, 'truncated');
});

test('the id of a submission is found in a message that is refused for another field', () => {
  const id = 'req-000777';
  const bytes = submissionWithInvalidText(id);
  assert.equal(topLevelText(bytes, 'id'), id);
  const deep = Buffer.concat([Buffer.from([0x82]), encode('x'), Buffer.alloc(5000, 0x91), encode(0)]);
  assert.equal(topLevelText(Buffer.concat([deep, encode('id'), encode(id)]), 'id'), id);
  const extension = Buffer.concat([Buffer.from('82a178d4730090', 'hex').subarray(0, 6)]);
  assert.equal(topLevelText(Buffer.concat([extension, encode('id'), encode(id)]), 'id'), id);
  for (const message of [encode([id]), encode({ id: 7 }), encode({ ID: id }), bytes.subarray(0, 20)])
    assert.equal(topLevelText(message, 'id'), undefined);
  for (const message of Object.values(malformedBodies))
    assert.doesNotThrow(() => topLevelText(message, 'id'));
});
