/** The state of one rented machine, as seen by the controller that owns its block. */
import type { MachineType, ReportedTask, Resources } from '../model/types.js';
import type { Task } from './job-state.js';

/** Zone of a machine that only a ledger names and no block's record: the machine may be in any zone. */
export const unknownZone = '';

/** Type of a machine that only a ledger names; no type of the cloud has this name. */
const unknownType = '';

/** The properties of a machine in the block's record. */
export interface MachineInfo {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** Why the owner of a block has decided to terminate a machine. */
export type ReleaseReason = 'never-started' | 'one-way-partition' | 'faulty' | 'silent';

/** A task that a machine reports but that is not assigned to the machine. */
export interface OrphanedTask {
  task: ReportedTask;
  need: Resources;
  /** Undefined if the block has no record of the task's job. */
  team: string | undefined;
}

/**
 * Number of jobs with failed tasks on a machine at which the machine is considered faulty. Failures of a
 * single job do not count as evidence against the machine.
 */
const faultyAfterFailedJobs = 2;

/**
 * State of a machine from the block's record, the machine's heartbeats and the placement of tasks. Times are
 * monotonic, in ms.
 */
export class MachineState {
  info: MachineInfo;
  /**
   * Token that authorizes commands to the machine. A worker drops commands with a lower token than it has
   * seen.
   */
  fencingToken = 0;
  /** Address of the machine's worker; empty before the first heartbeat. */
  address = '';
  /**
   * Agent epoch and sequence number of the latest heartbeat. The epoch grows with each start of the worker,
   * the sequence number with each heartbeat within an epoch.
   */
  agentEpoch = 0;
  sequence = -1;
  /** The latest heartbeat carried this owner's fencing token, so its list of tasks is authoritative. */
  reconciled = false;
  /**
   * When this controller first responded to a heartbeat without its fencing token. Reset to undefined by a
   * heartbeat with the token.
   */
  fencingTokenOfferedAt: number | undefined;
  /** Whether this owner has received a heartbeat of the machine. */
  hasSentHeartbeat = false;
  firstHeartbeatAt = 0;
  /** The machine is to be terminated or leased to another block; no more tasks are placed on it. */
  draining = false;
  /** No more tasks are placed on the machine, and it is terminated once it is empty. */
  faulty = false;
  /**
   * Set once the termination of the machine is decided. The cloud's response will be the proof that the
   * machine is gone.
   */
  releaseReason: ReleaseReason | undefined;
  /**
   * Seconds until the cloud reclaims the spot machine, counted from the notice to its worker; null without a
   * notice.
   */
  preemptionNoticeS: number | null = null;
  /** Time of day in ms at which the machine was rented. */
  rentedAt = 0;
  /** When the latest heartbeat was received or, before the first, when this owner began to expect one. */
  lastHeartbeatAt: number;
  readonly leasedAt: number;
  /**
   * Sends the response to the machine's heartbeat, with the commands that are due by then. Set only while the
   * response is held open.
   */
  sendHeldResponse: (() => void) | undefined;
  /** When the worker last received a `forget` command. */
  lastForgetAt = 0;
  /**
   * Tasks that are on the machine, that it may have received the command to start, or that are about to be
   * placed on it.
   */
  readonly tasks = new Map<string, Task>();
  /** Reported tasks that are not assigned to the machine. They use its resources until they are gone. */
  orphanedTasks: OrphanedTask[] = [];
  /** Images that the machine has fetched. */
  readonly cachedImages = new Set<string>();
  private readonly failedJobs = new Set<string>();

  constructor(id: string, now: number) {
    this.info = { id, type: unknownType, zone: unknownZone, spot: false };
    this.lastHeartbeatAt = now;
    this.leasedAt = now;
  }

  /** Id of the machine in the cloud. */
  get id(): string {
    return this.info.id;
  }

  /** Sets the fencing token of a lease. If the token changes, the machine has to be reconciled again. */
  setFencingToken(fencingToken: number): void {
    if (fencingToken === this.fencingToken) return;
    this.fencingToken = fencingToken;
    this.reconciled = false;
    this.fencingTokenOfferedAt = undefined;
  }

  /**
   * Whether tasks may be placed on the machine; its latest heartbeat must be less than `maxHeartbeatAgeMs`
   * old.
   */
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

  /** Records that a task of the job has failed on the machine. */
  recordFailedJob(job: string): void {
    this.failedJobs.add(job);
    if (this.failedJobs.size >= faultyAfterFailedJobs) this.faulty = true;
  }

  /**
   * Excludes `graceMs`, a time during which the controller itself was delayed: it counts neither as missed
   * heartbeats nor as commands that the machine did not execute.
   */
  excludeControllerDelay(graceMs: number): void {
    this.lastHeartbeatAt += graceMs;
    if (this.fencingTokenOfferedAt !== undefined) this.fencingTokenOfferedAt += graceMs;
    for (const task of this.tasks.values()) if (task.startSentAt !== undefined) task.startSentAt += graceMs;
  }

  /**
   * Since when the machine has sent heartbeats without executing its commands, which means that its requests
   * reach this controller but the responses do not reach the machine. Tasks would be placed on such a machine
   * indefinitely and none would start. Undefined if there is no sign of this.
   */
  oneWayPartitionSince(): number | undefined {
    let since = this.reconciled ? undefined : this.fencingTokenOfferedAt;
    for (const { phase, startSentAt } of this.tasks.values()) {
      if (phase === 'placed' && startSentAt !== undefined)
        since = Math.min(since ?? startSentAt, startSentAt);
    }
    return since;
  }

  /**
   * Resources of the machine that its tasks and orphaned tasks leave free; negative if they exceed the
   * machine.
   */
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
