import type { Clock } from '../base/clock.js';
import { sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { MachineType } from '../model/types.js';
import type { Settings } from '../settings/settings.js';
import type { CommitOutcome, StoreClient } from '../store/client.js';
import type { CommitStage } from '../store/commit-stage.js';
import { blockKey, endKey, endRecord, jobKey, runKey } from '../wire/records.js';
import type { Condition } from '../wire/state.js';
import type { MachineState } from '../workers/machine-state.js';
import type { Board } from './board.js';
import type { Census } from './census.js';
import type { JobState, PageState } from './job-state.js';
import { plan } from './plan.js';

export interface SchedulerPorts {
  clock: Clock;
  log: Log;
  settings: Settings;
  store: StoreClient;
  commits: CommitStage;
  board: Board;
  /** Ends with the lease of the block. */
  signal: AbortSignal;
  census: Census;
  types: () => ReadonlyMap<string, MachineType>;
}

const tickMs = 100;
/** Placements of one round, as a multiple of the writes that fit a transaction. */
const roundTransactions = 4;

/** Places waiting tasks and keeps the store in step with the board, intents first. */
export class Scheduler {
  private wanted = true;
  private rejectedVersion = -1;

  constructor(private readonly ports: SchedulerPorts) {}

  /** Something changed that may let a task start. */
  poke(): void {
    this.wanted = true;
  }

  /** A round at once, for a report whose answer can carry its starts. */
  placeNow(): void {
    if (this.ports.signal.aborted || this.ports.store.failing) return;
    this.place();
    this.persist();
  }

  /** A machine that tasks may be placed on. */
  usable(machine: MachineState): boolean {
    const { clock, settings } = this.ports;
    return (
      machine.reconciled &&
      machine.releasing === '' &&
      !machine.leaving &&
      !machine.faulty &&
      machine.notice === null &&
      clock() - machine.lastSeen < settings.reportMs * 1.6
    );
  }

  async run(): Promise<void> {
    const { signal, store } = this.ports;
    let rounds = 0;
    while (!signal.aborted) {
      await sleep(tickMs, signal);
      if (signal.aborted) return;
      // Machines and pauses become usable with time alone, so a round comes once a second in any case.
      if ((this.wanted || rounds++ % 10 === 0) && !store.failing) {
        this.wanted = false;
        this.place();
      }
      this.persist();
    }
  }

  private place(): void {
    const { board, clock, settings, types } = this.ports;
    const choices = plan({
      now: clock(),
      jobs: board.jobs.values(),
      machines: board.machines.values(),
      types: types(),
      team: (name) => {
        const team = settings.teams.get(name);
        return team && board.limitsOf(team);
      },
      usage: board.usage(),
      most: settings.state.txnOps * roundTransactions,
      usable: (machine) => this.usable(machine),
    });
    for (const { task, machine } of choices) board.put(task, machine);
  }

  private persist(): void {
    const { board, commits } = this.ports;
    // The store knows the block under another version; nothing can be committed until the watch brings it.
    if (board.version === this.rejectedVersion) return;
    for (const job of board.jobs.values()) {
      if (commits.full) return;
      if (job.ending || [...job.pages.values()].some((p) => p.busy)) continue;
      if (job.ended) {
        if (job.active === 0) void this.dropPages(job);
      } else if (job.complete && this.othersComplete(job)) void this.commitDone(job);
      else this.persistPages(job);
    }
  }

  /**
   * Completions are gathered for a moment only: until they are committed, the leader takes their machines for full and
   * deals nothing to them.
   */
  private persistPages(job: JobState): void {
    const { clock, settings, commits } = this.ports;
    for (const [index, page] of job.pages) {
      const due =
        page.dirt === 'now' || (page.dirt === 'soon' && clock() - page.dirtySince > settings.reportMs / 8);
      if (due && !commits.full) void this.commitPage(job, index, page);
    }
  }

  /** Completed tasks stay so, which is why a late view of the other blocks' pages is enough. */
  private othersComplete(job: JobState): boolean {
    if (job.whole) return true;
    // One owner asks: rivals would only spend writes on conflicts.
    if (!job.first || !job.completeCommitted || !job.spec) return false;
    return this.ports.census.progress(job.id).done === job.spec.tasks;
  }

  private get block(): Condition {
    return { key: blockKey(this.ports.board.block), version: this.ports.board.version };
  }

  /** Intent before action: only what this commit has confirmed may be sent to a machine. */
  private async commitPage(job: JobState, index: number, state: PageState): Promise<void> {
    const { board, commits, clock } = this.ports;
    const { block } = this;
    const { page, placing, done } = job.snapshot(index);
    const key = runKey(job.id, job.block, index);
    state.busy = true;
    state.dirt = 'clean';
    // The job's record goes with its end, so its version says that the job is open, and placed as we know it.
    const outcome = await commits.commit(
      [block, { key, version: state.version }, { key: jobKey(job.id), version: job.version }],
      [{ put: key, value: page }],
    );
    state.busy = false;
    if (outcome.kind === 'applied') {
      state.version = outcome.revision;
      for (const task of placing) if (task.phase === 'placing') task.phase = 'placed';
      job.commitDone(done);
      return;
    }
    job.soilPage(index, 'now', clock());
    if (outcome.kind === 'conflict' && outcome.failed.includes(jobKey(job.id))) {
      // Ended, or placed anew by the leader: the watch will tell. Nothing of these intents was sent to anybody.
      for (const task of placing) if (task.phase === 'placing') board.takeOff(task);
      job.retryAt = clock() + this.ports.settings.reportMs / 2;
      return;
    }
    await this.settle(outcome, block, key, state);
  }

  private async commitDone(job: JobState): Promise<void> {
    const { commits, board, settings, signal, clock } = this.ports;
    const { block } = this;
    job.ending = true;
    const drops = [...job.pages.keys()].slice(0, settings.state.txnOps - 2);
    const outcome = await commits.commit(
      [block, { key: endKey(job.id), version: 0 }, { key: jobKey(job.id), version: job.version }],
      [
        { put: endKey(job.id), value: endRecord('done', job.spec?.tasks ?? job.doneCount) },
        { drop: jobKey(job.id) },
        ...drops.map((page) => ({ drop: runKey(job.id, job.block, page) })),
      ],
    );
    if (outcome.kind === 'applied') {
      board.endJob(job, 'done');
      for (const page of drops) job.pages.delete(page);
    } else {
      this.checkBlock(outcome, block);
      // Ended already, by this commit after all, by another block's owner or by a user: the watch tells which.
      if (outcome.kind !== 'refused') await sleep(settings.reportMs / 4, signal);
      job.retryAt = clock();
    }
    job.ending = false;
  }

  /** An ended job with no task on any machine needs no record of its run. */
  private async dropPages(job: JobState): Promise<void> {
    const { board, commits, settings } = this.ports;
    const { block } = this;
    const drops = [...job.pages.keys()].slice(0, settings.state.txnOps);
    if (drops.length === 0) {
      board.jobs.delete(job.id);
      return;
    }
    job.ending = true;
    const outcome = await commits.commit(
      [block],
      drops.map((page) => ({ drop: runKey(job.id, job.block, page) })),
    );
    job.ending = false;
    if (outcome.kind === 'applied') for (const page of drops) job.pages.delete(page);
    else this.checkBlock(outcome, block);
  }

  private checkBlock(outcome: CommitOutcome, block: Condition): void {
    if (outcome.kind === 'conflict' && outcome.failed.includes(block.key))
      this.rejectedVersion = block.version;
  }

  /**
   * After a commit that failed or whose fate is unknown. Only this owner writes the page while the block is ours, so
   * whatever version it has now came from one of our own commits, and the next one is built on it. An older one that
   * is still on its way is conditioned on a version that is gone by then.
   */
  private async settle(
    outcome: CommitOutcome,
    block: Condition,
    key: string,
    state: PageState,
  ): Promise<void> {
    const { store, signal, log } = this.ports;
    this.checkBlock(outcome, block);
    if (signal.aborted || outcome.kind === 'refused') return;
    if (outcome.kind === 'conflict' && !outcome.failed.includes(key)) return;
    state.busy = true;
    try {
      state.version = (await store.read(key))?.version ?? 0;
    } catch (error) {
      log.debug({ event: 'page-read-failed', key, err: error }, 'page not read');
    } finally {
      state.busy = false;
    }
  }
}
