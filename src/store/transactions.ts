/** Transactions of the state service: writes that are carried out together if all conditions hold. */
import { sleep } from '../base/clock.js';
import type { Answer } from '../base/http.js';
import { commitBody, type Condition, parseCommit, type Write, writtenKey } from '../wire/state.js';
import type { RequestPacing, TrafficClass } from './request-pacing.js';
import type { StoreConnection } from './store-connection.js';

/**
 * The result of a transaction. `refused`: certainly not executed. `unknown`: may have been executed, or may yet be, at any
 * later time; whoever repeats it relies on its conditions.
 */
export type CommitOutcome =
  | { kind: 'applied'; revision: number }
  /** `failed`: the keys whose conditions did not hold. */
  | { kind: 'conflict'; failed: string[]; revision: number }
  /** Refused for its form or size, or for a lease that has ended: repeating it as it is helps nothing. */
  | { kind: 'malformed' }
  /** `rateLimited`: over the limits, so worth a repetition in a moment. */
  | { kind: 'refused'; rateLimited: boolean }
  | { kind: 'unknown' };

/** What the writes of this controller were spent on. */
export interface ChangeCounts {
  /** Writes asked for, by the first part of the key. */
  changes: Record<string, number>;
  /** Transactions refused for the limits. */
  refused: number;
  /** Writes of transactions whose conditions did not hold: they count towards the limits as well. */
  conflicts: number;
}

/** What transactions need. */
export interface TransactionPorts {
  signal: AbortSignal;
  connection: Pick<StoreConnection, 'sendInTurn'>;
  pacing: Pick<RequestPacing, 'writeWaitMs' | 'reserveWrites' | 'recordCommit'>;
}

/** Sends transactions and counts their writes. */
export class Transactions {
  private counts = emptyCounts();

  constructor(private readonly ports: TransactionPorts) {}

  /**
   * Executes the writes together if all conditions hold, once the writes have their turn. Never rejects: a request
   * without an answer is `unknown`, and one that never went out as the process stops is `refused`.
   */
  async commit(trafficClass: TrafficClass, conditions: Condition[], writes: Write[]): Promise<CommitOutcome> {
    const { signal, connection, pacing } = this.ports;
    let waited = false;
    if (writes.length > 0) {
      // Waits for what was spent before and spends ahead: a commit that waited for its own writes to be earned would
      // be out of date by the time it went. Nothing is awaited between the last look and the reservation.
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
    let answer: Answer;
    try {
      answer = await connection.sendInTurn(trafficClass, {
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

  /** The counts since this was last called. */
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
      const root = writtenKey(write).split('/', 1)[0] ?? '';
      counts.changes[root] = (counts.changes[root] ?? 0) + 1;
    }
  }
}

function emptyCounts(): ChangeCounts {
  return { changes: {}, refused: 0, conflicts: 0 };
}

function outcomeOf({ status, body }: Answer): CommitOutcome {
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
