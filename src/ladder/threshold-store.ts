/**
 * Persists the ladder thresholds that the threshold tuners have moved, so that the next leader can load them.
 * A ladder contains the thresholds of demand at which the machines of one pool are rented.
 */
import type { Term } from '../leadership/term.js';
import type { Settings } from '../settings/settings.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { StoreReplica } from '../store/store-replica.js';
import { ladderKey, leaderKey } from '../wire/keys.js';
import { ladderRecord, parseLadder } from '../wire/ladder-records.js';
import type { Ladder, MovedThreshold } from './ladder.js';

/** The parts of the controller that the threshold store uses. */
export interface ThresholdStorePorts {
  replica: Pick<StoreReplica, 'get'>;
  commits: Pick<CommitQueue, 'commit'>;
  term: Pick<Term, 'fencingToken'>;
  settings: Pick<Settings, 'state'>;
}

/**
 * Loads and saves, for each pool, the ladder thresholds that have been moved from their initial values. A
 * save has no effect after another leader was elected.
 */
export class ThresholdStore {
  constructor(private readonly ports: ThresholdStorePorts) {}

  /** Returns the most recently saved thresholds of the pool, or an empty array if no record exists. */
  load(pool: string): MovedThreshold[] {
    return parseLadder(this.ports.replica.get(ladderKey(pool))?.value);
  }

  /**
   * Saves the moved thresholds of the pool. If a stored value cannot hold all moved thresholds, only the most
   * recently moved thresholds are saved. A failed commit is not retried, because all moved thresholds are
   * saved again after the next move.
   */
  async save(pool: string, ladder: Ladder): Promise<void> {
    const { commits, term, settings } = this.ports;
    const record = ladderRecord(ladder.movedThresholds, settings.state.valueBytes);
    await commits.commit(
      [{ key: leaderKey, version: term.fencingToken }],
      [{ put: ladderKey(pool), value: record }],
    );
  }
}
