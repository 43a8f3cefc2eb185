/** Packs operations into one transaction within the limits of the state service. */
import { type Condition, maxTransactionBytes, type Write, writtenKey } from '../wire/state.js';

/** An operation as far as packing looks at it. */
export interface BatchedOperation {
  conditions: Condition[];
  writes: Write[];
  /** What it takes of a transaction, in the JSON form that limits are measured in. */
  bytes: number;
}

/** The service admits this many conditions for each write that a transaction may hold. */
const conditionsPerWrite = 4;

/**
 * The longest run of operations from the head of the queue that one transaction can hold. An operation too large for any
 * transaction goes out alone, and the service refuses it.
 *
 * @param queue operations in the order of their arrival
 * @param maxWrites writes that one transaction may hold
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

/** What a transaction holds so far: each key once in its conditions, and once in its writes. */
class TransactionContents {
  /** By key, the version that it is conditioned on. */
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

  /** Operations in one transaction see the same state: none may rest on what another one writes. */
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
