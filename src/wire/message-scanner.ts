/**
 * Checks the structure of MessagePack messages before they are decoded. A message that passes costs memory
 * and time in proportion to its length, whatever counts and lengths it claims.
 */
import { isUtf8 } from 'node:buffer';

import { MalformedMessageError, type MalformedReason } from './message-errors.js';
import { type TokenKind, TokenReader } from './message-tokens.js';

/** The deepest nesting of lists and maps. The protocols nest fewer than ten levels. */
export const maxNestingDepth = 100;
/** Memory in bytes that a decoded message may need for each of its bytes. */
export const maxMemoryPerByte = 128;
/** Memory in bytes that any message may need in addition, for numeric keys far from each other. */
export const sparseKeysAllowance = 256 * 1024;

/** Memory in bytes of an entry of a list. */
const entryMemory = 8;
const emptyListMemory = 48;
const emptyMapMemory = 72;
const mapEntryMemory = 48;
const numberMemory = 16;
const viewMemory = 96;
const emptyTextMemory = 24;

/**
 * The engine stores the properties of an object whose names are numbers in an array up to the largest number,
 * with half of its length in reserve, unless the array would have more than this many entries.
 */
const maxArrayIndex = 5000;
const maxArrayIndexDigits = 4;
const arrayMemoryPerIndex = 12;
/** The length of the shortest entry of a map with a key of one character. */
const minEntryBytes = 3;
const digitZero = 0x30;
const digitNine = 0x39;
const firstByteBeyondAscii = 0x80;

/** A text that is not valid UTF-8: the positions of its header, its first byte, and the byte after it. */
export interface InvalidText {
  headerStart: number;
  start: number;
  end: number;
}

/** What a receiver of messages accepts. */
export interface DecodeLimits {
  /** Maximum length of a message in bytes. */
  maxBytes: number;
  /** Maximum memory in bytes of a decoded message. It applies in addition to the limit by the length. */
  maxMemoryBytes: number;
}

/** No limits other than those by the length of a message. */
export const noLimits: DecodeLimits = { maxBytes: Infinity, maxMemoryBytes: Infinity };

/** What a scanner accepts although it is malformed. */
export interface Tolerance {
  /** Receives each text that is not valid UTF-8. */
  onInvalidText: (text: InvalidText) => void;
}

/**
 * Checks one message after the other. A message may arrive in parts: the scanner continues where it stopped,
 * so that the time for a message does not depend on the number of its parts.
 */
export class MessageScanner {
  private readonly token = new TokenReader();
  /** Of each open list or map: the number of its values that have not been read. */
  private readonly unreadValues = new Float64Array(maxNestingDepth);
  /** 1 for a map, 0 for a list. */
  private readonly isMap = new Uint8Array(maxNestingDepth);
  /** Of each open map: the largest of its keys that is the index of an array, or -1. */
  private readonly largestIndex = new Int32Array(maxNestingDepth);
  private depth = 0;
  /** Sum of `unreadValues`, or 0 between two messages. Each of these values takes at least one byte. */
  private pendingValues = 0;
  private memoryBytes = 0;
  /** Memory for numeric keys beyond the memory that the length of their entries allows. */
  private sparseKeysMemory = 0;
  /** Number of bytes of the present message that were scanned. */
  private scannedBytes = 0;

  /**
   * @param tolerance is given for messages of a trusted sender: text that is not valid UTF-8 and numeric keys
   *   far from each other are accepted, so that only `maxMemoryBytes` limits the memory for these keys
   */
  constructor(private readonly tolerance?: Tolerance) {}

  /**
   * Scans the present message, which begins at the first of the bytes. When called again before the message
   * is complete, expects the same bytes and any number of further ones.
   *
   * @returns the length of the message in bytes, or undefined if the message is not complete
   * @throws {MalformedMessageError} if the message is malformed or exceeds a limit
   */
  scan(bytes: Buffer, limits: DecodeLimits): number | undefined {
    const length = this.scanUntil(bytes, limits.maxBytes, 'too-large');
    if (length === undefined) return undefined;
    this.checkMemory(limits);
    this.reset();
    return length;
  }

  /**
   * Checks that the bytes are exactly one message.
   *
   * @throws {MalformedMessageError} if they are not
   */
  check(bytes: Buffer, limits = noLimits): void {
    this.reset();
    if (bytes.length > limits.maxBytes) this.refuse('too-large', 0);
    const length = this.scanUntil(bytes, bytes.length, 'truncated');
    if (length === undefined) return this.refuse('truncated', bytes.length);
    if (length < bytes.length) this.refuse('trailing-bytes', length);
    this.checkMemory(limits);
    this.reset();
  }

  /** `overflow`: the reason why a message that cannot end within `maxBytes` is refused. */
  private scanUntil(bytes: Buffer, maxBytes: number, overflow: MalformedReason): number | undefined {
    if (this.pendingValues === 0) this.begin();
    const { token } = this;
    while (this.pendingValues > 0) {
      if (this.scannedBytes + this.pendingValues > maxBytes) this.refuse(overflow, this.scannedBytes);
      if (!token.read(bytes, this.scannedBytes, bytes.length)) {
        if (token.end > maxBytes) this.refuse(overflow, this.scannedBytes);
        return undefined;
      }
      this.acceptToken(bytes);
    }
    return this.scannedBytes;
  }

  private begin(): void {
    this.reset();
    this.pendingValues = 1;
  }

  private reset(): void {
    this.depth = 0;
    this.pendingValues = 0;
    this.memoryBytes = 0;
    this.sparseKeysMemory = 0;
    this.scannedBytes = 0;
  }

  private acceptToken(bytes: Buffer): void {
    const { kind, end } = this.token;
    const start = this.scannedBytes;
    const isKey = this.takePendingValue();
    if (isKey && kind !== 'text') this.refuse('key-not-text', start);
    if (kind === 'text') this.acceptText(bytes, start, isKey);
    else if (kind === 'list' || kind === 'map') this.open(kind, start);
    else this.acceptPlain(kind, start);
    this.scannedBytes = end;
    while (this.depth > 0 && this.unreadValues[this.depth - 1] === 0) this.depth--;
  }

  /** Counts a value as read. Returns whether it is the key of a map. */
  private takePendingValue(): boolean {
    this.pendingValues--;
    if (this.depth === 0) return false;
    const top = this.depth - 1;
    const unread = this.unreadValues[top] ?? 0;
    this.unreadValues[top] = unread - 1;
    return this.isMap[top] === 1 && unread % 2 === 0;
  }

  private acceptPlain(kind: TokenKind, start: number): void {
    if (kind === 'extension') this.refuse('extension', start);
    if (kind === 'reserved') this.refuse('reserved-byte', start);
    this.memoryBytes += kind === 'binary' ? viewMemory : numberMemory;
  }

  private open(kind: TokenKind, start: number): void {
    const { childValues } = this.token;
    const isMap = kind === 'map';
    this.memoryBytes += isMap
      ? emptyMapMemory + (childValues / 2) * mapEntryMemory
      : emptyListMemory + childValues * entryMemory;
    if (childValues === 0) return;
    if (this.depth === maxNestingDepth) this.refuse('too-deep', start);
    this.unreadValues[this.depth] = childValues;
    this.isMap[this.depth] = isMap ? 1 : 0;
    this.largestIndex[this.depth] = -1;
    this.depth++;
    this.pendingValues += childValues;
  }

  private acceptText(bytes: Buffer, headerStart: number, isKey: boolean): void {
    const { payloadStart: start, end } = this.token;
    this.memoryBytes += emptyTextMemory + (end - start);
    if (isKey) this.countIndexMemory(bytes, start, end);
    if (isAscii(bytes, start, end) || isUtf8(bytes.subarray(start, end))) return;
    if (!this.tolerance) this.refuse('invalid-text', headerStart);
    this.tolerance.onInvalidText({ headerStart, start, end });
  }

  private countIndexMemory(bytes: Buffer, start: number, end: number): void {
    const index = arrayIndex(bytes, start, end);
    const top = this.depth - 1;
    const largest = this.largestIndex[top] ?? 0;
    if (index === undefined || index <= largest) return;
    const arrayMemory = (index - largest) * arrayMemoryPerIndex;
    this.memoryBytes += arrayMemory;
    this.sparseKeysMemory += Math.max(0, arrayMemory - minEntryBytes * maxMemoryPerByte);
    this.largestIndex[top] = index;
  }

  private checkMemory({ maxMemoryBytes }: DecodeLimits): void {
    const isTooSparse = !this.tolerance && this.sparseKeysMemory > sparseKeysAllowance;
    if (isTooSparse || this.memoryBytes > maxMemoryBytes) this.refuse('too-expensive', 0);
  }

  private refuse(reason: MalformedReason, offset: number): never {
    this.reset();
    throw new MalformedMessageError(reason, offset);
  }
}

function isAscii(bytes: Buffer, start: number, end: number): boolean {
  for (let i = start; i < end; i++) {
    if ((bytes[i] ?? 0) >= firstByteBeyondAscii) return false;
  }
  return true;
}

/** Returns the number that a key is in decimal digits, if it is at most `maxArrayIndex`. */
function arrayIndex(bytes: Buffer, start: number, end: number): number | undefined {
  const digits = end - start;
  if (digits === 0 || digits > maxArrayIndexDigits) return undefined;
  let index = 0;
  for (let i = start; i < end; i++) {
    const byte = bytes[i] ?? 0;
    if (byte < digitZero || byte > digitNine) return undefined;
    index = index * 10 + (byte - digitZero);
  }
  return index <= maxArrayIndex ? index : undefined;
}
