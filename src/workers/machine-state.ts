import type { MachineType, ReportedTask, Resources } from '../model/types.js';
import type { Task } from '../placement/job-state.js';

export type MachineStatus = 'booting' | 'up' | 'releasing';

export interface Placement {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** One rented machine as its block's owner sees it. */
export class MachineState {
  status: MachineStatus = 'booting';
  address = '';
  session = 0;
  seq = -1;
  /** Its last report carried our token: what it says counts as truth. */
  reconciled = false;
  draining = false;
  faulty = false;
  notice: number | null = null;
  everSeen = false;
  /** Tasks that are on it, or that it may have been told to start, or that are about to be placed on it. */
  readonly tasks = new Map<string, Task>();
  /** Reported tasks that it should not have, until they are gone: they still take room. */
  strays: { task: ReportedTask; need: Resources; team: string }[] = [];
  readonly images = new Set<string>();
  readonly failedJobs = new Set<string>();

  constructor(
    public place: Placement,
    /** When it was rented, as far as known. */
    public rentedAt: number,
    /** The last sign of life, or when we began to expect one. */
    public lastSeen: number,
  ) {}

  get id(): string {
    return this.place.id;
  }

  get idle(): boolean {
    return this.tasks.size === 0 && this.strays.length === 0;
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
