/** Records new jobs in the state service. */
import type { Clock } from '../base/clock.js';
import type { JobSpec, MachineType } from '../model/types.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { Mirror } from '../store/mirror.js';
import { type TaskRange, outcomeRecord, jobRecord } from '../wire/job-records.js';
import { outcomeKey, jobKey } from '../wire/keys.js';
import { whyImpossible, whyTooLarge } from './admission.js';
import type { JobStatusReader } from './job-status.js';
import type { DependencyGraph } from '../dependencies/dependency-graph.js';

export interface SubmissionPorts {
  clock: Clock;
  wallClock: () => number;
  settings: Settings;
  store: Pick<StoreClient, 'failing' | 'writeWaitMs'>;
  mirror: Mirror;
  /** Submissions and cancels. */
  writes: CommitQueue;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /** The block that a new job belongs to; empty where the leader has to place it. */
  home: (spec: JobSpec) => TaskRange[];
  jobIndex: { dependencies: Pick<DependencyGraph, 'hasCancelledUpstream'> };
  /** All controllers heed dependencies: an earlier version would start such a job at once. */
  supportsDependencies: () => boolean;
  knowsCancellations: () => boolean;
}

export type SubmissionResult =
  /** This submission has recorded the job. */
  | { kind: 'created' }
  /** The job had been accepted before; what has become of it is for a read to find out. */
  | { kind: 'accepted-before' }
  | { kind: 'impossible'; reason: string }
  | { kind: 'overloaded'; retryAfterS: number }
  | { kind: 'unavailable' };

/** Open jobs that a controller keeps track of, per MB of its memory. */
const openJobsPerMb = 20;
const retryOverloadS = 3;
/** A user waits 5 s for an answer and heeds a pause of up to 30 s. */
const longestWaitMs = 2000;
const retryLatestS = 20;

export class Submissions {
  /** Commits of new jobs that have no answer yet, by job. */
  private readonly underWay = new Map<string, Promise<SubmissionResult>>();

  constructor(
    private readonly ports: SubmissionPorts,
    private readonly statuses: JobStatusReader,
  ) {}

  /**
   * A repetition that comes while the first try is under way waits for its result instead of committing the same job in
   * vain. It learns from it that the job was accepted, and nothing of its status: the first try's evidence is older than
   * the repetition.
   */
  async submit(job: JobSpec): Promise<SubmissionResult> {
    const { store, mirror, machineTypes, settings } = this.ports;
    if (this.isKnown(job.id)) return { kind: 'accepted-before' };
    if (machineTypes().size === 0 || !mirror.ready) return { kind: 'unavailable' };
    const reason =
      whyImpossible(job, machineTypes().values(), settings.teams) ??
      whyTooLarge(job, settings.state.valueBytes);
    if (reason !== undefined) return { kind: 'impossible', reason };
    const unmet = await this.checkDependencies(job);
    if (unmet) return unmet;
    const firstTry = this.underWay.get(job.id);
    if (firstTry) return asRepetition(await firstTry);
    if (store.failing) return { kind: 'unavailable' };
    const retryAfterS = this.overloadedForS();
    if (retryAfterS !== undefined) return { kind: 'overloaded', retryAfterS };
    const result = this.record(job);
    this.underWay.set(job.id, result);
    try {
      return await result;
    } finally {
      this.underWay.delete(job.id);
    }
  }

  /** Why a job with these dependencies is not taken, if there is a reason. Evidence of acceptance comes from the state service. */
  private async checkDependencies({ id, dependencies = [] }: JobSpec): Promise<SubmissionResult | undefined> {
    if (dependencies.length === 0) return undefined;
    if (dependencies.includes(id)) return { kind: 'impossible', reason: 'a job cannot need itself' };
    const { supportsDependencies, knowsCancellations } = this.ports;
    if (!supportsDependencies()) return { kind: 'unavailable' };
    const found = await Promise.all(dependencies.map((dependency) => this.statuses.acceptance(dependency)));
    // A repetition of an accepted job is never refused for what it names.
    if (this.isKnown(id)) return { kind: 'accepted-before' };
    if (found.includes('unavailable') || !knowsCancellations()) return { kind: 'unavailable' };
    const unknown = dependencies[found.indexOf('never-accepted')];
    return unknown === undefined
      ? undefined
      : { kind: 'impossible', reason: `${unknown} was never accepted` };
  }

  private isKnown(id: string): boolean {
    return this.statuses.isRecorded(id) || this.statuses.knownEnd(id) !== undefined;
  }

  /** What would wait for longer than a user does is turned away at once, and told when its turn may come. */
  private overloadedForS(): number | undefined {
    const { mirror, settings, store, writes } = this.ports;
    const waitMs = store.writeWaitMs('intake', writes.writableLength);
    const tooManyJobs = mirror.size > settings.quota.memoryMb * openJobsPerMb;
    if (waitMs <= longestWaitMs && !writes.full && !tooManyJobs) return undefined;
    return Math.min(retryLatestS, Math.max(retryOverloadS, waitMs / 1000));
  }

  private async record(job: JobSpec): Promise<SubmissionResult> {
    const { mirror, home, jobIndex } = this.ports;
    if (jobIndex.dependencies.hasCancelledUpstream(job.dependencies ?? []))
      return this.recordAsCancelled(job);
    const key = jobKey(job.id);
    const value = jobRecord({ spec: job, taskRanges: home(job) });
    return this.commitAsNew(job.id, key, value, (version) => mirror.recordCommitted(key, { value, version }));
  }

  /** A job that needs a cancelled one is accepted all the same, and cancelled with it. */
  private async recordAsCancelled(job: JobSpec): Promise<SubmissionResult> {
    const { mirror, wallClock } = this.ports;
    const key = outcomeKey(job.id);
    const value = outcomeRecord({ outcome: 'cancelled', tasks: job.tasks, endedAt: wallClock() });
    return this.commitAsNew(job.id, key, value, (version) => mirror.recordOutcome(key, { value, version }));
  }

  /** Commits the first that there is of a job: neither a record nor an end. */
  private async commitAsNew(
    id: string,
    key: string,
    value: unknown,
    learn: (version: number) => void,
  ): Promise<SubmissionResult> {
    const absent = [jobKey(id), outcomeKey(id)].map((one) => ({ key: one, version: 0 }));
    const outcome = await this.ports.writes.commit(absent, [{ put: key, value }]);
    if (outcome.kind === 'conflict') return { kind: 'accepted-before' };
    if (outcome.kind !== 'applied') return { kind: 'unavailable' };
    learn(outcome.revision);
    return { kind: 'created' };
  }
}

function asRepetition(firstTry: SubmissionResult): SubmissionResult {
  return firstTry.kind === 'created' ? { kind: 'accepted-before' } : firstTry;
}
