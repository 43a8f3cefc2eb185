/** The queues in which this controller's commits wait for their turn. */
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import { CommitQueue } from '../store/commit-queue.js';
import type { TrafficClass } from '../store/request-pacing.js';

/** One queue for each kind of work, so that none waits behind a burst of another. */
export interface CommitQueues {
  /** Ledgers, blocks of our own, membership. */
  duty: CommitQueue;
  /** What only the leader commits: all blocks wait for it, so it does not queue behind the ledger pages of one. */
  leader: CommitQueue;
  /** What users submit and cancel. */
  intake: CommitQueue;
  /** Comparisons that confirm what users are told. */
  confirm: CommitQueue;
}

/** Capacity of the queues, as multiples of the operations that one transaction can hold. */
const capacityTransactions = { duty: 4, leader: 4, intake: 4, confirm: 8 };

/** Makes the queues of one controller; they drop what waits when the signal fires. */
export function createCommitQueues(
  store: Pick<StoreClient, 'commit'>,
  settings: Settings,
  signal: AbortSignal,
): CommitQueues {
  const queue = (traffic: TrafficClass, transactions: number): CommitQueue =>
    new CommitQueue(store, traffic, settings, signal, transactions * settings.state.txnOps);
  return {
    duty: queue('duty', capacityTransactions.duty),
    leader: queue('duty', capacityTransactions.leader),
    intake: queue('intake', capacityTransactions.intake),
    confirm: queue('confirm', capacityTransactions.confirm),
  };
}

/** How many operations wait in each queue. */
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
