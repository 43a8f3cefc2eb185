/** Sends transactions to the state service: writes that are executed together if all conditions hold. */
import { sleep } from '../base/clock.js';
import type { HttpResponse } from '../base/http.js';
import { commitBody, type Condition, parseCommit, type Write, writtenKey } from '../wire/state.js';
import type { RequestPacing, TrafficClass } from './request-pacing.js';
import type { StoreConnection } from './store-connection.js';

/**
 * The result of a transaction. `refused`: the transaction was certainly not executed. `unknown`: the
 * transaction may have been executed, or may still be executed at any later time. Therefore a caller that
 * retries the transaction must rely on the transaction's conditions.
 */
export type CommitOutcome =
  | { kind: 'applied'; revision: number }
  /** `failed`: the keys whose conditions did not hold. */
  | { kind: 'conflict'; failed: string[]; revision: number }
  /**
   * The service refused the transaction because of the transaction's form or size, or because the lease for
   * one of the writes has ended. A retry without changes cannot succeed.
   */
  | { kind: 'malformed' }
  /** `rateLimited`: a rate limit was exceeded, so the transaction can be retried after a short time. */
  | { kind: 'refused'; rateLimited: boolean }
  | { kind: 'unknown' };

/** Counts of the writes and refusals of this controller's transactions. */
export interface ChangeCounts {
  /** The number of writes in answered transactions, by the first segment of the key. */
  changes: Record<string, number>;
  /** The number of transactions refused because a rate limit was exceeded. */
  refused: number;
  /**
   * The number of writes in transactions whose conditions did not hold. These writes count towards the rate
   * limits as well.
   */
  conflicts: number;
}

/** The parts of the store client that transactions use. */
export interface TransactionPorts {
  signal: AbortSignal;
  connection: Pick<StoreConnection, 'sendPaced'>;
  pacing: Pick<RequestPacing, 'writeWaitMs' | 'reserveWrites' | 'recordCommit'>;
}

/** Sends transactions and counts their writes. */
export class Transactions {
  private counts = emptyCounts();

  constructor(private readonly ports: TransactionPorts) {}

  /**
   * Executes the writes together if all conditions hold. The transaction is sent when the pacing admits the
   * writes. Never rejects. If the request gets no answer, the outcome is `unknown`. If the process stops
   * while the transaction waits for the pacing, the outcome is `refused`.
   */
  async commit(trafficClass: TrafficClass, conditions: Condition[], writes: Write[]): Promise<CommitOutcome> {
    const { signal, connection, pacing } = this.ports;
    let waited = false;
    if (writes.length > 0) {
      // The commit waits until the token buckets have recovered from the writes of earlier commits, and then
      // takes the tokens for its own writes, if necessary by going into debt. If the commit also waited for
      // the tokens of its own writes, the commit would be out of date when it is sent. There is no `await`
      // between the final check and the reservation, so no other commit can take the tokens in between.
      for (
        let waitMs = pacing.writeWaitMs(trafficClass);
        waitMs > 0;
        waitMs = pacing.writeWaitMs(trafficClass)
      ) {
        waited ||= trafficClass === 'intake';
        await sleep(waitMs, signal);
        if (signal.aborted) return { kind: 'refused', rateLimited: false };
      }
      pacing.reserveWrites(trafficClass, writes.length);
    }
    let answer: HttpResponse;
    try {
      answer = await connection.sendPaced(trafficClass, {
        operation: 'commit',
        method: 'POST',
        path: '/commit',
        body: commitBody(conditions, writes),
      });
    } catch {
      return { kind: 'unknown' };
    }
    this.count(answer.status, writes);
    if (writes.length > 0) pacing.recordCommit({ refused: answer.status === 429, waited });
    return outcomeOf(answer);
  }

  /** Returns the counts since the previous call, and resets the counts. */
  takeCounts(): ChangeCounts {
    const { counts } = this;
    this.counts = emptyCounts();
    return counts;
  }

  private count(status: number, writes: Write[]): void {
    const { counts } = this;
    if (status === 429) counts.refused++;
    if (status === 409) counts.conflicts += writes.length;
    for (const write of writes) {
      const firstSegment = writtenKey(write).split('/', 1)[0] ?? '';
      counts.changes[firstSegment] = (counts.changes[firstSegment] ?? 0) + 1;
    }
  }
}

function emptyCounts(): ChangeCounts {
  return { changes: {}, refused: 0, conflicts: 0 };
}

function outcomeOf({ status, body }: HttpResponse): CommitOutcome {
  switch (status) {
    case 200:
      return { kind: 'applied', revision: parseCommit(body).revision };
    case 409:
      return { kind: 'conflict', ...parseCommit(body) };
    case 400:
      return { kind: 'malformed' };
    case 429:
      return { kind: 'refused', rateLimited: true };
    case 503:
      return { kind: 'refused', rateLimited: false };
    default:
      return { kind: 'unknown' };
  }
}
