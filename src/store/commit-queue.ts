/** Group commit: operations that arrive while one transaction is under way go out together in the next. */
import { Writable } from 'node:stream';

import { sleep } from '../base/clock.js';
import type { Settings } from '../settings/settings.js';
import { sizeOf } from '../wire/codec.js';
import type { Condition, Write } from '../wire/state.js';
import type { StoreClient } from './client.js';
import type { TrafficClass } from './request-pacing.js';
import { type BatchedOperation, takeBatch } from './transaction-batch.js';
import type { CommitOutcome } from './transactions.js';

/** One caller's conditions and writes, executed together or not at all. */
interface Operation extends BatchedOperation {
  settle: (outcome: CommitOutcome) => void;
}

/** Worst case of a key with its version, in the JSON form that limits are measured in. */
const bytesPerKey = 64;
/** How often a transaction over the limits is repeated. */
const maxRetries = 5;

/**
 * A queue of operations with one transaction under way at a time. The stream's buffer is the queue's bound: who feeds a
 * queue that is `full` holds back by itself, since nothing is turned away.
 */
export class CommitQueue extends Writable {
  /**
   * @param client sends the transactions
   * @param trafficClass of all transactions
   * @param settings the limits of a transaction
   * @param signal once it fires, what is still queued is refused
   * @param maxQueued operations that make the queue full
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

  /** True while as many operations are queued as the bound allows. */
  get full(): boolean {
    return this.writableLength >= this.writableHighWaterMark;
  }

  /**
   * Executes the writes together if all conditions hold. An operation of another caller never makes this one fail.
   *
   * @param conditions versions that keys must have
   * @param writes what to put or delete
   * @param valueBytes the most that the values take in JSON, where that is known without measuring them
   * @returns the operation's own outcome; never rejects
   */
  commit(conditions: Condition[], writes: Write[], valueBytes?: number): Promise<CommitOutcome> {
    return new Promise((settle) => {
      const framing = bytesPerKey * (conditions.length + writes.length);
      const bytes = framing + (valueBytes ?? (writes.length > 0 ? sizeOf(writes) : 0));
      this.write({ conditions, writes, bytes, settle } satisfies Operation);
    });
  }

  /** Called by the stream with all that was queued while the last transactions were under way. */
  override _writev(chunks: { chunk: Operation }[], done: (error?: Error | null) => void): void {
    this.flush(chunks.map(({ chunk }) => chunk)).then(
      () => done(),
      (error: unknown) => done(error instanceof Error ? error : new Error(String(error))),
    );
  }

  private async flush(operations: Operation[]): Promise<void> {
    let queue = operations;
    let retries = 0;
    while (queue.length > 0) {
      if (this.signal.aborted) {
        settleAll(queue, { kind: 'refused', rateLimited: false });
        return;
      }
      const { batch, rest } = takeBatch(queue, this.settings.state.txnOps);
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
      queue = rest;
      if (outcome.kind === 'conflict' && batch.length > 1) {
        queue = [...settleConflicting(batch, outcome), ...rest];
      } else if (outcome.kind === 'malformed' && batch.length > 1) {
        // One of them is at fault, and the service does not say which: the others must not fail with it.
        await this.flushOneByOne(batch);
      } else settleAll(batch, outcome);
    }
  }

  private async flushOneByOne(batch: Operation[]): Promise<void> {
    for (const operation of batch) await this.flush([operation]);
  }

  /** As long as the limits need to admit the batch, and longer with every retry. */
  private retryDelayMs(batch: Operation[], retries: number): number {
    const { writeRps, rps } = this.settings.state;
    const writes = batch.reduce((sum, operation) => sum + operation.writes.length, 0);
    return (1000 / rps + (1000 * writes) / writeRps) * retries;
  }
}

/** The service counts every condition that it is sent, also one that several operations share. */
function distinctConditions(batch: Operation[]): Condition[] {
  return [
    ...new Map(
      batch.flatMap(({ conditions }) => conditions).map((condition) => [condition.key, condition]),
    ).values(),
  ];
}

/** Settles the operations whose own conditions failed and returns the others, which go again without them. */
function settleConflicting(
  batch: Operation[],
  outcome: Extract<CommitOutcome, { kind: 'conflict' }>,
): Operation[] {
  const failed = new Set(outcome.failed);
  const hasFailed = (operation: Operation): boolean =>
    operation.conditions.some((condition) => failed.has(condition.key));
  const conflicting = batch.filter(hasFailed);
  if (conflicting.length === 0) {
    // The answer names none of their keys, so it does not tell which of them could go again.
    settleAll(batch, { kind: 'unknown' });
    return [];
  }
  settleAll(conflicting, outcome);
  return batch.filter((operation) => !hasFailed(operation));
}

function settleAll(operations: Operation[], outcome: CommitOutcome): void {
  for (const operation of operations) operation.settle(outcome);
}
