import { Writable } from 'node:stream';
import { sleep } from '../base/clock.js';
import type { Settings } from '../settings/settings.js';
import { sizeOf } from '../wire/codec.js';
import { type Condition, type Write, maxTransactionBytes, writtenKey } from '../wire/state.js';
import type { StoreClient } from './client.js';
import type { TrafficClass } from './request-pacing.js';
import type { CommitOutcome } from './transactions.js';

interface Operation {
  conditions: Condition[];
  writes: Write[];
  bytes: number;
  settle: (outcome: CommitOutcome) => void;
}

/** Worst case of a key with its version, in the JSON form that limits are measured in. */
const bytesPerKey = 64;
const conditionsPerOperation = 4;
const maxRetries = 5;

/**
 * Group commit: what arrives while one transaction is on its way goes out together in the next. The stream's
 * buffer is the stage's bound; a stage that is `full` holds back whoever feeds it.
 */
export class CommitQueue extends Writable {
  constructor(
    private readonly client: Pick<StoreClient, 'commit'>,
    private readonly lane: TrafficClass,
    private readonly settings: Settings,
    private readonly signal: AbortSignal,
    bound: number,
  ) {
    super({ objectMode: true, highWaterMark: bound });
  }

  get full(): boolean {
    return this.writableLength >= this.writableHighWaterMark;
  }

  /** `valueBytes`: what the values take at the most, where that is known without measuring them. */
  commit(conditions: Condition[], writes: Write[], valueBytes?: number): Promise<CommitOutcome> {
    return new Promise((settle) => {
      const framing = bytesPerKey * (conditions.length + writes.length);
      const bytes = framing + (valueBytes ?? (writes.length > 0 ? sizeOf(writes) : 0));
      this.write({ conditions, writes, bytes, settle } satisfies Operation);
    });
  }

  override _writev(chunks: { chunk: Operation }[], done: (error?: Error | null) => void): void {
    this.flush(chunks.map((c) => c.chunk)).then(
      () => done(),
      (error: unknown) => done(error instanceof Error ? error : new Error(String(error))),
    );
  }

  private async flush(operations: Operation[]): Promise<void> {
    let queue = operations;
    let retries = 0;
    while (queue.length > 0) {
      if (this.signal.aborted) {
        for (const operation of queue) operation.settle({ kind: 'refused', rateLimited: false });
        return;
      }
      const { batch, rest } = takeBatch(queue, this.settings.state.txnOps);
      const outcome = await this.client.commit(
        this.lane,
        // The service counts every condition that it is sent, also one that several operations share.
        [...new Map(batch.flatMap((o) => o.conditions).map((c) => [c.key, c])).values()],
        batch.flatMap((o) => o.writes),
      );
      if (outcome.kind === 'refused' && outcome.rateLimited && retries++ < maxRetries) {
        const { writeRps, rps } = this.settings.state;
        const changes = batch.reduce((sum, o) => sum + o.writes.length, 0);
        await sleep((1000 / rps + (1000 * changes) / writeRps) * retries, this.signal);
        continue;
      }
      retries = 0;
      queue = rest;
      if (outcome.kind === 'conflict' && batch.length > 1) {
        // One operation's conflict must not fail its neighbours: they go again without it.
        const failed = new Set(outcome.failed);
        const conflicting = batch.filter((o) => o.conditions.some((c) => failed.has(c.key)));
        for (const operation of conflicting) operation.settle(outcome);
        queue = [...batch.filter((o) => !conflicting.includes(o)), ...rest];
        if (conflicting.length === 0) {
          for (const operation of batch) operation.settle({ kind: 'unknown' });
          queue = rest;
        }
        continue;
      }
      if (outcome.kind === 'malformed' && batch.length > 1) {
        // One of them is at fault, and the service does not say which: the others must not fail with it.
        await this.flushOneByOne(batch);
        continue;
      }
      for (const operation of batch) operation.settle(outcome);
    }
  }

  private async flushOneByOne(batch: Operation[]): Promise<void> {
    for (const operation of batch) await this.flush([operation]);
  }
}

/** The longest run of operations that one transaction can hold; a key is conditioned and written only once. */
export function takeBatch<O extends Pick<Operation, 'conditions' | 'writes' | 'bytes'>>(
  queue: O[],
  txnOps: number,
): { batch: O[]; rest: O[] } {
  const batch: O[] = [];
  const rest: O[] = [];
  const versions = new Map<string, number>();
  const writtenKeys = new Set<string>();
  let writes = 0;
  let bytes = 0;
  for (const operation of queue) {
    const newKeys = operation.conditions.filter((c) => !versions.has(c.key)).length;
    const conflicts =
      operation.conditions.some(
        (c) => (versions.get(c.key) ?? c.version) !== c.version || writtenKeys.has(c.key),
      ) || operation.writes.some((w) => writtenKeys.has(writtenKey(w)) || versions.has(writtenKey(w)));
    const fits =
      writes + operation.writes.length <= txnOps &&
      versions.size + newKeys <= txnOps * conditionsPerOperation &&
      bytes + operation.bytes <= maxTransactionBytes;
    // An operation too large for any transaction still goes out, alone, and is refused by the service.
    if (batch.length > 0 && (conflicts || !fits || rest.length > 0)) {
      rest.push(operation);
      continue;
    }
    batch.push(operation);
    for (const c of operation.conditions) versions.set(c.key, c.version);
    for (const w of operation.writes) writtenKeys.add(writtenKey(w));
    writes += operation.writes.length;
    bytes += operation.bytes;
  }
  return { batch, rest };
}
