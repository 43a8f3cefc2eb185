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
  /** Monotonic time in ms at which the outcome was first found to be missing, by job id. */
  private missingSince = new Map<string, number>();

  constructor(private readonly ports: MissingOutcomesPorts) {}

  /**
   * Starts to read the missing outcomes of jobs with tasks on these machines, without waiting for the reads.
   * Called at each check of the machines, so a failed read is retried. `now` is a monotonic time in ms.
   */
  read(machines: Iterable<MachineState>, now: number): void {
    const missing = [...machines].flatMap((machine) => jobsWithUnreadOutcome(machine, this.ports.outcomeOf));
    this.missingSince = new Map(missing.map((job) => [job, this.missingSince.get(job) ?? now]));
    for (const job of this.missingSince.keys()) void this.readOutcome(job);
  }

  /** Returns for how long the outcome of the job has been missing, in ms; 0 if it is not missing. */
  unreadForMs(job: string, now: number): number {
    return now - (this.missingSince.get(job) ?? now);
  }

  private async readOutcome(job: string): Promise<void> {
    if (this.jobsInFlight.has(job)) return;
    this.jobsInFlight.add(job);
    await this.ports.readOutcome(job);
    this.jobsInFlight.delete(job);
  }
}
