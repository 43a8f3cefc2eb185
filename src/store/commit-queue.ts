/**
 * Group commit: operations that are queued while a transaction is in flight are sent together in the next
 * transaction.
 */
import { Writable } from 'node:stream';

import { sleep } from '../base/clock.js';
import type { Settings } from '../settings/settings.js';
import { jsonSizeBytes } from '../wire/codec.js';
import type { Condition, Write } from '../wire/state.js';
import type { StoreClient } from './client.js';
import type { TrafficClass } from './request-pacing.js';
import { type BatchedOperation, takeBatch } from './transaction-batch.js';
import type { CommitOutcome } from './transactions.js';

/** The conditions and writes of one call of `commit`. The writes are executed together or not at all. */
interface Operation extends BatchedOperation {
  settle: (outcome: CommitOutcome) => void;
}

/**
 * Upper bound of the size of a key with its version, in bytes. Sizes refer to JSON, the form in which the
 * service measures a transaction.
 */
const bytesPerKey = 64;
/** Limit of retries of a transaction that is refused because of the rate limits. */
const maxRetries = 5;

/**
 * A queue of operations with one transaction in flight at a time. The bound of the queue is the high-water
 * mark of the stream. The queue accepts operations beyond this bound, so callers have to check `full`.
 */
export class CommitQueue extends Writable {
  /**
   * @param client sends the transactions
   * @param trafficClass the traffic class of all transactions
   * @param settings the limits of a transaction
   * @param signal when aborted, operations that are still queued are settled as refused
   * @param maxQueued the number of queued operations at which the queue is full
   */
  constructor(
    private readonly client: Pick<StoreClient, 'commit'>,
    private readonly trafficClass: TrafficClass,
    private readonly settings: Pick<Settings, 'state'>,
    private readonly signal: AbortSignal,
    maxQueued: number,
  ) {
    super({ objectMode: true, highWaterMark: maxQueued });
  }

  /** True while at least `maxQueued` operations are queued. */
  get full(): boolean {
    return this.writableLength >= this.writableHighWaterMark;
  }

  /**
   * Executes the writes together if all conditions hold. The operation may share a transaction with
   * operations of other callers, but does not fail because another operation conflicts or is malformed.
   *
   * @param conditions versions that keys must have
   * @param writes keys to put or delete
   * @param valueBytes upper bound of the size of the values in JSON; measured if it is not given
   * @returns the outcome of this operation; never rejects
   */
  commit(conditions: Condition[], writes: Write[], valueBytes?: number): Promise<CommitOutcome> {
    return new Promise((settle) => {
      const keyBytes = bytesPerKey * (conditions.length + writes.length);
      const bytes = keyBytes + (valueBytes ?? (writes.length > 0 ? jsonSizeBytes(writes) : 0));
      this.write({ conditions, writes, bytes, settle } satisfies Operation);
    });
  }

  /** Called by the stream with all operations that were queued during the previous call. */
  override _writev(chunks: { chunk: Operation }[], done: (error?: Error | null) => void): void {
    this.flush(chunks.map(({ chunk }) => chunk)).then(
      () => done(),
      (error: unknown) => done(error instanceof Error ? error : new Error(String(error))),
    );
  }

  private async flush(operations: Operation[]): Promise<void> {
    let remaining = operations;
    let retries = 0;
    while (remaining.length > 0) {
      if (this.signal.aborted) {
        settleAll(remaining, { kind: 'refused', rateLimited: false });
        return;
      }
      const { batch, rest } = takeBatch(remaining, this.settings.state.txnOps);
      const outcome = await this.client.commit(
        this.trafficClass,
        distinctConditions(batch),
        batch.flatMap(({ writes }) => writes),
      );
      if (outcome.kind === 'refused' && outcome.rateLimited && retries < maxRetries) {
        retries++;
        await sleep(this.retryDelayMs(batch, retries), this.signal);
        continue;
      }
      retries = 0;
      remaining = rest;
      if (outcome.kind === 'conflict' && batch.length > 1) {
        remaining = [...settleConflicting(batch, outcome), ...rest];
      } else if (outcome.kind === 'malformed' && batch.length > 1) {
        // The service does not report which operation is malformed. Each operation is sent in a separate
        // transaction, so that the other operations do not fail.
        await this.flushOneByOne(batch);
      } else settleAll(batch, outcome);
    }
  }

  private async flushOneByOne(batch: Operation[]): Promise<void> {
    for (const operation of batch) await this.flush([operation]);
  }

  /**
   * Returns the back-off in ms before a retry of the batch: the time in which the rate limits admit one such
   * transaction, multiplied by the number of the retry.
   */
  private retryDelayMs(batch: Operation[], retries: number): number {
    const { writeRps, rps } = this.settings.state;
    const writes = batch.reduce((sum, operation) => sum + operation.writes.length, 0);
    return (1000 / rps + (1000 * writes) / writeRps) * retries;
  }
}

/**
 * Returns the conditions of a batch, with each key once. The service counts every condition of a transaction,
 * so a condition that several operations have in common would be counted several times.
 */
function distinctConditions(batch: Operation[]): Condition[] {
  return [
    ...new Map(
      batch.flatMap(({ conditions }) => conditions).map((condition) => [condition.key, condition]),
    ).values(),
  ];
}

/**
 * Settles the operations whose conditions did not hold. Returns the other operations of the batch, which can
 * be retried.
 */
function settleConflicting(
  batch: Operation[],
  outcome: Extract<CommitOutcome, { kind: 'conflict' }>,
): Operation[] {
  const failed = new Set(outcome.failed);
  const hasFailed = (operation: Operation): boolean =>
    operation.conditions.some((condition) => failed.has(condition.key));
  const conflicting = batch.filter(hasFailed);
  if (conflicting.length === 0) {
    // The answer contains no key of the batch, so it does not show which operations could be retried.
    settleAll(batch, { kind: 'unknown' });
    return [];
  }
  settleAll(conflicting, outcome);
  return batch.filter((operation) => !hasFailed(operation));
}

function settleAll(operations: Operation[], outcome: CommitOutcome): void {
  for (const operation of operations) operation.settle(outcome);
}
