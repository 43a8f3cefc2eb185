/**
 * The types that all folders under `src` share: jobs, tasks, machines, the workers' heartbeats and the
 * commands to workers. Names and units in these types are internal. `src/wire` converts them to and from the
 * sent and stored forms.
 *
 * Amounts (`cpus`, `accelerators`, `memoryGb`) are decimals. Sizes are in GB. Names of durations end in their
 * unit (`S` or `Ms`). Prices are per hour.
 */

/** The urgency that the user gave a job. `urgencyRanks` defines the order of the urgencies. */
export type Urgency = 'production' | 'high' | 'standard' | 'best_effort';

/**
 * A job as the user submitted it. The job is committed to the store before the user receives the response
 * that the job was accepted.
 */
export interface JobSpec {
  /** Id chosen by the user. A repeated submission of the job has the same id. */
  id: string;
  /** Name of the job class. The objectives of this class in the settings apply to the job. */
  jobClass: string;
  /** Name of the team. The guaranteed and the maximum amounts of this team apply to the job. */
  team: string;
  urgency: Urgency;
  /** Number of tasks. Tasks are numbered from 0. */
  tasks: number;
  /** CPUs that each task occupies on its machine. */
  cpus: number;
  /** Accelerators that each task occupies on its machine. */
  accelerators: number;
  /** Memory that each task occupies on its machine. */
  memoryGb: number;
  /** The image that a machine must have fetched before a task can start on it. */
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
  /** The progress that a task makes between two checkpoints. 0: the task saves no checkpoints. */
  checkpointIntervalS: number;
  /** Time that a task needs to save a checkpoint when it is stopped. */
  checkpointSaveS: number;
  /** Time from the acceptance of the job to its deadline. Null: no deadline. */
  deadlineS: number | null;
  /**
   * Ids of the jobs that have to be done before any task of this job starts. Job records of earlier versions
   * lack this field.
   */
  dependencies?: string[];
  /**
   * Wall-clock time in ms since the epoch at which the job was accepted. Used only for deadlines and waiting
   * times, because it may be off by the error of the controllers' clocks.
   */
  acceptedAt: number;
  /**
   * Fields of the job's record that this version does not define because a later version has added them. They
   * are kept when this version writes the record again.
   */
  unknownFields?: Record<string, unknown>;
}

/** A machine type that the cloud offers, as in the latest list of the cloud. */
export interface MachineType {
  name: string;
  cpus: number;
  accelerators: number;
  memoryGb: number;
  /** Rate at which a machine of the type fetches images, in GB/s. */
  fetchGbPerS: number;
  /** Price per hour. */
  price: number;
  /** Price per hour of a spot machine. It may differ from one list of the cloud to the next. */
  spotPrice: number;
  /** Nominal time from the rental request to the machine's first heartbeat. */
  bootS: number;
  /** The zones in which the cloud offers the type. */
  zones: string[];
}

/** Identifies a task by its job and its number in the job, counted from 0. */
export interface TaskRef {
  job: string;
  index: number;
}

/** The state of a task on its machine. `other` stands for any state that this version does not define. */
export type TaskState = 'fetching' | 'running' | 'saving' | 'ended' | 'other';

/**
 * A task in a worker's heartbeat. The worker reports an ended task until it receives a `forget` command for
 * it.
 */
export interface ReportedTask extends TaskRef {
  /** Number of the task attempt. The first start of the task is attempt 1. */
  attempt: number;
  state: TaskState;
  /** Why the task ended, as reported by the worker. Empty if the task has not ended. */
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
  /**
   * Increases each time the worker's lease expires. When the lease expires, the worker ends all its tasks.
   */
  agentEpoch: number;
  /** Increases with each heartbeat that the worker sends. */
  sequence: number;
  /**
   * The highest fencing token that the worker has received. The worker ignores responses with a lower fencing
   * token.
   */
  fencingToken: number;
  /** Time until the cloud preempts the spot machine. Null: the worker has received no preemption notice. */
  preemptionNoticeS: number | null;
  tasks: ReportedTask[];
}

/**
 * A command to a worker. `start` starts a task attempt, `stop` stops a task attempt, and `forget` ends the
 * reporting of an ended attempt. Every command may be sent repeatedly, with one exception: the `start` of an
 * attempt must not be repeated after this attempt was forgotten.
 */
export interface WorkerCommand extends TaskRef {
  kind: 'start' | 'stop' | 'forget';
  attempt: number;
  /** For `stop`: the time that the task is given to save a checkpoint. 0 or undefined: no time. */
  graceS?: number;
}

/**
 * A rented machine in the cloud's machine list. The list lags behind the actual state: it may lack new
 * machines and may contain terminated machines.
 */
export interface CloudMachine {
  id: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  /** Time from the rental request to the moment at which the cloud created the list. */
  ageS: number;
}

/** Returns the key that identifies a task in maps and in messages to workers. */
export function taskKey(task: TaskRef): string {
  return `${task.job}/${task.index}`;
}

/** The resources that a task occupies on its machine and that count towards the limit of its team. */
export interface Resources {
  cpus: number;
  accelerators: number;
  memoryGb: number;
}

// Amounts are binary floating-point numbers, so sums that should be equal may differ in the last bits
// depending on the order of addition.
const roundingTolerance = 1e-6;

/** Whether the needed resources fit into the free resources. Tolerates rounding errors. */
export function fits(need: Resources, free: Resources): boolean {
  return (
    need.cpus <= free.cpus + roundingTolerance &&
    need.accelerators <= free.accelerators + roundingTolerance &&
    need.memoryGb <= free.memoryGb + roundingTolerance
  );
}

/**
 * Whether `used` plus `added` stays within the limit. Tolerates rounding errors. A limit of 0 means no limit.
 */
export function withinLimit(used: number, added: number, limit: number): boolean {
  return limit === 0 || used + added <= limit + roundingTolerance;
}

/**
 * Returns a key that identifies what the tasks of a job require of a machine. Tasks with equal keys fit the
 * same machines.
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

/**
 * Whether the zones of the job's tasks depend on each other. If so, one block (a set of machines leased to
 * one controller) has to receive all tasks of the job.
 */
export function isZoneConstrained(spec: Pick<JobSpec, 'colocated' | 'spread'>): boolean {
  return spec.colocated || spec.spread;
}
