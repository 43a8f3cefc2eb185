/** Persistence of the moved thresholds: they survive a change of leader. */
import type { Term } from '../leadership/term.js';
import type { Settings } from '../settings/settings.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { Mirror } from '../store/mirror.js';
import { ladderKey, leaderKey } from '../wire/keys.js';
import { ladderRecord, parseLadder } from '../wire/ladder-records.js';
import type { Ladder, MovedThreshold } from './ladder.js';

/** What the threshold store uses of the controller. */
export interface ThresholdStorePorts {
  mirror: Pick<Mirror, 'get'>;
  commits: Pick<CommitQueue, 'commit'>;
  term: Pick<Term, 'fencingToken'>;
  settings: Pick<Settings, 'state'>;
}

/** Loads and saves the moved thresholds of each pool; saving is conditioned on the leader's term. */
export class ThresholdStore {
  constructor(private readonly ports: ThresholdStorePorts) {}

  /** The thresholds of the pool as the last leader saved them; none where there is no record. */
  load(pool: string): MovedThreshold[] {
    return parseLadder(this.ports.mirror.get(ladderKey(pool))?.value);
  }

  /**
   * Saves the moved thresholds of the pool, as many of the last moved as a value holds. A failed commit is not repeated:
   * the next move saves them again.
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
