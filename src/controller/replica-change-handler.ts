/**
 * Passes the changes of the replica, in a fixed order, to the modules whose state is derived from the
 * replica.
 */
import type { OwnedBlocks } from '../blocks/owned-blocks.js';
import type { Cancellations } from '../intake/cancellations.js';
import type { JobIndex } from '../placement/job-index.js';
import type { StoreReplica } from '../store/store-replica.js';
import { parseOutcome } from '../wire/job-records.js';
import { jobOfOutcomeKey } from '../wire/keys.js';
import type { Change } from '../wire/state.js';

/** The modules that receive the changes. */
export interface ReplicaChangeHandlerPorts {
  replica: StoreReplica;
  cancellations: Pick<Cancellations, 'record'>;
  jobIndex: Pick<JobIndex, 'load' | 'applyChanges'>;
  ownedBlocks: Pick<OwnedBlocks, 'applyChanges'>;
}

/** Applies each batch of changes of the replica to the modules derived from it. */
export class ReplicaChangeHandler {
  private isIndexLoaded = false;

  constructor(private readonly ports: ReplicaChangeHandlerPorts) {}

  /**
   * Applies a batch of changes: to the cancellations first, then to the job index, then to the owned blocks,
   * which read the job index.
   */
  apply(changes: Change[]): void {
    this.recordCancellations(changes);
    this.indexJobs(changes);
    this.ports.ownedBlocks.applyChanges(changes);
  }

  private recordCancellations(changes: Change[]): void {
    for (const change of changes) {
      const id = jobOfOutcomeKey(change.key);
      if (id === undefined || parseOutcome(change.value)?.outcome !== 'cancelled') continue;
      this.ports.cancellations.record(id, change.version);
    }
  }

  /**
   * The first batch is the initial load of the replica: the job index then loads the whole replica instead of
   * the batch.
   */
  private indexJobs(changes: Change[]): void {
    const { jobIndex, replica } = this.ports;
    if (this.isIndexLoaded) jobIndex.applyChanges(changes);
    else jobIndex.load(replica);
    this.isIndexLoaded = true;
  }
}
