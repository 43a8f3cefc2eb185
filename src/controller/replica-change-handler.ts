/** Hands the changes of the replica on to those who keep state that is derived from it, in a fixed order. */
import type { OwnedBlocks } from '../blocks/owned-blocks.js';
import type { Cancellations } from '../intake/cancellations.js';
import type { JobIndex } from '../placement/job-index.js';
import type { Mirror } from '../store/mirror.js';
import { parseOutcome } from '../wire/job-records.js';
import { jobOfOutcomeKey } from '../wire/keys.js';
import type { Change } from '../wire/state.js';

/** Who hears of changes. */
export interface ReplicaChangeHandlerPorts {
  mirror: Mirror;
  cancellations: Pick<Cancellations, 'record'>;
  jobIndex: Pick<JobIndex, 'load' | 'applyChanges'>;
  ownedBlocks: Pick<OwnedBlocks, 'applyChanges'>;
}

/** Called with each batch of changes. */
export class ReplicaChangeHandler {
  private isIndexLoaded = false;

  constructor(private readonly ports: ReplicaChangeHandlerPorts) {}

  /** Cancellations first, then the job index, then the blocks, which read the index. */
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

  /** The first changes are those of the replica's first load, which the index reads as a whole. */
  private indexJobs(changes: Change[]): void {
    const { jobIndex, mirror } = this.ports;
    if (this.isIndexLoaded) jobIndex.applyChanges(changes);
    else jobIndex.load(mirror);
    this.isIndexLoaded = true;
  }
}
