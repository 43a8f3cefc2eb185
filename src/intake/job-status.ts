/** The one way in which a controller finds out what to tell a user about a job. */
import type { Mirror } from '../store/mirror.js';
import type { StoreClient } from '../store/client.js';
import type { CommitStage } from '../store/commit-stage.js';
import { type End, endKey, jobKey, parseEnd } from '../wire/records.js';
import type { Condition } from '../wire/state.js';
import { EndReader } from './end-reader.js';

export interface EndedJob {
  kind: 'ended';
  end: End;
  /** The number of the job's tasks, where it is known. */
  tasks: number;
}

export type JobStatusResult =
  | EndedJob
  | { kind: 'open' }
  | { kind: 'never-accepted' }
  /** Nothing can be shown now; the user is told to come back. */
  | { kind: 'unavailable' };

export interface JobStatusPorts {
  store: Pick<StoreClient, 'failing' | 'listPage'>;
  mirror: Mirror;
  /** Transactions that compare only. */
  confirms: CommitStage;
}

/**
 * Reads of a job's status that are linearizable across all controllers. Each read sends a comparison of its own to the
 * state service after it was called, so that its result held at some moment after the request had arrived. Reads that
 * come together share a transaction in the commit stage, never an earlier one that is already on its way: another
 * controller may have told an end since that one was executed.
 */
export class JobStatusReader {
  private readonly ends: EndReader;

  constructor(private readonly ports: JobStatusPorts) {
    this.ends = new EndReader(ports);
  }

  async read(id: string): Promise<JobStatusResult> {
    const ended = this.knownEnd(id);
    if (ended) return ended;
    const result = await this.compare(id);
    // What was learned while the answer was on its way is newer than the answer.
    return this.knownEnd(id) ?? result;
  }

  /** The end of the job, where this controller knows it. An end never changes, so it needs no further evidence. */
  knownEnd(id: string): EndedJob | undefined {
    const end = parseEnd(this.ports.mirror.get(endKey(id))?.value);
    return end && { kind: 'ended', ...end };
  }

  /** True where the copy of the store holds a record of the job, which stays until the job's end is decided. */
  isRecorded(id: string): boolean {
    return this.ports.mirror.version(jobKey(id)) > 0;
  }

  private async compare(id: string): Promise<JobStatusResult> {
    const { mirror, store, confirms } = this.ports;
    if (store.failing || confirms.full || !mirror.ready) return { kind: 'unavailable' };
    const recorded = this.isRecorded(id);
    const noEnd: Condition = { key: endKey(id), version: 0 };
    const noJob: Condition = { key: jobKey(id), version: 0 };
    const outcome = await confirms.commit(recorded ? [noEnd] : [noEnd, noJob], []);
    if (outcome.kind === 'applied') return { kind: recorded ? 'open' : 'never-accepted' };
    if (outcome.kind !== 'conflict') return { kind: 'unavailable' };
    return outcome.failed.includes(noEnd.key) ? this.readEnd(id) : { kind: 'open' };
  }

  /** Without an answer it is certain that the job has ended, but not how: the user has to ask again. */
  private async readEnd(id: string): Promise<JobStatusResult> {
    if (!this.knownEnd(id)) await this.ends.read(id);
    return this.knownEnd(id) ?? { kind: 'unavailable' };
  }
}
