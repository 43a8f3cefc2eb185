import type { Clock } from '../base/clock.js';
import { sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { Term } from '../leadership/term.js';
import type { MachineType } from '../model/types.js';
import type { Settings } from '../settings/settings.js';
import type { CommitOutcome, StoreClient } from '../store/client.js';
import type { CommitStage } from '../store/commit-stage.js';
import { blockKey, endKey, endRecord, jobKey, runKey } from '../wire/records.js';
import type { Condition, Write } from '../wire/state.js';
import type { MachineState } from '../workers/machine-state.js';
import type { Board } from './board.js';
import type { JobState, PageState } from './job-state.js';
import { plan } from './plan.js';

export interface SchedulerPorts {
  clock: Clock;
  log: Log;
  settings: Settings;
  store: StoreClient;
  commits: CommitStage;
  board: Board;
  term: Term;
  types: () => ReadonlyMap<string, MachineType>;
}

const tickMs = 100;
/** Placements of one round, as a multiple of the writes that fit a transaction. */
const roundTransactions = 4;

/** Places waiting tasks and keeps the store in step with the board, intents first. */
export class Scheduler {
  private wanted = true;

  constructor(private readonly ports: SchedulerPorts) {}

  /** Something changed that may let a task start. */
  poke(): void {
    this.wanted = true;
  }

  /** A machine that tasks may be placed on. */
  usable(machine: MachineState): boolean {
    const { clock, settings } = this.ports;
    return (
      machine.status === 'up' &&
      machine.reconciled &&
      !machine.draining &&
      !machine.faulty &&
      machine.notice === null &&
      clock() - machine.lastSeen < settings.reportMs * 1.6
    );
  }

  async run(): Promise<void> {
    const { term, store } = this.ports;
    let rounds = 0;
    while (!term.signal.aborted) {
      await sleep(tickMs, term.signal);
      if (term.signal.aborted) return;
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
      teams: settings.teams,
      usage: board.usage(),
      most: settings.state.txnOps * roundTransactions,
      usable: (machine) => this.usable(machine),
    });
    for (const { task, machine } of choices) board.put(task, machine);
  }

  private persist(): void {
    const { board, clock, settings, commits } = this.ports;
    const now = clock();
    for (const job of board.jobs.values()) {
      if (commits.full) return;
      if (job.ending || [...job.pages.values()].some((p) => p.busy)) continue;
      if (job.complete && !job.ended) void this.commitDone(job);
      else if (job.ended) {
        if (job.active === 0) void this.dropPages(job);
      } else {
        for (const [index, page] of job.pages) {
          const due =
            page.dirt === 'now' || (page.dirt === 'soon' && now - page.dirtySince > settings.leaseMs / 2);
          if (due && !commits.full) void this.commitPage(job, index, page);
        }
      }
    }
  }

  private get block(): Condition {
    return { key: blockKey, version: this.ports.term.token };
  }

  /** Intent before action: only what this commit has confirmed may be sent to a machine. */
  private async commitPage(job: JobState, index: number, state: PageState): Promise<void> {
    const { board, commits } = this.ports;
    const { page, placing, done } = job.snapshot(index);
    const key = runKey(job.id, index);
    state.busy = true;
    state.dirt = 'clean';
    const outcome = await commits.commit(
      [this.block, { key, version: state.version }, { key: endKey(job.id), version: 0 }],
      [{ put: key, value: page }],
    );
    state.busy = false;
    if (outcome.kind === 'applied') {
      state.version = outcome.revision;
      for (const task of placing) if (task.phase === 'placing') task.phase = 'placed';
      for (const n of done) job.doneCommitted[n] = 1;
      return;
    }
    job.soil(index, 'now', this.ports.clock());
    if (outcome.kind === 'conflict' && outcome.failed.includes(endKey(job.id))) {
      // The watch will bring the end; until then nothing of the job may start. Its tasks are on no machine yet.
      job.retryAt = Infinity;
      for (const task of placing) if (task.phase === 'placing') board.takeOff(task);
      return;
    }
    await this.settle(outcome, key, state);
  }

  private async commitDone(job: JobState): Promise<void> {
    const { board, commits, settings, clock } = this.ports;
    job.ending = true;
    const drops = [...job.pages.keys()].slice(0, settings.state.txnOps - 2);
    const writes: Write[] = [
      { put: endKey(job.id), value: endRecord('done', job.doneCount) },
      { drop: jobKey(job.id) },
      ...drops.map((page) => ({ drop: runKey(job.id, page) })),
    ];
    const outcome = await commits.commit(
      [this.block, { key: endKey(job.id), version: 0 }, { key: jobKey(job.id), version: job.jobVersion }],
      writes,
    );
    job.ending = false;
    if (outcome.kind === 'applied') {
      board.endJob(job, 'done');
      for (const page of drops) job.pages.delete(page);
      return;
    }
    // Either the commit or a user's cancel has ended the job: the watch tells which. Till then, ask no more often
    // than that takes.
    if (outcome.kind === 'unknown' || outcome.kind === 'conflict') {
      job.ending = true;
      await sleep(settings.reportMs, this.ports.term.signal);
      job.ending = false;
    }
    job.retryAt = clock();
    this.checkBlock(outcome);
  }

  /** An ended job with no task on any machine needs no record of its run. */
  private async dropPages(job: JobState): Promise<void> {
    const { board, commits, settings } = this.ports;
    const drops = [...job.pages.entries()].slice(0, settings.state.txnOps);
    if (drops.length === 0) {
      board.jobs.delete(job.id);
      return;
    }
    job.ending = true;
    const outcome = await commits.commit(
      [this.block],
      drops.map(([page]) => ({ drop: runKey(job.id, page) })),
    );
    job.ending = false;
    if (outcome.kind === 'applied') for (const [page] of drops) job.pages.delete(page);
    else this.checkBlock(outcome);
  }

  private checkBlock(outcome: CommitOutcome): void {
    if (outcome.kind === 'conflict' && outcome.failed.includes(blockKey))
      this.ports.term.end('block leased to another');
  }

  /**
   * After a commit that failed or whose fate is unknown. Only this owner writes the page while the block is ours, so
   * whatever version it has now came from one of our own commits, and the next one is built on it. An older one that
   * is still on its way is conditioned on a version that is gone by then.
   */
  private async settle(outcome: CommitOutcome, key: string, state: PageState): Promise<void> {
    const { store, term, log } = this.ports;
    this.checkBlock(outcome);
    if (term.signal.aborted || outcome.kind === 'refused') return;
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
