/** The queues in which commits of this controller wait until they are sent to the store. */
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import { CommitQueue } from '../store/commit-queue.js';
import type { TrafficClass } from '../store/request-pacing.js';

/**
 * One queue for each kind of work, so that commits of one kind do not wait behind a burst of another kind.
 */
export interface CommitQueues {
  /** Commits of ledgers, of the blocks that this controller owns, and of its membership. */
  duty: CommitQueue;
  /**
   * Commits that only the leader makes. All blocks wait for these commits, so they do not queue behind the
   * ledger pages of a single block.
   */
  leader: CommitQueue;
  /** Submissions and cancellations by users. */
  intake: CommitQueue;
  /**
   * Transactions without writes: each confirms a job status by comparison before the status is returned to a
   * user.
   */
  confirm: CommitQueue;
}

/** Capacity of each queue, as a multiple of the maximum number of operations in one transaction. */
const capacityTransactions = { duty: 4, leader: 4, intake: 4, confirm: 8 };

/** Creates the queues of one controller. When the signal fires, the queues refuse all waiting commits. */
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

/** Number of operations that wait in each queue. */
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
