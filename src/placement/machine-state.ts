import type { MachineType, ReportedTask, Resources } from '../model/types.js';
import type { Task } from './job-state.js';

export interface MachineInfo {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** One rented machine as its block's owner sees it. */
export class MachineState {
  info: MachineInfo;
  /** What entitles us to command it; a worker that has seen it drops everything older. */
  fencingToken = 0;
  address = '';
  agentEpoch = 0;
  sequence = -1;
  /** Its last report carried our token: what it says counts as truth. */
  reconciled = false;
  /** When we first answered a report that did not carry our token yet; none since a report has carried it. */
  fencingTokenOfferedAt: number | undefined;
  /** It has reported to this owner. */
  hasSentHeartbeat = false;
  firstHeartbeatAt = 0;
  /** To be given back or leased to another: nothing more is placed on it. */
  draining = false;
  faulty = false;
  /** Its release has been decided; the cloud's answer will be the proof that it is gone. */
  releaseReason = '';
  preemptionNoticeS: number | null = null;
  /** Time of day of its rental. */
  rentedAt = 0;
  /** The last sign of life, or when we began to expect one. */
  lastHeartbeatAt: number;
  readonly leasedAt: number;
  /** Set while the answer to its report is held: calling it lets the answer go, with whatever there is to say by then. */
  sendHeldResponse: (() => void) | undefined;
  /** When its worker was last told to forget anything. */
  lastForgetAt = 0;
  /** Tasks that are on it, or that it may have been told to start, or that are about to be placed on it. */
  readonly tasks = new Map<string, Task>();
  /** Reported tasks that it should not have, until they are gone: they still take room. */
  orphanedTasks: { task: ReportedTask; need: Resources; team: string }[] = [];
  readonly cachedImages = new Set<string>();
  readonly failedJobs = new Set<string>();

  constructor(id: string, now: number) {
    this.info = { id, type: '', zone: '', spot: false };
    this.lastHeartbeatAt = now;
    this.leasedAt = now;
  }

  get id(): string {
    return this.info.id;
  }

  setFencingToken(fencingToken: number): void {
    if (fencingToken === this.fencingToken) return;
    this.fencingToken = fencingToken;
    this.reconciled = false;
    this.fencingTokenOfferedAt = undefined;
  }

  /** We were held up for so long ourselves: that is no time in which it could have been heard. */
  addGrace(graceMs: number): void {
    this.lastHeartbeatAt += graceMs;
    if (this.fencingTokenOfferedAt !== undefined) this.fencingTokenOfferedAt += graceMs;
    for (const task of this.tasks.values()) if (task.startSentAt !== undefined) task.startSentAt += graceMs;
  }

  /**
   * Since when it has reported without doing what it was told: its reports reach us and our answers do not reach it.
   * Such a machine would take tasks for ever and start none.
   */
  oneWayPartitionSince(): number | undefined {
    let since = this.reconciled ? undefined : this.fencingTokenOfferedAt;
    for (const { phase, startSentAt } of this.tasks.values()) {
      if (phase === 'placed' && startSentAt !== undefined)
        since = Math.min(since ?? startSentAt, startSentAt);
    }
    return since;
  }

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
