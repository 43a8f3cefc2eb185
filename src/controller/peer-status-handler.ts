/** Applies the statuses that peers (the other controllers) send. */
import type { BootedMachines } from '../blocks/booted-machines.js';
import type { Term } from '../leadership/term.js';
import type { StoreReplica } from '../store/store-replica.js';
import { outcomeRecord } from '../wire/job-records.js';
import { outcomeKey } from '../wire/keys.js';
import type { PeerStatus } from '../wire/peer-status.js';
import type { LeaderDuties } from './leader-duties.js';

/** The modules to which the contents of a status are passed. */
export interface PeerStatusHandlerPorts {
  bootedMachines: Pick<BootedMachines, 'markBooted'>;
  leaderDuties: Pick<LeaderDuties, 'markTerminated'>;
  /** Returns the term of this controller, or undefined if this controller does not lead. */
  term: () => Pick<Term, 'fencingToken' | 'end'> | undefined;
  replica: Pick<StoreReplica, 'recordOutcome'>;
}

/** Applies statuses of peers in the order in which they are received. */
export class PeerStatusHandler {
  constructor(private readonly ports: PeerStatusHandlerPorts) {}

  /**
   * Records the machine events and cancellations listed in the status. If this controller leads and the
   * status contains a higher fencing token than its own, the term of this controller ends.
   */
  apply(status: PeerStatus): void {
    const { bootedMachines, leaderDuties, replica } = this.ports;
    bootedMachines.markBooted(status.bootedMachines);
    leaderDuties.markTerminated(status.terminatedMachines);
    const term = this.ports.term();
    if (term && status.fencingToken > term.fencingToken) term.end({ kind: 'superseded', by: status.from });
    for (const [id, version] of status.cancelled) {
      const value = outcomeRecord({ outcome: 'cancelled', tasks: 0 });
      replica.recordOutcome(outcomeKey(id), { value, version });
    }
  }
}
