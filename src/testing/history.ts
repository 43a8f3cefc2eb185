/** Records the events of a test cluster: requests of users, the answers to them, and tasks on machines. */

/**
 * The status of a job in the answer to a user's request. `refused`: the submission was rejected as invalid.
 * `unknown`: no such job. `turned away`: the request failed or got no answer.
 */
export type UserAnswer = 'pending' | 'running' | 'done' | 'cancelled' | 'unknown' | 'turned away' | 'refused';

/**
 * An event observed by the stand-ins for workers, cloud and users. No event relies on the internal state of a
 * controller.
 */
export type HistoryEvent =
  /**
   * A user sent a submission. `job` is the requested job. It is undefined if the submission is invalid or
   * requests more CPUs than any machine has.
   */
  | { kind: 'submitted'; id: string; job: JobRequest | undefined }
  /** A user sent a cancel request. */
  | { kind: 'asked to cancel'; id: string }
  /**
   * A user received an answer, or the request failed. `sentAt` is the time at which the request was sent. The
   * time of the event is the time at which the answer arrived.
   */
  | {
      kind: 'told';
      id: string;
      requestKind: 'submission' | 'question' | 'cancel';
      answer: UserAnswer;
      sentAt: number;
    }
  /** A worker has fetched the image of a task and has begun to execute the task. */
  | { kind: 'started'; task: string; machine: string }
  /** A worker has stopped executing a task. `completed` is false if the task was stopped or killed. */
  | { kind: 'left'; task: string; machine: string; completed: boolean }
  /** The cloud has rented out a machine. */
  | { kind: 'machine'; machine: string; type: string; zone: string; spot: boolean };

/** The job that a submission requests. */
export interface JobRequest {
  team: string;
  tasks: number;
  cpus: number;
  machineTypes: string[] | null;
  zone: string | null;
  colocated: boolean;
  spread: boolean;
  spot: boolean;
  /** Ids of the jobs that must be done before any task of this job starts. */
  dependencies: string[];
}

/** An event and its wall-clock time in ms since the epoch. */
export type TimedEvent = HistoryEvent & { at: number };

/**
 * Wall-clock time in ms since the epoch, with fractions, because consecutive requests may be less than a
 * millisecond apart.
 */
const submillisecondClock = (): number => performance.timeOrigin + performance.now();

/** The events of a test cluster in the order in which they were recorded. */
export class History {
  readonly events: TimedEvent[] = [];

  constructor(private readonly clock: () => number = submillisecondClock) {}

  now(): number {
    return this.clock();
  }

  add(event: HistoryEvent): void {
    this.events.push({ ...event, at: this.clock() });
  }
}
