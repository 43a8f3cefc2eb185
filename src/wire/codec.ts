/**
 * MessagePack encoding shared by all protocols, and readers for fields that may be missing or of an
 * unexpected type. A receiver uses the fields that it can interpret and does not fail on any others.
 */
import { Packr, Unpackr } from 'msgpackr';

import { MalformedMessageError } from './message-errors.js';
import { type DecodeLimits, type InvalidText, MessageScanner } from './message-scanner.js';
import { replaceInvalidText } from './message-text.js';

// Maps are plain objects with text keys. Integers beyond 2^53 are decoded as bigint, so that they lose no
// digits. The library supports `auto` for `int64AsType`, but its type declarations do not include that value.
const options = {
  useRecords: false,
  variableMapSize: true,
  mapsAsObjects: true,
  int64AsType: 'auto' as 'bigint',
};
const packr = new Packr(options);
const unpackr = new Unpackr(options);

/** A decoded map of a message or record whose fields have not been checked. */
export type Fields = Record<string, unknown>;

/** Encodes a value as MessagePack. */
export function encode(value: unknown): Buffer {
  return packr.pack(value);
}

const scanner = new MessageScanner();

/**
 * Decodes a MessagePack value. The memory and the time that this takes are bounded by a constant times the
 * number of the bytes (`maxMemoryPerByte`), whatever they contain.
 *
 * @throws {MalformedMessageError} if the bytes are not exactly one message of the form that `MessageScanner`
 *   accepts, or if the message exceeds a limit
 */
export function decode(bytes: Uint8Array, limits?: DecodeLimits): unknown {
  const message = asBuffer(bytes);
  scanner.check(message, limits);
  return decodeChecked(message);
}

/**
 * Decodes a value that this program, or an earlier version of it, may have stored. Text that is not valid
 * UTF-8 is decoded with replacement characters. Numeric keys, for example names of teams, may be any; the
 * memory for them counts towards `maxMemoryBytes`.
 *
 * @throws {MalformedMessageError} as `decode` does for all other reasons, or if the message exceeds a limit
 */
export function decodeStored(bytes: Uint8Array, limits?: DecodeLimits): unknown {
  const message = asBuffer(bytes);
  const invalidTexts: InvalidText[] = [];
  new MessageScanner({ onInvalidText: (text) => invalidTexts.push(text) }).check(message, limits);
  return decodeChecked(invalidTexts.length === 0 ? message : replaceInvalidText(message, invalidTexts));
}

function decodeChecked(message: Buffer): unknown {
  try {
    return unpackr.unpack(message);
  } catch (error) {
    throw new MalformedMessageError('undecodable', 0, { cause: error });
  }
}

function asBuffer(bytes: Uint8Array): Buffer {
  return Buffer.isBuffer(bytes) ? bytes : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Whether the value is a map, that is, an object other than a list, binary data or null. */
export function isFieldMap(value: unknown): value is Fields {
  return (
    typeof value === 'object' && value !== null && !Array.isArray(value) && !(value instanceof Uint8Array)
  );
}

/** Decodes a MessagePack map. Throws as `decode` does, and a `TypeError` if the value is not a map. */
export function decodeFields(bytes: Uint8Array): Fields {
  const value = decode(bytes);
  if (!isFieldMap(value)) throw new TypeError('the message is not a map');
  return value;
}

/** The size of a value as JSON, in bytes. All size limits refer to the size as JSON. */
export function jsonSizeBytes(value: unknown): number {
  // `stringify` returns undefined for a value that has no JSON form, which its type declaration leaves out.
  return Buffer.byteLength((JSON.stringify as (value: unknown) => string | undefined)(value) ?? 'null');
}

/** Returns the value if it is a list, else an empty list. */
export function asList(value: unknown): unknown[] {
  return Array.isArray(value) ? value : [];
}

/** Returns the value if it is text, else the fallback. */
export function asText(value: unknown, fallback = ''): string {
  return typeof value === 'string' ? value : fallback;
}

/**
 * Returns the value if it is a number, else the fallback. Integers of up to 2^64 may be decoded as bigint,
 * and these are converted to a number. Every value that this program compares or stores fits a number.
 */
export function asNumber(value: unknown, fallback = 0): number {
  if (typeof value === 'bigint') return Number(value);
  return typeof value === 'number' && !Number.isNaN(value) ? value : fallback;
}
