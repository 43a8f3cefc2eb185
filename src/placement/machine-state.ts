/**
 * Keeps the state of one rented machine in the controller that owns the machine's block. A block is a set of
 * machines that is leased to one controller.
 */
import type { MachineType, ReportedTask, Resources } from '../model/types.js';
import type { Task } from './job-state.js';

/**
 * Zone of a machine that appears in the ledger of the block but not in the block's record. Such a machine may
 * be in any zone.
 */
export const unknownZone = '';

/**
 * Type of a machine that appears in the ledger of the block but not in the block's record. No machine type of
 * the cloud has this name.
 */
const unknownType = '';

/** The properties of a machine that are read from the block's record. */
export interface MachineInfo {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** Reason for which the owner of a block releases a machine, i.e. has the cloud terminate it. */
export type ReleaseReason = 'never-started' | 'one-way-partition' | 'faulty' | 'silent' | 'cancelled-task';

/** A task that the machine's heartbeat reports but that is not assigned to the machine. */
export interface OrphanedTask {
  task: ReportedTask;
  /** Resources that the task uses; zero if the block does not contain the task's job. */
  need: Resources;
  /** Undefined if the block does not contain the task's job. */
  team: string | undefined;
}

/**
 * If tasks of at least this many jobs have failed on a machine, the machine is considered faulty. If only
 * tasks of a single job fail, the cause may be the job.
 */
const faultyAfterFailedJobs = 2;

/**
 * The state of a machine. It combines the machine's properties from the block's record, the contents of its
 * heartbeats and the tasks assigned to it. Times are monotonic, in ms, unless stated otherwise.
 */
export class MachineState {
  /** Properties from the block's record; type and zone are empty if the record has not listed the machine. */
  info: MachineInfo;
  /**
   * Fencing token sent with each command to the machine's worker. The worker ignores commands with a lower
   * token than the highest one it has received.
   */
  fencingToken = 0;
  /** Address of the machine's worker, from its latest heartbeat; empty before the first one. */
  address = '';
  /**
   * Agent epoch of the latest heartbeat. The epoch increases each time the worker's lease expires, which ends
   * all tasks of the worker.
   */
  agentEpoch = 0;
  /** Sequence number of the latest heartbeat. It increases with each heartbeat within an agent epoch. */
  sequence = -1;
  /**
   * Whether the latest heartbeat contained the fencing token of this owner. Only then is the heartbeat's list
   * of tasks used.
   */
  reconciled = false;
  /**
   * Time at which this controller first sent its fencing token in the response to a heartbeat that did not
   * contain this token. Undefined after a heartbeat that contains the token.
   */
  fencingTokenOfferedAt: number | undefined;
  /** Whether this owner has received at least one heartbeat of the machine. */
  hasSentHeartbeat = false;
  /** Time at which the first heartbeat was received; valid only if `hasSentHeartbeat` is true. */
  firstHeartbeatAt = 0;
  /**
   * Whether no more tasks are placed on the machine, because it is to be terminated or leased to another
   * block.
   */
  draining = false;
  /**
   * Whether the machine is considered faulty. No more tasks are placed on a faulty machine, and it is
   * terminated after all tasks have left it.
   */
  faulty = false;
  /**
   * Set if the machine is to be terminated. The machine is removed after the cloud's response has confirmed
   * the termination.
   */
  releaseReason: ReleaseReason | undefined;
  /**
   * Seconds from the cloud's preemption notice to the worker until the cloud reclaims the spot machine; null
   * if there was no notice.
   */
  preemptionNoticeS: number | null = null;
  /** Wall-clock time in ms since the epoch at which the machine was rented. */
  rentedAt = 0;
  /**
   * Time at which the latest heartbeat was received. Before the first heartbeat: the time at which this owner
   * began to wait for heartbeats.
   */
  lastHeartbeatAt: number;
  /** Time at which this owner added the machine to its block. */
  readonly leasedAt: number;
  /**
   * Sends the response to the machine's latest heartbeat, with the commands that are due at the time of the
   * call. Set only while this response is held open.
   */
  sendHeldResponse: (() => void) | undefined;
  /** Time at which commands, including all pending `forget` commands, were last sent to the worker. */
  lastCommandsSentAt = 0;
  /**
   * Tasks assigned to the machine, by `keyOfTask`. This includes tasks whose start command the machine may
   * have received, and tasks whose start command must not be sent yet.
   */
  readonly tasks = new Map<string, Task>();
  /**
   * Tasks that the latest heartbeat reported but that are not assigned to the machine. Their resources are
   * not free until a heartbeat no longer reports them.
   */
  orphanedTasks: OrphanedTask[] = [];
  /** Images of the tasks that have run on the machine. The machine need not fetch these images again. */
  readonly cachedImages = new Set<string>();
  /** Ids of the jobs of which tasks have failed on the machine. */
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

  /**
   * Sets the fencing token from the block's record. If the token has changed, tasks can be placed on the
   * machine only after a heartbeat that contains the new token.
   */
  setFencingToken(fencingToken: number): void {
    if (fencingToken === this.fencingToken) return;
    this.fencingToken = fencingToken;
    this.reconciled = false;
    this.fencingTokenOfferedAt = undefined;
  }

  /**
   * Whether tasks may be placed on the machine. This requires, among other conditions, that its latest
   * heartbeat is less than `maxHeartbeatAgeMs` old.
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

  /**
   * Records that a task of the job has failed on the machine. Marks the machine as faulty if tasks of at
   * least `faultyAfterFailedJobs` jobs have failed on it.
   */
  recordFailedJob(job: string): void {
    this.failedJobs.add(job);
    if (this.failedJobs.size >= faultyAfterFailedJobs) this.faulty = true;
  }

  /**
   * Excludes a delay of the controller itself from failure detection. The time `graceMs` then counts neither
   * towards missed heartbeats nor towards the time without executed commands.
   */
  excludeControllerDelay(graceMs: number): void {
    this.lastHeartbeatAt += graceMs;
    if (this.fencingTokenOfferedAt !== undefined) this.fencingTokenOfferedAt += graceMs;
    for (const task of this.tasks.values()) if (task.startSentAt !== undefined) task.startSentAt += graceMs;
  }

  /**
   * Returns the time since which the machine has sent heartbeats without executing commands. This is a sign
   * of a one-way partition: the machine's requests arrive at this controller, but the responses do not reach
   * the machine. If this were not detected, tasks would be placed on the machine indefinitely and none would
   * start. Returns undefined if there is no sign of such a partition.
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
   * Returns the resources of the machine that neither its assigned tasks nor its orphaned tasks use. A
   * resource is negative if these tasks need more than the machine provides.
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
