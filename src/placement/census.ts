import type { JobSpec, Resources } from '../model/types.js';
import type { Mirror } from '../store/mirror.js';
import {
  type JobRecord,
  type RunPage,
  parseJobRecord,
  parseRunKey,
  parseRunPage,
  rangesSize,
} from '../wire/records.js';
import type { Change } from '../wire/state.js';

export interface CensusPage {
  page: RunPage;
  part: number;
  done: number;
}

export interface CensusJob extends JobRecord {
  id: string;
  version: number;
  /** When this controller first saw it, by its own clock. */
  seenAt: number;
}

/** All open jobs and all tasks on machines, as the store has them: the same on every controller, a moment late. */
export class Census {
  readonly jobs = new Map<string, CensusJob>();
  /** Pages by job; those of an ended job stay until its tasks have left their machines. */
  readonly pages = new Map<string, Map<string, CensusPage>>();

  constructor(private readonly clock: () => number) {}

  load(mirror: Mirror): void {
    this.jobs.clear();
    this.pages.clear();
    for (const [key, entry] of mirror.below('job/')) this.set(key, entry.value, entry.version);
    for (const [key, entry] of mirror.below('run/')) this.set(key, entry.value, entry.version);
  }

  apply(changes: Change[]): void {
    for (const change of changes) {
      if (!change.deleted) this.set(change.key, change.value, change.version);
      else this.drop(change.key);
    }
  }

  *activeTasks(): Iterable<{ id: string; page: RunPage; machine: string }> {
    for (const [id, pages] of this.pages) {
      for (const { page } of pages.values()) {
        for (const [, , machine] of page.active) yield { id, page, machine };
      }
    }
  }

  /** Done, and on machines, of one part of a job or of all. */
  progress(id: string, part?: number): { done: number; active: number } {
    let done = 0;
    let active = 0;
    for (const entry of this.pages.get(id)?.values() ?? []) {
      if (part !== undefined && entry.part !== part) continue;
      done += entry.done;
      active += entry.page.active.length;
    }
    return { done, active };
  }

  started(id: string): boolean {
    return (this.pages.get(id)?.size ?? 0) > 0;
  }

  /** Waiting tasks of the job by block; those of a job without parts belong to none. */
  *waiting(job: CensusJob): Iterable<{ block: number | undefined; count: number }> {
    if (job.parts.length === 0) yield { block: undefined, count: job.spec.tasks };
    for (const [part, { block, count }] of job.parts.entries()) {
      const { done, active } = this.progress(job.id, part);
      yield { block, count: Math.max(0, count - done - active) };
    }
  }

  private set(key: string, value: unknown, version: number): void {
    if (key.startsWith('job/')) {
      const record = parseJobRecord(value);
      if (!record) return;
      const { id } = record.spec;
      this.jobs.set(id, { ...record, id, version, seenAt: this.jobs.get(id)?.seenAt ?? this.clock() });
      return;
    }
    const run = parseRunKey(key);
    const page = run && parseRunPage(value);
    if (!run || !page) return;
    let pages = this.pages.get(run.id);
    if (!pages) {
      pages = new Map<string, CensusPage>();
      this.pages.set(run.id, pages);
    }
    pages.set(key, { page, part: run.part, done: rangesSize(page.done) });
  }

  private drop(key: string): void {
    if (key.startsWith('job/')) this.jobs.delete(key.slice('job/'.length));
    const run = parseRunKey(key);
    if (!run) return;
    const pages = this.pages.get(run.id);
    pages?.delete(key);
    if (pages?.size === 0) this.pages.delete(run.id);
  }
}

export function needOf(from: Pick<JobSpec, 'cpus' | 'accelerators' | 'memoryGb'>): Resources {
  const { cpus, accelerators, memoryGb } = from;
  return { cpus, accelerators, memoryGb };
}
