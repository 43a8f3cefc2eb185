/**
 * MessagePack as all protocols here use it, and reading of fields that may be missing or of another type: a receiver takes
 * what it understands and never fails on the rest.
 */
import { Packr, Unpackr } from 'msgpackr';

// Plain maps keyed by text; integers beyond 2^53 come out as bigint instead of losing digits.
// The library knows `auto`, its type declarations do not.
const options = {
  useRecords: false,
  variableMapSize: true,
  mapsAsObjects: true,
  int64AsType: 'auto' as 'bigint',
};
const packr = new Packr(options);
const unpackr = new Unpackr(options);

/** A map of a message or record, before its fields are read. */
export type Fields = Record<string, unknown>;

/** The MessagePack form of a value. */
export function encode(value: unknown): Buffer {
  return packr.pack(value);
}

/** The value of a MessagePack form. Throws where the bytes end before the value does, or go on behind it. */
export function decode(bytes: Uint8Array): unknown {
  return unpackr.unpack(bytes);
}

/** Whether the value is a map: no list, no binary data, not null. */
export function isFields(value: unknown): value is Fields {
  return (
    typeof value === 'object' && value !== null && !Array.isArray(value) && !(value instanceof Uint8Array)
  );
}

/** As `decode`; throws a `TypeError` where the value is no map. */
export function decodeFields(bytes: Uint8Array): Fields {
  const value = decode(bytes);
  if (!isFields(value)) throw new TypeError('the message is not a map');
  return value;
}

/** Bytes of the JSON form of a value: all size limits are measured in that form. */
export function sizeOf(value: unknown): number {
  // The declaration of `stringify` leaves out that what has no JSON form gives undefined.
  return Buffer.byteLength((JSON.stringify as (value: unknown) => string | undefined)(value) ?? 'null');
}

/** The value if it is a list, else an empty one. */
export function list(value: unknown): unknown[] {
  return Array.isArray(value) ? value : [];
}

/** The value if it is text, else the fallback. */
export function text(value: unknown, fallback = ''): string {
  return typeof value === 'string' ? value : fallback;
}

/**
 * The value if it is a number, else the fallback. Integers of up to 2^64 may arrive as bigint; all that we compare or store
 * fit a number.
 */
export function number(value: unknown, fallback = 0): number {
  if (typeof value === 'bigint') return Number(value);
  return typeof value === 'number' && !Number.isNaN(value) ? value : fallback;
}
