/**
 * Passes the changes of the replica of the store, in a fixed order, to the modules whose state is derived
 * from the replica.
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

/** Applies each batch of changes of the replica to the modules whose state is derived from the replica. */
export class ReplicaChangeHandler {
  private isIndexLoaded = false;

  constructor(private readonly ports: ReplicaChangeHandlerPorts) {}

  /**
   * Applies a batch of changes to the cancellations first, then to the job index, and finally to the owned
   * blocks. The owned blocks read the job index, so the index must be updated before them.
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
   * Updates the job index. The first batch results from the initial load of the replica, so the job index
   * then loads the whole replica instead of the batch.
   */
  private indexJobs(changes: Change[]): void {
    const { jobIndex, replica } = this.ports;
    if (this.isIndexLoaded) jobIndex.applyChanges(changes);
    else jobIndex.load(replica);
    this.isIndexLoaded = true;
  }
}
