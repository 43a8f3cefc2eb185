/** Packs operations into one transaction within the limits of the state service. */
import { type Condition, maxTransactionBytes, type Write, writtenKey } from '../wire/state.js';

/** The parts of an operation that determine whether it fits into a transaction. */
export interface BatchedOperation {
  conditions: Condition[];
  writes: Write[];
  /**
   * The size in bytes that the operation adds to a transaction, in JSON, the form in which the limit is
   * measured.
   */
  bytes: number;
}

/** The service admits this many conditions for each write that a transaction may contain. */
const conditionsPerWrite = 4;

/**
 * Takes as many operations from the head of the queue as fit into one transaction, in order and without gaps.
 * An operation that is too large for any transaction is sent alone, and the service refuses it.
 *
 * @param queue operations in the order of their arrival
 * @param maxWrites the largest number of writes in one transaction
 */
export function takeBatch<O extends BatchedOperation>(
  queue: O[],
  maxWrites: number,
): { batch: O[]; rest: O[] } {
  const transaction = new TransactionContents(maxWrites);
  let count = 0;
  for (const operation of queue) {
    if (count > 0 && !transaction.admits(operation)) break;
    transaction.add(operation);
    count++;
  }
  return { batch: queue.slice(0, count), rest: queue.slice(count) };
}

/**
 * The contents of a transaction so far. Each key is at most once in the conditions and at most once in the
 * writes.
 */
class TransactionContents {
  /** The version that the conditions require, by key. */
  private readonly versions = new Map<string, number>();
  private readonly writtenKeys = new Set<string>();
  private writes = 0;
  private bytes = 0;

  constructor(private readonly maxWrites: number) {}

  admits(operation: BatchedOperation): boolean {
    return !this.overlaps(operation) && this.hasRoomFor(operation);
  }

  add({ conditions, writes, bytes }: BatchedOperation): void {
    for (const { key, version } of conditions) this.versions.set(key, version);
    for (const write of writes) this.writtenKeys.add(writtenKey(write));
    this.writes += writes.length;
    this.bytes += bytes;
  }

  /**
   * All operations in a transaction are executed on the same state, so no operation may depend on a key that
   * another operation writes.
   */
  private overlaps({ conditions, writes }: BatchedOperation): boolean {
    const { versions, writtenKeys } = this;
    return (
      conditions.some(
        ({ key, version }) => (versions.get(key) ?? version) !== version || writtenKeys.has(key),
      ) || writes.some((write) => writtenKeys.has(writtenKey(write)) || versions.has(writtenKey(write)))
    );
  }

  private hasRoomFor({ conditions, writes, bytes }: BatchedOperation): boolean {
    const newKeys = conditions.filter(({ key }) => !this.versions.has(key)).length;
    return (
      this.writes + writes.length <= this.maxWrites &&
      this.versions.size + newKeys <= this.maxWrites * conditionsPerWrite &&
      this.bytes + bytes <= maxTransactionBytes
    );
  }
}
