/** When a block's waiting tasks are placed, and when what has changed is written down. */
import type { Clock } from '../base/clock.js';
import { onAbort } from '../base/aborts.js';
import { sleep, timer } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { nextTurn } from '../base/turns.js';
import type { MachineType } from '../model/types.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-stage.js';
import type { MachineState } from '../workers/machine-state.js';
import type { BlockState } from './block-state.js';
import { JobCompletion } from './job-completion.js';
import type { JobIndex } from './job-index.js';
import type { Task } from './job-state.js';
import type { LedgerPage } from './ledger.js';
import { LedgerWriter } from './ledger-writer.js';
import { placeTasks } from './placement-round.js';

export interface SchedulerPorts {
  clock: Clock;
  wallClock: () => number;
  log: Log;
  settings: Settings;
  store: StoreClient;
  commits: CommitQueue;
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

/** Places waiting tasks and keeps the store in step with the state of the block, intents first. */
export class Scheduler {
  private wanted = true;
  /** Set while the rounds rest: something that presses calls it. */
  private wake: (() => void) | undefined;
  /** Types of the block's usable cheap machines, as of the last whole round. */
  private cheap: ReadonlySet<string> = new Set();
  private readonly writer: LedgerWriter;
  private readonly completion: JobCompletion;

  constructor(private readonly ports: SchedulerPorts) {
    this.writer = new LedgerWriter({ ...ports, onWritten: () => this.persist() });
    this.completion = new JobCompletion({ ...ports, onDecided: () => this.poke() });
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
      if (!signal.aborted && this.writer.mayCommit) this.completion.endAll();
      await nextTurn();
      if (!signal.aborted) this.persist();
    }
  }

  /** Until the next round is due: sooner where intents wait for their turn, or completions are being gathered. */
  private due(restMs: number): number {
    const { blockState, store } = this.ports;
    const waitMs = Math.max(tickMs, store.writeWaitMs('duty'));
    if (blockState.ledger.presses && !store.failing) return Math.min(restMs, waitMs);
    return blockState.ledger.isSoiled ? Math.min(restMs, this.writer.nextLookMs) : restMs;
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

  /** Ends first: users wait for them, and so do the jobs that need them. */
  private persist(): void {
    if (!this.writer.mayCommit) return;
    this.completion.endCompleted();
    this.writer.writePages();
  }
}
