/** Packs operations into one transaction within the limits of the state service. */
import { type Condition, maxTransactionBytes, type Write, writtenKey } from '../wire/state.js';

/** The parts of an operation that determine whether it fits into a transaction. */
export interface BatchedOperation {
  conditions: Condition[];
  writes: Write[];
  /**
   * The size in bytes by which the operation enlarges the JSON form of a transaction. The service limits the
   * size of this form.
   */
  bytes: number;
}

/** The limit of conditions in a transaction, as a multiple of the limit of writes. */
const conditionsPerWrite = 4;

/**
 * Takes operations from the head of the queue until the next operation does not fit into the transaction. An
 * operation that is too large for any transaction is sent alone, and the service refuses it.
 *
 * @param queue operations in the order of their arrival
 * @param maxWrites limit of writes in one transaction
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
 * The operations that have been added to a transaction so far. The conditions require at most one version of
 * each key, and each key is written at most once.
 */
class TransactionContents {
  /** The versions that the conditions require, by key. */
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
   * All operations in a transaction are executed on the same state of the store. Therefore an operation that
   * requires or writes a key must not share a transaction with another operation that writes this key.
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
