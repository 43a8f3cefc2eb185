/** One rented machine as the owner of its block sees it. */
import type { MachineType, ReportedTask, Resources } from '../model/types.js';
import type { Task } from './job-state.js';

/** Zone of a machine that a ledger names and no block's record does: it may be anywhere. */
export const unknownZone = '';

/** Type of such a machine; the cloud has none by this name. */
const unknownType = '';

/** What the block's record says of a machine. */
export interface MachineInfo {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** Why the owner of a block has decided to terminate a machine. */
export type ReleaseReason = 'never-started' | 'one-way-partition' | 'faulty' | 'silent';

/** A task that a machine has and should not have. */
export interface OrphanedTask {
  task: ReportedTask;
  need: Resources;
  /** Unknown if the block has no record of its job. */
  team: string | undefined;
}

/** A machine on which tasks of so many jobs have failed is taken for faulty: one job's failures say little of it. */
const faultyAfterFailedJobs = 2;

/** What the block's record, the machine's heartbeats and the placing of tasks say of a machine. Times are steady, in ms. */
export class MachineState {
  info: MachineInfo;
  /** Entitles us to command the machine; a worker that has seen it drops commands with a lower one. */
  fencingToken = 0;
  /** Address of its worker, empty before the first heartbeat. */
  address = '';
  /** Agent epoch and sequence of the latest heartbeat; epochs grow with each start of a worker, sequences within one. */
  agentEpoch = 0;
  sequence = -1;
  /** Its last heartbeat carried our fencing token: what it says of tasks counts as truth. */
  reconciled = false;
  /** When a heartbeat without our fencing token was first responded to; undefined again once a heartbeat has carried it. */
  fencingTokenOfferedAt: number | undefined;
  /** It has sent a heartbeat to this owner. */
  hasSentHeartbeat = false;
  firstHeartbeatAt = 0;
  /** To be terminated or leased to another block: nothing more is placed on it. */
  draining = false;
  /** Nothing more is placed on it, and it is terminated once it is empty. */
  faulty = false;
  /** Set once its termination has been decided; the cloud's response will be the proof that it is gone. */
  releaseReason: ReleaseReason | undefined;
  /** Seconds until the cloud takes it back, from when its worker was told; null unless it has been. */
  preemptionNoticeS: number | null = null;
  /** Time of day of its rental in ms. */
  rentedAt = 0;
  /** The last heartbeat, or when we began to expect one. */
  lastHeartbeatAt: number;
  readonly leasedAt: number;
  /** Set while the response to its heartbeat is held: sends it, with whatever there is to say by then. */
  sendHeldResponse: (() => void) | undefined;
  /** When its worker was last told to forget anything. */
  lastForgetAt = 0;
  /** Tasks that are on it, or that it may have been told to start, or that are about to be placed on it. */
  readonly tasks = new Map<string, Task>();
  /** Reported tasks that it should not have: they take room until they are gone. */
  orphanedTasks: OrphanedTask[] = [];
  /** Images that it has fetched. */
  readonly cachedImages = new Set<string>();
  private readonly failedJobs = new Set<string>();

  constructor(id: string, now: number) {
    this.info = { id, type: unknownType, zone: unknownZone, spot: false };
    this.lastHeartbeatAt = now;
    this.leasedAt = now;
  }

  /** Name of the machine in the cloud. */
  get id(): string {
    return this.info.id;
  }

  /** Takes over the token of a lease; with another one than before, the machine has to be reconciled again. */
  setFencingToken(fencingToken: number): void {
    if (fencingToken === this.fencingToken) return;
    this.fencingToken = fencingToken;
    this.reconciled = false;
    this.fencingTokenOfferedAt = undefined;
  }

  /** Whether tasks may be placed on it, if its last heartbeat is no older than this. */
  isUsable(now: number, maxHeartbeatAgeMs: number): boolean {
    return (
      this.reconciled &&
      this.releaseReason === undefined &&
      !this.draining &&
      !this.faulty &&
      this.preemptionNoticeS === null &&
      now - this.lastHeartbeatAt < maxHeartbeatAgeMs
    );
  }

  /** A task of the job has failed on the machine. */
  noteFailedJob(job: string): void {
    this.failedJobs.add(job);
    if (this.failedJobs.size >= faultyAfterFailedJobs) this.faulty = true;
  }

  /** The controller was held up for so long itself: that time counts neither as silence nor as disobedience. */
  addGrace(graceMs: number): void {
    this.lastHeartbeatAt += graceMs;
    if (this.fencingTokenOfferedAt !== undefined) this.fencingTokenOfferedAt += graceMs;
    for (const task of this.tasks.values()) if (task.startSentAt !== undefined) task.startSentAt += graceMs;
  }

  /**
   * Since when it has sent heartbeats without doing what it was told: its requests reach us and our responses do not reach
   * it. Such a machine would take tasks for ever and start none.
   */
  oneWayPartitionSince(): number | undefined {
    let since = this.reconciled ? undefined : this.fencingTokenOfferedAt;
    for (const { phase, startSentAt } of this.tasks.values()) {
      if (phase === 'placed' && startSentAt !== undefined)
        since = Math.min(since ?? startSentAt, startSentAt);
    }
    return since;
  }

  /** What of it is left beside its tasks and orphaned tasks; below 0 if it has too many. */
  freeResources(machineType: MachineType): Resources {
    let { cpus, accelerators, memoryGb } = machineType;
    const subtract = (need: Resources): void => {
      cpus -= need.cpus;
      accelerators -= need.accelerators;
      memoryGb -= need.memoryGb;
    };
    for (const task of this.tasks.values()) subtract(task.job.need);
    for (const orphan of this.orphanedTasks) subtract(orphan.need);
    return { cpus, accelerators, memoryGb };
  }
}
