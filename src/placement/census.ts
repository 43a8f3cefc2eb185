import type { JobSpec, Resources } from '../model/types.js';
import type { Mirror } from '../store/mirror.js';
import {
  type JobRecord,
  type RunPage,
  parseJobRecord,
  parseRunKey,
  type Part,
  fromRanges,
  parseRunPage,
  rangesSize,
  runKey,
} from '../wire/records.js';
import type { Change, Condition } from '../wire/state.js';

export interface CensusPage {
  page: RunPage;
  done: number;
  version: number;
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

  /** Done, and on machines, of what one block has of a job or of all of it. */
  progress(id: string, block?: number): { done: number; active: number } {
    let done = 0;
    let active = 0;
    for (const entry of this.pages.get(id)?.values() ?? []) {
      if (block !== undefined && entry.page.block !== block) continue;
      done += entry.done;
      active += entry.page.active.length;
    }
    return { done, active };
  }

  /** Waiting tasks of the job by block; those that are not dealt yet belong to none. */
  waiting(job: CensusJob): { block: number | undefined; count: number }[] {
    const dealt = new Map<number, number>();
    let undealt = job.spec.tasks;
    for (const { block, count } of job.parts) {
      dealt.set(block, (dealt.get(block) ?? 0) + count);
      undealt -= count;
    }
    const waiting: { block: number | undefined; count: number }[] = [];
    if (undealt > 0) waiting.push({ block: undefined, count: undealt });
    for (const [block, count] of dealt) {
      const { done, active } = this.progress(job.id, block);
      if (count > done + active) waiting.push({ block, count: count - done - active });
    }
    return waiting;
  }

  /** How many tasks at the end of a range never started, and the versions of the pages that say so. */
  untouched(job: CensusJob, range: Part, perPage: number): { count: number; pages: Condition[] } {
    let last = range.first - 1;
    const end = range.first + range.count;
    const pages: Condition[] = [];
    for (let page = Math.floor(range.first / perPage); page * perPage < end; page++) {
      const key = runKey(job.id, range.block, page);
      const entry = this.pages.get(job.id)?.get(key);
      pages.push({ key, version: entry?.version ?? 0 });
      if (!entry) continue;
      const touched = [
        ...entry.page.active.map(([n]) => n),
        ...entry.page.waiting.map(([n]) => n),
        ...entry.page.done,
      ];
      for (const index of touched) if (index < end) last = Math.max(last, index);
      // A range of done tasks may reach beyond this one.
      for (const index of fromRanges(entry.page.done)) if (index < end) last = Math.max(last, index);
    }
    return { count: end - 1 - last, pages };
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
    pages.set(key, { page, done: rangesSize(page.done), version });
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
