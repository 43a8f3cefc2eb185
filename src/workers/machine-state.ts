import type { MachineType, ReportedTask, Resources } from '../model/types.js';
import type { Task } from '../placement/job-state.js';

export interface Place {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** One rented machine as its block's owner sees it. */
export class MachineState {
  place: Place;
  /** What entitles us to command it; a worker that has seen it drops everything older. */
  token = 0;
  address = '';
  session = 0;
  seq = -1;
  /** Its last report carried our token: what it says counts as truth. */
  reconciled = false;
  /** When we first answered a report that did not carry our token yet; none since a report has carried it. */
  introducedAt: number | undefined;
  /** It has reported to this owner. */
  seen = false;
  seenAt = 0;
  /** To be given back or leased to another: nothing more is placed on it. */
  leaving = false;
  faulty = false;
  /** Its release has been decided; the cloud's answer will be the proof that it is gone. */
  releasing = '';
  notice: number | null = null;
  /** Time of day of its rental. */
  since = 0;
  /** The last sign of life, or when we began to expect one. */
  lastSeen: number;
  readonly leasedAt: number;
  /** Set while the answer to its report is held: calling it lets the answer go, with whatever there is to say by then. */
  wake: (() => void) | undefined;
  /** When its worker was last told to forget anything. */
  tidiedAt = 0;
  /** Tasks that are on it, or that it may have been told to start, or that are about to be placed on it. */
  readonly tasks = new Map<string, Task>();
  /** Reported tasks that it should not have, until they are gone: they still take room. */
  strays: { task: ReportedTask; need: Resources; team: string }[] = [];
  readonly images = new Set<string>();
  readonly failedJobs = new Set<string>();

  constructor(id: string, now: number) {
    this.place = { id, type: '', zone: '', spot: false };
    this.lastSeen = now;
    this.leasedAt = now;
  }

  get id(): string {
    return this.place.id;
  }

  setToken(token: number): void {
    if (token === this.token) return;
    this.token = token;
    this.reconciled = false;
    this.introducedAt = undefined;
  }

  /** We were held up for so long ourselves: that is no time in which it could have been heard. */
  excuse(ms: number): void {
    this.lastSeen += ms;
    if (this.introducedAt !== undefined) this.introducedAt += ms;
    for (const task of this.tasks.values()) if (task.orderedAt !== undefined) task.orderedAt += ms;
  }

  /**
   * Since when it has reported without doing what it was told: its reports reach us and our answers do not reach it.
   * Such a machine would take tasks for ever and start none.
   */
  deafSince(): number | undefined {
    let since = this.reconciled ? undefined : this.introducedAt;
    for (const { phase, orderedAt } of this.tasks.values()) {
      if (phase === 'placed' && orderedAt !== undefined) since = Math.min(since ?? orderedAt, orderedAt);
    }
    return since;
  }

  free(type: MachineType): Resources {
    let { cpus, accelerators, memoryGb } = type;
    const take = (need: Resources): void => {
      cpus -= need.cpus;
      accelerators -= need.accelerators;
      memoryGb -= need.memoryGb;
    };
    for (const task of this.tasks.values()) take(task.job.need);
    for (const stray of this.strays) take(stray.need);
    return { cpus, accelerators, memoryGb };
  }
}
