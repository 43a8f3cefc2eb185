export type Urgency = 'production' | 'high' | 'standard' | 'best_effort';

/** What a user asked for, as committed before the user was told that the job is accepted. */
export interface JobSpec {
  id: string;
  jobClass: string;
  team: string;
  urgency: Urgency;
  tasks: number;
  cpus: number;
  accelerators: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  machineTypes: string[] | null;
  zone: string | null;
  colocated: boolean;
  spread: boolean;
  spot: boolean;
  estimatedRunS: number;
  checkpointIntervalS: number;
  checkpointSaveS: number;
  deadlineS: number | null;
  /** Jobs that have to be done before any task of this one starts; records of earlier versions lack the field. */
  dependencies?: string[];
  /** Time of day of acceptance in ms, for deadlines only: it may be off by the clocks' error. */
  acceptedAt: number;
  /** What a later version has recorded of the job beside all this: kept when the job's record is written again. */
  unknownFields?: Record<string, unknown>;
}

export interface MachineType {
  name: string;
  cpus: number;
  accelerators: number;
  memoryGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

export interface TaskRef {
  job: string;
  index: number;
}

export type TaskState = 'fetching' | 'running' | 'saving' | 'ended' | 'other';

export interface ReportedTask extends TaskRef {
  attempt: number;
  state: TaskState;
  cause: string;
}

export interface Heartbeat {
  machine: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  agentEpoch: number;
  sequence: number;
  fencingToken: number;
  preemptionNoticeS: number | null;
  tasks: ReportedTask[];
}

export interface WorkerCommand extends TaskRef {
  kind: 'start' | 'stop' | 'forget';
  attempt: number;
  graceS?: number;
}

export interface CloudMachine {
  id: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  ageS: number;
}

export function taskKey(task: TaskRef): string {
  return `${task.job}/${task.index}`;
}

/** What a task takes of its machine and of its team's limit. */
export interface Resources {
  cpus: number;
  accelerators: number;
  memoryGb: number;
}

// Amounts are decimals added up in any order, so sums may differ in their last bits.
const slack = 1e-6;

export function fits(need: Resources, free: Resources): boolean {
  return (
    need.cpus <= free.cpus + slack &&
    need.accelerators <= free.accelerators + slack &&
    need.memoryGb <= free.memoryGb + slack
  );
}

/** A limit of 0 means that there is none. */
export function withinLimit(used: number, added: number, limit: number): boolean {
  return limit === 0 || used + added <= limit + slack;
}

/** Tasks of the same kind fit the same machines. */
export function taskKind({ cpus, accelerators, memoryGb, spot, zone, machineTypes }: JobSpec): string {
  return [cpus, accelerators, memoryGb, spot, zone, machineTypes].join('/');
}

/** The zones of the job's tasks depend on each other, so that one block has to place all of them. */
export function isZoneConstrained(spec: Pick<JobSpec, 'colocated' | 'spread'>): boolean {
  return spec.colocated || spec.spread;
}
