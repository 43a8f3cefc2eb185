/** Reads the outcomes of ended jobs that the replica of the store lacks after a restart of the controller. */
import type { MachineState } from '../placement/machine-state.js';
import { jobsWithUnreadOutcome, type OutcomeLookup } from './cancelled-tasks.js';

/** Dependencies of the reads on the rest of the controller. */
export interface MissingOutcomesPorts {
  /** Looks up outcomes of jobs in the replica of the store. */
  outcomeOf: OutcomeLookup;
  /** Reads the outcome of a job from the store into the replica. Resolves even if the read fails. */
  readOutcome: (jobId: string) => Promise<void>;
}

/**
 * Reads the outcomes that tell by when machines must be released because of tasks of cancelled jobs. A ledger
 * shows that a task belongs to an ended job, but not since when.
 */
export class MissingOutcomes {
  private readonly jobsInFlight = new Set<string>();

  constructor(private readonly ports: MissingOutcomesPorts) {}

  /**
   * Starts to read the missing outcomes of jobs with tasks on these machines, without waiting for the reads.
   * Called at each check of the machines, so a failed read is retried.
   */
  read(machines: Iterable<MachineState>): void {
    for (const machine of machines) {
      for (const job of jobsWithUnreadOutcome(machine, this.ports.outcomeOf)) void this.readOutcome(job);
    }
  }

  private async readOutcome(job: string): Promise<void> {
    if (this.jobsInFlight.has(job)) return;
    this.jobsInFlight.add(job);
    await this.ports.readOutcome(job);
    this.jobsInFlight.delete(job);
  }
}
