/**
 * The types that all folders under `src` share: jobs, tasks, machines, the workers' heartbeats and the
 * commands to workers. Names and units are internal; `src/wire` maps them to the sent and stored forms.
 *
 * Amounts (`cpus`, `accelerators`, `memoryGb`) are decimals. Sizes are in GB. Names of durations end in their
 * unit (`S` or `Ms`). Prices are per hour.
 */

/** The urgency that the user gave a job; `urgencyRanks` defines the order. */
export type Urgency = 'production' | 'high' | 'standard' | 'best_effort';

/** A job as the user submitted it. It is committed to the store before the user receives the acceptance. */
export interface JobSpec {
  /** Chosen by the user; a repeated submission has the same id. */
  id: string;
  /** The job class, whose objectives in the settings apply to the job. */
  jobClass: string;
  /** The team, whose guarantee and limit apply to the job. */
  team: string;
  urgency: Urgency;
  /** The number of tasks; they are numbered from 0. */
  tasks: number;
  /** CPUs that each task takes of its machine. */
  cpus: number;
  /** Accelerators that each task takes of its machine. */
  accelerators: number;
  /** Memory that each task takes of its machine. */
  memoryGb: number;
  /** The image that a machine must have before a task can start on it. */
  image: string;
  imageGb: number;
  /** Names of the allowed machine types; null: any type. */
  machineTypes: string[] | null;
  /** The only allowed zone; null: any zone. */
  zone: string | null;
  /** Whether all tasks have to be in one zone. */
  colocated: boolean;
  /** Whether the tasks are spread: no zone may have more than half of the tasks, rounded up. */
  spread: boolean;
  /** Whether tasks may run on spot machines. */
  spot: boolean;
  /** The user's estimate of a task's run time, excluding the time to fetch the image. */
  estimatedRunS: number;
  /** Progress of a task between two checkpoints; 0: the task saves no checkpoints. */
  checkpointIntervalS: number;
  /** Time that a task takes to save a checkpoint when it is stopped. */
  checkpointSaveS: number;
  /** The deadline of the job, counted from its acceptance; null: no deadline. */
  deadlineS: number | null;
  /**
   * Ids of the jobs that have to be done before any task of this job starts. Records of earlier versions lack
   * the field.
   */
  dependencies?: string[];
  /**
   * Time of day in ms when the job was accepted. Used only for deadlines and waiting times, because it may be
   * off by the error of the controllers' clocks.
   */
  acceptedAt: number;
  /**
   * Fields that a later version has stored in the job's record; kept when this version rewrites the record.
   */
  unknownFields?: Record<string, unknown>;
}

/** A machine type that the cloud rents out, as in the cloud's last list. */
export interface MachineType {
  name: string;
  cpus: number;
  accelerators: number;
  memoryGb: number;
  /** Rate at which a machine of the type fetches images, in GB/s. */
  fetchGbPerS: number;
  /** Price per hour. */
  price: number;
  /** Price per hour of a spot machine; it changes between two lists of the cloud. */
  spotPrice: number;
  /** The nominal time from the rental request to the machine's first heartbeat. */
  bootS: number;
  /** The zones in which the cloud offers the type. */
  zones: string[];
}

/** Identifies a task by its job and its number in the job, counted from 0. */
export interface TaskRef {
  job: string;
  index: number;
}

/** The state of a task on its machine; `other` stands for states that this version does not know. */
export type TaskState = 'fetching' | 'running' | 'saving' | 'ended' | 'other';

/**
 * A task in a worker's heartbeat. The worker reports an ended task until it receives a `forget` command for
 * it.
 */
export interface ReportedTask extends TaskRef {
  /** Number of the task attempt; counts the starts of the task from 1. */
  attempt: number;
  state: TaskState;
  /** Why the task ended, as the worker sent it; empty if the task has not ended. */
  cause: string;
}

/**
 * A worker's report of its machine and all tasks on it. Delayed heartbeats may arrive after newer ones. Of
 * two heartbeats, the one with the higher agent epoch is newer; within one epoch, the one with the higher
 * sequence is newer.
 */
export interface Heartbeat {
  machine: string;
  /** Host and port of the worker. */
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Grows each time the worker's lease expires; the expiry ends all tasks of the worker. */
  agentEpoch: number;
  /** Grows with each heartbeat that the worker sends. */
  sequence: number;
  /**
   * The highest fencing token that the worker has received; it ignores responses with a lower fencing token.
   */
  fencingToken: number;
  /** Time until the cloud preempts the spot machine; null: no preemption notice. */
  preemptionNoticeS: number | null;
  tasks: ReportedTask[];
}

/**
 * A command to a worker. `start` starts a task attempt, `stop` stops it, and `forget` ends the reporting of
 * an ended attempt. Every command may be sent repeatedly, except that a `start` must not be repeated after
 * the same attempt was forgotten.
 */
export interface WorkerCommand extends TaskRef {
  kind: 'start' | 'stop' | 'forget';
  attempt: number;
  /** For `stop`: the time that the task gets to save a checkpoint; 0 or undefined: none. */
  graceS?: number;
}

/**
 * A rented machine in the cloud's list. The list lags: it may lack new machines and contain terminated
 * machines.
 */
export interface CloudMachine {
  id: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  /** Time from the rental request until the cloud made the list. */
  ageS: number;
}

/** Returns the key of a task in maps and in messages to workers. */
export function taskKey(task: TaskRef): string {
  return `${task.job}/${task.index}`;
}

/** The resources that a task takes of its machine and of its team's limit. */
export interface Resources {
  cpus: number;
  accelerators: number;
  memoryGb: number;
}

// Amounts are floating-point decimals that are summed in any order, so equal sums may differ in their last
// bits.
const roundingTolerance = 1e-6;

/** Whether the needed resources fit into the free resources; tolerates rounding errors. */
export function fits(need: Resources, free: Resources): boolean {
  return (
    need.cpus <= free.cpus + roundingTolerance &&
    need.accelerators <= free.accelerators + roundingTolerance &&
    need.memoryGb <= free.memoryGb + roundingTolerance
  );
}

/**
 * Whether `added` may be added to `used` within the limit; tolerates rounding errors. A limit of 0 means no
 * limit.
 */
export function withinLimit(used: number, added: number, limit: number): boolean {
  return limit === 0 || used + added <= limit + roundingTolerance;
}

/**
 * Returns a key of the requirements of a job's tasks on their machines: tasks with equal keys fit the same
 * machines.
 */
export function taskRequirementsKey({
  cpus,
  accelerators,
  memoryGb,
  spot,
  zone,
  machineTypes,
}: JobSpec): string {
  return [cpus, accelerators, memoryGb, spot, zone, machineTypes].join('/');
}

/** Whether the zones of the job's tasks depend on each other, so that one block has to place all of them. */
export function isZoneConstrained(spec: Pick<JobSpec, 'colocated' | 'spread'>): boolean {
  return spec.colocated || spec.spread;
}
