import type { Clock } from '../base/clock.js';
import { onAbort } from '../base/aborts.js';
import { sleep, timer } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { nextTurn } from '../base/turns.js';
import type { MachineType } from '../model/types.js';
import type { Settings } from '../settings/settings.js';
import type { CommitOutcome, StoreClient } from '../store/client.js';
import type { CommitStage } from '../store/commit-stage.js';
import { blockKey, endKey, endRecord, jobKey, ledgerKey, ledgerPage } from '../wire/records.js';
import type { Condition } from '../wire/state.js';
import type { MachineState } from '../workers/machine-state.js';
import type { BlockState } from './block-state.js';
import type { JobIndex } from './job-index.js';
import type { JobState, Task } from './job-state.js';
import { type LedgerPage, type PageSnapshot, type RetiredPage, snapshot } from './ledger.js';
import { placeTasks } from './placement-round.js';

export interface SchedulerPorts {
  clock: Clock;
  wallClock: () => number;
  log: Log;
  settings: Settings;
  store: StoreClient;
  commits: CommitStage;
  blockState: BlockState;
  /** Ends with the lease of the block. */
  signal: AbortSignal;
  jobIndex: JobIndex;
  types: () => ReadonlyMap<string, MachineType>;
}

/** What is asked for within this time is looked at together. */
const tickMs = 100;
/** A round comes so often in a report interval in any case: machines and pauses become usable with time alone. */
const roundsPerReport = 4;
/** Placements of one round, as a multiple of the writes that fit a transaction. */
const roundTransactions = 8;
/** A controller's even share of the changes of so long is what gathering completions may cost at most. */
const gatherChanges = 4;
/** Likewise for each page of the ledger. */
const gatherPages = 1 / 2;
/** So many seconds of a controller's even share of the changes may be under way as ends. */
const endingS = 2;
const changesPerEnd = 2;
/** Jobs that one commit of a page places tasks of, likewise: half of the conditions that a transaction can hold. */
const jobsPerCommit = 2;

/** Places waiting tasks and keeps the store in step with the state of the block, intents first. */
export class Scheduler {
  private wanted = true;
  /** Set while the rounds rest: something that presses calls it. */
  private wake: (() => void) | undefined;
  private rejectedVersion = -1;
  /** Types of the block's usable cheap machines, as of the last whole round. */
  private cheap: ReadonlySet<string> = new Set();
  /** Ends that are being committed. They take turns with the pages: both wait for the same changes. */
  private ending = 0;
  private readonly mostEnding: number;

  constructor(private readonly ports: SchedulerPorts) {
    const { controllers, state } = ports.settings;
    this.mostEnding = Math.max(1, Math.floor((state.writeRps * endingS) / controllers / changesPerEnd));
  }

  /**
   * How long completions are gathered before a page is written for their sake alone. Where the store takes few changes, or
   * the pages are many, these must not keep intents waiting.
   */
  private gatherMs(pages: number): number {
    const { reportMs, controllers, state } = this.ports.settings;
    const changes = Math.max(gatherChanges, pages * gatherPages);
    return Math.max(reportMs / 8, (changes * controllers * 1000) / state.writeRps);
  }

  /** Something changed that may let a task start. */
  poke(): void {
    this.wanted = true;
    this.wake?.();
  }

  /** A round at once for one machine, whose answer can carry its starts. */
  placeNow(machine: MachineState): void {
    const { signal, store, blockState } = this.ports;
    if (signal.aborted || store.failing) return;
    if (blockState.waitingJobs().length > 0 && this.hasRoom(machine)) this.place([machine]);
    // What the report said is written down once it is due; most reports say nothing new.
    if (blockState.ledger.isSoiled) this.persist();
  }

  /** There is room on the machine, and it may be used. */
  hasRoom(machine: MachineState): boolean {
    const type = this.ports.types().get(machine.place.type);
    if (!type || !this.usable(machine)) return false;
    const free = machine.free(type);
    return free.cpus > 0 && free.memoryGb > 0;
  }

  /** Settles once it is known which of the tasks that are being placed may start, or when the time is up. */
  async decided(tasks: () => Iterable<Task>, withinMs: number): Promise<void> {
    const { clock } = this.ports;
    const until = clock() + withinMs;
    const pages = (): Set<LedgerPage> => {
      const placing = [...tasks()].filter((task) => task.phase === 'placing');
      return new Set(placing.flatMap((task) => task.job.pageOf(task.index) ?? []));
    };
    let open = pages();
    if (open.size === 0) return;
    const timeUp = timer(withinMs);
    for (; open.size > 0 && clock() < until; open = pages()) {
      // A page that cannot be committed now, since the store knows the block differently, takes longer than we wait.
      const commits = [...open].filter((page) => page.busy).map((page) => page.commit);
      await (commits.length > 0 ? Promise.race([timeUp.over, Promise.all(commits)]) : timeUp.over);
    }
    timeUp.cancel();
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
    const { signal, store, blockState, settings, clock } = this.ports;
    const restMs = settings.reportMs / roundsPerReport;
    let placedAt = -Infinity;
    while (!signal.aborted) {
      await sleep(tickMs, signal);
      if (!this.wanted) await this.rest(this.due(restMs));
      if (signal.aborted) return;
      if ((this.wanted || clock() - placedAt >= restMs) && !store.failing) {
        this.wanted = false;
        placedAt = clock();
        if (blockState.waitingJobs().length > 0) this.place();
        await nextTurn();
      }
      if (!signal.aborted) this.endJobs();
      await nextTurn();
      if (!signal.aborted) this.persist();
    }
  }

  /** Until the next round is due: sooner where intents wait for their turn, or completions are being gathered. */
  private due(restMs: number): number {
    const { blockState, store } = this.ports;
    const waitMs = Math.max(tickMs, store.writeWaitMs('duty'));
    if (blockState.ledger.presses && !store.failing) return Math.min(restMs, waitMs);
    return blockState.ledger.isSoiled
      ? Math.min(restMs, this.gatherMs(blockState.ledger.pagesInUse) / 2)
      : restMs;
  }

  private async rest(ms: number): Promise<void> {
    const over = timer(ms);
    const stopListening = onAbort(this.ports.signal, () => this.wake?.());
    const woken = new Promise<void>((resolve) => {
      this.wake = resolve;
    });
    await Promise.race([over.over, woken]);
    over.cancel();
    stopListening();
    this.wake = undefined;
  }

  private place(machines?: MachineState[]): void {
    const { blockState, clock, settings, types } = this.ports;
    if (!machines) this.cheap = this.cheapTypes();
    const choices = placeTasks({
      now: clock(),
      jobs: blockState.waitingJobs(),
      machines: machines ?? blockState.machines.values(),
      cheap: this.cheap,
      partial: machines !== undefined,
      types: types(),
      team: (name) => blockState.shareOf(name),
      usage: () => blockState.usage(),
      most: settings.state.txnOps * roundTransactions,
      usable: (machine) => this.usable(machine),
    });
    for (const { task, machine } of choices) blockState.put(task, machine);
  }

  private cheapTypes(): Set<string> {
    const cheap = [...this.ports.blockState.machines.values()].filter((m) => m.place.spot && this.usable(m));
    return new Set(cheap.map((machine) => machine.place.type));
  }

  /**
   * Only what can go out at once is gathered: the block's record changes often, and what waits for its turn has been
   * turned down by then. Nor can anything be committed while the store knows the block under another version.
   */
  private mayCommit(): boolean {
    const { blockState, store } = this.ports;
    return blockState.version !== this.rejectedVersion && store.writeWaitMs('duty') === 0;
  }

  private persist(): void {
    const { blockState, commits, clock, settings } = this.ports;
    if (!this.mayCommit()) return;
    // Users wait for the end of a job, and so do the jobs that need it.
    for (const job of blockState.takeCompleted()) this.endIfOver(job);
    const { ledger } = blockState;
    const gatherMs = this.gatherMs(ledger.pagesInUse);
    const now = clock();
    const pages = [...ledger.pages.values()].filter((page) => !page.busy);
    for (const page of pages) {
      if (commits.full) return;
      if (page.dirt === 'now') page.commit = this.commitPage(page);
    }
    // What can be learned again fills up the next transaction: behind more of it, what comes to press would wait.
    const due = pages
      .filter((page) => page.dirt === 'soon' && now - page.dirtySince > gatherMs)
      .sort((a, b) => a.dirtySince - b.dirtySince);
    for (const page of due.slice(0, Math.max(0, settings.state.txnOps - commits.writableLength))) {
      page.commit = this.commitPage(page);
    }
    if (commits.writableLength === 0) for (const page of ledger.dispensable()) void this.dropPage(page);
  }

  private async dropPage(page: RetiredPage): Promise<void> {
    const { blockState, commits, store, settings, signal, log } = this.ports;
    const key = ledgerKey(blockState.block, page.index);
    page.busy = true;
    const outcome = await commits.commit([this.block, { key, version: page.version }], [{ drop: key }]);
    if (outcome.kind === 'applied') {
      blockState.ledger.retired.delete(page.index);
      return;
    }
    await sleep(settings.reportMs / 4, signal);
    try {
      const stored = await store.read(key);
      if (stored) page.version = stored.version;
      else blockState.ledger.retired.delete(page.index);
    } catch (error) {
      log.debug({ event: 'page-read-failed', key, err: error }, 'page not read');
    } finally {
      page.busy = false;
    }
  }

  private endJobs(): void {
    if (!this.mayCommit()) return;
    for (const job of this.ports.blockState.jobs.values()) this.endIfOver(job);
  }

  private endIfOver(job: JobState): void {
    const { blockState, commits, clock } = this.ports;
    if (job.ending) return;
    if (job.ended) {
      if (job.active > 0) return;
      job.leaveLedger(clock());
      blockState.jobs.delete(job.id);
    } else if (this.ending < this.mostEnding && !commits.full && job.complete && this.othersComplete(job)) {
      void this.commitDone(job);
    }
  }

  /** Completed tasks stay so, which is why a late view of the other blocks' pages is enough. */
  private othersComplete(job: JobState): boolean {
    if (job.whole) return true;
    // One owner asks: rivals would only spend writes on conflicts.
    if (!job.first || !job.completeCommitted || !job.spec) return false;
    return this.ports.jobIndex.progress(job.id).done === job.spec.tasks;
  }

  private get block(): Condition {
    return { key: blockKey(this.ports.blockState.block), version: this.ports.blockState.version };
  }

  /** Intent before action: only what this commit has confirmed may be sent to a machine. */
  private async commitPage(page: LedgerPage): Promise<void> {
    const { blockState, commits, settings } = this.ports;
    const { block } = this;
    const key = ledgerKey(blockState.block, page.index);
    page.busy = true;
    page.dirt = 'clean';
    const { pageBytes } = blockState.ledger;
    const mostJobs = settings.state.txnOps * jobsPerCommit;
    const shot = snapshot(page, mostJobs, (task) => blockState.takeOff(task), pageBytes);
    if (shot.bytes > pageBytes) return this.putOff(page);
    // A job's record goes with its end, so its version says that the job is open, and placed as we know it.
    const jobs = new Map(shot.placing.map(({ job }) => [job, job.version]));
    const attempts = new Map(shot.placing.map((task) => [task, task.attempt]));
    const open = [...jobs].map(([job, version]) => ({ key: jobKey(job.id), version }));
    const outcome = await commits.commit(
      [block, { key, version: page.version }, ...open],
      [{ put: key, value: ledgerPage(shot.entries) }],
      shot.bytes,
    );
    page.busy = false;
    if (outcome.kind === 'applied') {
      page.version = outcome.revision;
      blockState.ledger.noteWritten(shot.chunks);
      for (const task of shot.placing) {
        // Its machine may have gone meanwhile, and another been chosen, which this commit knows nothing of.
        if (task.phase !== 'placing' || task.attempt !== attempts.get(task)) continue;
        task.phase = 'placed';
        blockState.machines.get(task.machine)?.wake?.();
      }
      for (const { job, indices } of shot.done) job.commitDone(indices);
    } else await this.recover(page, shot, outcome, { block, key, jobs });
    // What became dirty meanwhile goes at once.
    if (!this.ports.signal.aborted && !this.ports.store.failing) this.persist();
  }

  /** Too large for a value: it is written once enough of its tasks are done. */
  private putOff(page: LedgerPage): void {
    for (const chunk of page.chunks) chunk.entry = undefined;
    page.busy = false;
    page.soil('soon', this.ports.clock());
    this.ports.log.info(
      { event: 'page-put-off', page: page.index },
      'a page of the ledger is too large for now',
    );
  }

  private async recover(
    page: LedgerPage,
    shot: PageSnapshot,
    outcome: CommitOutcome,
    at: { block: Condition; key: string; jobs: ReadonlyMap<JobState, number> },
  ): Promise<void> {
    const { blockState, clock } = this.ports;
    for (const chunk of page.chunks) chunk.entry = undefined;
    if (outcome.kind === 'conflict') {
      for (const task of shot.placing) {
        // Ended, or dispatched anew by the leader: the watch will tell. Nothing of these intents was sent to anybody.
        if (!outcome.failed.includes(jobKey(task.job.id))) continue;
        // The version that was turned down: the watch may have brought its successor by now.
        task.job.rejected = at.jobs.get(task.job) ?? -1;
        if (task.phase === 'placing') blockState.takeOff(task);
      }
    }
    page.soil(shot.placing.some((task) => task.phase === 'placing') ? 'now' : 'soon', clock());
    await this.settle(outcome, at.block, at.key, page);
  }

  /**
   * Not conditioned on the block: that all tasks are done stays true whoever has it, and its record changes so often that
   * ends which wait for their turn would be turned down again and again.
   */
  private async commitDone(job: JobState): Promise<void> {
    const { commits, blockState, settings, signal } = this.ports;
    job.ending = true;
    this.ending++;
    const tasks = job.spec?.tasks ?? job.doneCount;
    const end = endRecord({ end: 'done', tasks, at: this.ports.wallClock() });
    const outcome = await commits.commit(
      [
        { key: endKey(job.id), version: 0 },
        { key: jobKey(job.id), version: job.version },
      ],
      [{ put: endKey(job.id), value: end }, { drop: jobKey(job.id) }],
    );
    if (outcome.kind === 'applied') blockState.endJob(job, 'done');
    this.ending--;
    // Ended already, by this commit after all, by another block's owner or by a user: the watch tells which.
    if (outcome.kind !== 'applied') await sleep(settings.reportMs / 4, signal);
    job.ending = false;
    this.poke();
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
    page: LedgerPage,
  ): Promise<void> {
    const { store, signal, log, settings } = this.ports;
    this.checkBlock(outcome, block);
    if (signal.aborted || outcome.kind === 'refused') return;
    if (outcome.kind === 'malformed') {
      log.error({ event: 'page-refused', key }, 'the state service calls a page malformed');
      page.busy = true;
      await sleep(settings.reportMs, signal);
      page.busy = false;
      return;
    }
    if (outcome.kind === 'conflict' && !outcome.failed.includes(key)) return;
    page.busy = true;
    try {
      page.version = (await store.read(key))?.version ?? 0;
    } catch (error) {
      log.debug({ event: 'page-read-failed', key, err: error }, 'page not read');
    } finally {
      page.busy = false;
    }
  }
}
