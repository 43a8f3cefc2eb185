/** Creates the queues in which commits of this controller wait until they are sent to the store. */
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import { CommitQueue } from '../store/commit-queue.js';
import type { TrafficClass } from '../store/request-pacing.js';

/**
 * One commit queue for each kind of work, so that commits of one kind do not wait behind a burst of another
 * kind.
 */
export interface CommitQueues {
  /**
   * Commits to the ledgers and records of the blocks that this controller owns, of its membership records, of
   * its candidacies in elections, and of cancellations of jobs whose dependencies were cancelled. A ledger
   * records the tasks of one block and their states.
   */
  duty: CommitQueue;
  /**
   * Commits that only the leader makes. All blocks depend on the leader's commits. These commits therefore do
   * not queue behind the ledger commits of a single block.
   */
  leader: CommitQueue;
  /** Commits of submissions and cancellations by users. */
  intake: CommitQueue;
  /**
   * Transactions without writes. Before a job status is returned to a user, such a transaction confirms it by
   * comparing versions of records in the store.
   */
  confirm: CommitQueue;
}

/** Capacity of each queue, as a multiple of the maximum number of operations in one transaction. */
const capacityTransactions = { duty: 4, leader: 4, intake: 4, confirm: 8 };

/**
 * Creates the commit queues of one controller. When the signal fires, the queues refuse all waiting commits.
 */
export function createCommitQueues(
  store: Pick<StoreClient, 'commit'>,
  settings: Settings,
  signal: AbortSignal,
): CommitQueues {
  const createQueue = (traffic: TrafficClass, transactions: number): CommitQueue =>
    new CommitQueue(store, traffic, settings, signal, transactions * settings.state.txnOps);
  return {
    duty: createQueue('duty', capacityTransactions.duty),
    leader: createQueue('duty', capacityTransactions.leader),
    intake: createQueue('intake', capacityTransactions.intake),
    confirm: createQueue('confirm', capacityTransactions.confirm),
  };
}

/** Returns the number of operations that wait in each commit queue. */
export function queueLengths(
  queues: Record<keyof CommitQueues, Pick<CommitQueue, 'writableLength'>>,
): Record<keyof CommitQueues, number> {
  return {
    duty: queues.duty.writableLength,
    leader: queues.leader.writableLength,
    intake: queues.intake.writableLength,
    confirm: queues.confirm.writableLength,
  };
}
