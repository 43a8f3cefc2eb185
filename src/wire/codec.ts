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

export type Fields = Record<string, unknown>;

export function encode(value: unknown): Buffer {
  return packr.pack(value);
}

export function decode(bytes: Uint8Array): unknown {
  return unpackr.unpack(bytes);
}

export function isFields(value: unknown): value is Fields {
  return (
    typeof value === 'object' && value !== null && !Array.isArray(value) && !(value instanceof Uint8Array)
  );
}

export function decodeFields(bytes: Uint8Array): Fields {
  const value = decode(bytes);
  if (!isFields(value)) throw new TypeError('the message is not a map');
  return value;
}

/** The protocols measure size limits in the JSON form of a value. */
export function sizeOf(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value) ?? 'null');
}

export function list(value: unknown): unknown[] {
  return Array.isArray(value) ? value : [];
}

export function text(value: unknown, fallback = ''): string {
  return typeof value === 'string' ? value : fallback;
}

/** Integers of up to 2^64 may arrive as bigint; all that we compare or store fit a number. */
export function number(value: unknown, fallback = 0): number {
  if (typeof value === 'bigint') return Number(value);
  return typeof value === 'number' && !Number.isNaN(value) ? value : fallback;
}
