/** Collects the bytes of a message that arrives in parts. */

const minCapacityBytes = 512;

/**
 * The bytes of a message that have arrived. Memory and time are proportional to the number of the bytes, into
 * however many parts they are cut.
 */
export class ReceiveBuffer {
  private storage: Buffer = Buffer.alloc(0);
  private lengthBytes = 0;

  /** Number of collected bytes. */
  get length(): number {
    return this.lengthBytes;
  }

  /** The collected bytes. Valid until the next call of `append` or `discard`. */
  get bytes(): Buffer {
    return this.storage.subarray(0, this.lengthBytes);
  }

  /** Adds bytes at the end. The first ones are not copied, since most messages arrive in one part. */
  append(part: Buffer): void {
    if (this.length === 0) {
      this.storage = part;
      this.lengthBytes = part.length;
      return;
    }
    const length = this.length + part.length;
    if (length > this.storage.length) this.grow(length);
    part.copy(this.storage, this.length);
    this.lengthBytes = length;
  }

  /** Removes bytes at the beginning. */
  discard(count: number): void {
    this.storage.copyWithin(0, count, this.length);
    this.lengthBytes -= count;
  }

  private grow(length: number): void {
    const larger = Buffer.alloc(Math.max(length, this.storage.length * 2, minCapacityBytes));
    this.bytes.copy(larger);
    this.storage = larger;
  }
}
