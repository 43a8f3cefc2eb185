/**
 * What all slices share: jobs, tasks, machines, what workers report and what they are told. Names and units are our own;
 * `src/wire` maps them to what is sent and stored.
 *
 * Amounts (`cpus`, `accelerators`, `memoryGb`) are decimals, sizes are in GB, durations end in their unit (`S`, `Ms`),
 * prices are per hour.
 */

/** How urgent the user says a job is; `urgencyRanks` gives the order. */
export type Urgency = 'production' | 'high' | 'standard' | 'best_effort';

/** What a user asked for, as committed before the user was told that the job is accepted. */
export interface JobSpec {
  /** Chosen by the user; a repeated submission carries the same. */
  id: string;
  /** The class whose objectives in the settings apply. */
  jobClass: string;
  /** The team whose guarantee and limit apply. */
  team: string;
  urgency: Urgency;
  /** How many tasks the job has; they are numbered from 0. */
  tasks: number;
  /** What each task takes of its machine, together with `accelerators` and `memoryGb`. */
  cpus: number;
  accelerators: number;
  memoryGb: number;
  /** The image that a machine has to have before a task starts. */
  image: string;
  imageGb: number;
  /** Names of the types allowed; null: any. */
  machineTypes: string[] | null;
  /** The only zone allowed; null: any. */
  zone: string | null;
  /** All tasks have to be in one zone. */
  colocated: boolean;
  /** No zone may have more than half of the tasks, rounded up. */
  spread: boolean;
  /** Whether tasks may be on spot machines. */
  spot: boolean;
  /** The user's estimate of a task's run time, without fetching the image. */
  estimatedRunS: number;
  /** How much progress lies between two checkpoints of a task; 0: it saves none. */
  checkpointIntervalS: number;
  /** How long a task takes to save a checkpoint when it is stopped. */
  checkpointSaveS: number;
  /** When the job should be done, counted from its acceptance; null: no deadline. */
  deadlineS: number | null;
  /** Jobs that have to be done before any task of this one starts; records of earlier versions lack the field. */
  dependencies?: string[];
  /** Time of day of acceptance in ms, for deadlines only: it may be off by the clocks' error. */
  acceptedAt: number;
  /** What a later version has recorded of the job beside all this: kept when the job's record is written again. */
  unknownFields?: Record<string, unknown>;
}

/** A type of machine that the cloud rents out, as it listed it last. */
export interface MachineType {
  name: string;
  cpus: number;
  accelerators: number;
  memoryGb: number;
  /** How fast a machine fetches images. */
  fetchGbPerS: number;
  /** Price per hour. */
  price: number;
  /** Price per hour of a spot machine; it changes from one list to the next. */
  spotPrice: number;
  /** The nominal time from the request to the first heartbeat. */
  bootS: number;
  /** The zones in which the type is on offer. */
  zones: string[];
}

/** A task: its job, and its number in the job from 0. */
export interface TaskRef {
  job: string;
  index: number;
}

/** What a task does on its machine; `other` stands for states that this version does not know. */
export type TaskState = 'fetching' | 'running' | 'saving' | 'ended' | 'other';

/** A task as the worker reports it. An ended task is reported until the worker is told to forget it. */
export interface ReportedTask extends TaskRef {
  /** Grows with each start of the task, from 1. */
  attempt: number;
  state: TaskState;
  /** Why the task ended, in the worker's word; empty while it has not ended. */
  cause: string;
}

/**
 * What a worker reports of its machine and of all tasks on it. Of two heartbeats the one with the higher agent epoch is the
 * newer one, of the same epoch the one with the higher sequence: delayed ones may arrive after newer ones.
 */
export interface Heartbeat {
  machine: string;
  /** Host and port of the worker. */
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Grows each time the worker's lease expires, which ends all its tasks. */
  agentEpoch: number;
  /** Grows with each message of the worker. */
  sequence: number;
  /** The highest that the worker has seen; it obeys none that is lower. */
  fencingToken: number;
  /** Time until the cloud takes the spot machine away; null: no notice. */
  preemptionNoticeS: number | null;
  tasks: ReportedTask[];
}

/**
 * A command to a worker: to start an attempt of a task, to stop it, or to report an ended one no more. Each may be repeated,
 * but for a start after the same attempt was forgotten.
 */
export interface WorkerCommand extends TaskRef {
  kind: 'start' | 'stop' | 'forget';
  attempt: number;
  /** Of a stop: the time that the task has to save a checkpoint; none is 0. */
  graceS?: number;
}

/** A rented machine as the cloud lists it. The list lags: it may lack new machines and show ones that are gone. */
export interface CloudMachine {
  id: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  /** Time since the rental request, as of the list. */
  ageS: number;
}

/** The name of a task in maps and in messages to workers. */
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

/** Whether the need fits what is free, but for errors of rounding. */
export function fits(need: Resources, free: Resources): boolean {
  return (
    need.cpus <= free.cpus + slack &&
    need.accelerators <= free.accelerators + slack &&
    need.memoryGb <= free.memoryGb + slack
  );
}

/** Whether the limit allows the addition, but for errors of rounding. A limit of 0 means that there is none. */
export function withinLimit(used: number, added: number, limit: number): boolean {
  return limit === 0 || used + added <= limit + slack;
}

/** A key of what a task asks of its machine: tasks of the same kind fit the same machines. */
export function taskKind({ cpus, accelerators, memoryGb, spot, zone, machineTypes }: JobSpec): string {
  return [cpus, accelerators, memoryGb, spot, zone, machineTypes].join('/');
}

/** The zones of the job's tasks depend on each other, so that one block has to place all of them. */
export function isZoneConstrained(spec: Pick<JobSpec, 'colocated' | 'spread'>): boolean {
  return spec.colocated || spec.spread;
}
