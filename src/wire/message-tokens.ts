/**
 * Reads the tokens of MessagePack: the kind and the size of a value, without decoding it. A token comprises the
 * header of a value and, except for lists and maps, its payload.
 */

/**
 * The kinds of values that a token can begin. `scalar`: null, a boolean or a number. `reserved`: the byte 0xc1,
 * which MessagePack never uses.
 */
export type TokenKind = 'scalar' | 'text' | 'binary' | 'extension' | 'list' | 'map' | 'reserved';

const leadBytes = 256;
const typeBytesOfExtension = 1;

const kinds = new Array<TokenKind>(leadBytes).fill('scalar');
/** Number of bytes after the lead byte that hold the length or the count; 0 if the lead byte determines it. */
const lengthFieldBytes = new Uint8Array(leadBytes);
/** The length of the payload in bytes, or the count of entries, if the lead byte determines it. */
const inlineLengths = new Uint8Array(leadBytes);

function defineRange(kind: TokenKind, first: number, last: number): void {
  for (let lead = first; lead <= last; lead++) {
    kinds[lead] = kind;
    inlineLengths[lead] = lead - first;
  }
}

/** Defines lead bytes in a row, the first of which has a length field of `fieldBytes` bytes. */
function defineSized(kind: TokenKind, first: number, fieldBytes: number[]): void {
  for (const [i, bytes] of fieldBytes.entries()) {
    kinds[first + i] = kind;
    lengthFieldBytes[first + i] = bytes;
  }
}

function defineFixed(kind: TokenKind, first: number, payloadBytes: number[]): void {
  for (const [i, bytes] of payloadBytes.entries()) {
    kinds[first + i] = kind;
    inlineLengths[first + i] = bytes;
  }
}

defineRange('map', 0x80, 0x8f);
defineRange('list', 0x90, 0x9f);
defineRange('text', 0xa0, 0xbf);
defineFixed('reserved', 0xc1, [0]);
defineSized('binary', 0xc4, [1, 2, 4]);
defineSized('extension', 0xc7, [1, 2, 4]);
// Floating-point numbers, then unsigned and signed integers.
defineFixed('scalar', 0xca, [4, 8, 1, 2, 4, 8, 1, 2, 4, 8]);
defineFixed('extension', 0xd4, [1, 2, 4, 8, 16]);
defineSized('text', 0xd9, [1, 2, 4]);
defineSized('list', 0xdc, [2, 4]);
defineSized('map', 0xde, [2, 4]);

/**
 * Reads one token at a time. The fields describe the token that was read last. They are fields instead of a
 * result object, because a message consists of dozens of tokens and every received message is read.
 */
export class TokenReader {
  kind: TokenKind = 'scalar';
  /** Number of values in the list or map; a map has two for each entry. 0 for other kinds. */
  childValues = 0;
  /** Position of the first byte after the header. */
  payloadStart = 0;
  /** Position of the first byte after the token. */
  end = 0;

  /**
   * Reads the token at a position.
   *
   * @returns false if the token does not end before the position `limit`
   */
  read(bytes: Uint8Array, position: number, limit: number): boolean {
    this.end = position;
    if (position >= limit) return false;
    const lead = bytes[position] ?? 0;
    const fieldBytes = lengthFieldBytes[lead] ?? 0;
    this.payloadStart = position + 1 + fieldBytes;
    this.end = this.payloadStart;
    if (this.payloadStart > limit) return false;
    const length =
      fieldBytes === 0 ? (inlineLengths[lead] ?? 0) : readUnsigned(bytes, position + 1, fieldBytes);
    this.kind = kinds[lead] ?? 'reserved';
    this.childValues = 0;
    if (this.kind === 'list') this.childValues = length;
    else if (this.kind === 'map') this.childValues = length * 2;
    else if (this.kind === 'extension') this.end += length + typeBytesOfExtension;
    else this.end += length;
    return this.end <= limit;
  }
}

/** Reads a big-endian unsigned integer. */
function readUnsigned(bytes: Uint8Array, position: number, count: number): number {
  let value = 0;
  for (let i = 0; i < count; i++) value = value * 256 + (bytes[position + i] ?? 0);
  return value;
}

/**
 * Returns the text at the key `name` of a message that is a map; undefined if there is none, or if the
 * message is cut short. Reads messages of any depth, with extensions and with invalid text. Invalid text is
 * returned with replacement characters.
 */
export function topLevelText(bytes: Buffer, name: string): string | undefined {
  const token = new TokenReader();
  const isMap = token.read(bytes, 0, bytes.length) && token.kind === 'map';
  const entries = isMap ? token.childValues / 2 : 0;
  let result: string | undefined;
  for (let i = 0; i < entries; i++) {
    const key = readText(token, bytes);
    const value = readText(token, bytes);
    if (key === 'cut short' || value === 'cut short') return undefined;
    if (key?.text === name) result = value?.text;
  }
  return result;
}

/**
 * Reads the value after the token. Afterwards the token is the last one of this value.
 *
 * @returns the text; undefined if the value is no text
 */
function readText(token: TokenReader, bytes: Buffer): { text: string } | undefined | 'cut short' {
  if (!token.read(bytes, token.end, bytes.length)) return 'cut short';
  if (token.kind === 'text') return { text: bytes.toString('utf8', token.payloadStart, token.end) };
  return skipEntries(token, bytes) ? undefined : 'cut short';
}

/**
 * Skips everything in the value that the token begins.
 *
 * @returns false if the message ends before the value
 */
function skipEntries(token: TokenReader, bytes: Buffer): boolean {
  let pendingValues = token.childValues;
  while (pendingValues > 0) {
    if (pendingValues > bytes.length - token.end) return false;
    if (!token.read(bytes, token.end, bytes.length)) return false;
    pendingValues += token.childValues - 1;
  }
  return true;
}
