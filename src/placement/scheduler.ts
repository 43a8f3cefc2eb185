/** When a block's waiting tasks are placed, and when what has changed is written down. */
import type { Clock } from '../base/clock.js';
import { onAbort } from '../base/aborts.js';
import { sleep, timer } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { nextTurn } from '../base/turns.js';
import type { MachineType } from '../model/types.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { MachineState } from './machine-state.js';
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
  machineTypes: () => ReadonlyMap<string, MachineType>;
}

/** What is asked for within this time is looked at together. */
const gatherTriggersMs = 100;
/** A round comes so often in a report interval in any case: machines and pauses become usable with time alone. */
const roundsPerHeartbeat = 4;
/** Placements of one round, as a multiple of the writes that fit a transaction. */
const transactionsPerRound = 8;

/** Places waiting tasks and keeps the store in step with the state of the block, intents first. */
export class Scheduler {
  private isRoundRequested = true;
  /** Set while the rounds rest: something that presses calls it. */
  private wakeLoop: (() => void) | undefined;
  /** Types of the block's usable cheap machines, as of the last whole round. */
  private spotTypes: ReadonlySet<string> = new Set();
  private readonly writer: LedgerWriter;
  private readonly completion: JobCompletion;

  constructor(private readonly ports: SchedulerPorts) {
    this.writer = new LedgerWriter({ ...ports, onCommitSettled: () => this.writeChanges() });
    this.completion = new JobCompletion({ ...ports, onOutcomeSettled: () => this.requestRound() });
  }

  /** Something changed that may let a task start. */
  requestRound(): void {
    this.isRoundRequested = true;
    this.wakeLoop?.();
  }

  /** A round at once for one machine, whose answer can carry its starts. */
  placeOn(machine: MachineState): void {
    const { signal, store, blockState } = this.ports;
    if (signal.aborted || store.failing) return;
    if (blockState.waitingJobs().length > 0 && this.hasRoom(machine)) this.placeWaitingTasks([machine]);
    // What the report said is written down once it is due; most reports say nothing new.
    if (blockState.ledger.hasUnwrittenChanges) this.writeChanges();
  }

  /** There is room on the machine, and it may be used. */
  hasRoom(machine: MachineState): boolean {
    const type = this.ports.machineTypes().get(machine.info.type);
    if (!type || !this.isUsable(machine)) return false;
    const free = machine.freeResources(type);
    return free.cpus > 0 && free.memoryGb > 0;
  }

  /** Settles once it is known which of the tasks that are being placed may start, or when the time is up. */
  async waitForCommits(tasks: () => Iterable<Task>, withinMs: number): Promise<void> {
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
      const commits = [...open].filter((page) => page.isCommitting).map((page) => page.commit);
      await (commits.length > 0 ? Promise.race([timeUp.over, Promise.all(commits)]) : timeUp.over);
    }
    timeUp.cancel();
  }

  /** A machine that tasks may be placed on. */
  isUsable(machine: MachineState): boolean {
    const { clock, settings } = this.ports;
    return (
      machine.reconciled &&
      machine.releaseReason === '' &&
      !machine.draining &&
      !machine.faulty &&
      machine.preemptionNoticeS === null &&
      clock() - machine.lastHeartbeatAt < settings.heartbeatIntervalMs * 1.6
    );
  }

  async run(): Promise<void> {
    const { signal, store, blockState, settings, clock } = this.ports;
    const restMs = settings.heartbeatIntervalMs / roundsPerHeartbeat;
    let placedAt = -Infinity;
    while (!signal.aborted) {
      await sleep(gatherTriggersMs, signal);
      if (!this.isRoundRequested) await this.waitUpTo(this.nextRoundMs(restMs));
      if (signal.aborted) return;
      if ((this.isRoundRequested || clock() - placedAt >= restMs) && !store.failing) {
        this.isRoundRequested = false;
        placedAt = clock();
        if (blockState.waitingJobs().length > 0) this.placeWaitingTasks();
        await nextTurn();
      }
      if (!signal.aborted && this.writer.canCommit) this.completion.checkAllJobs();
      await nextTurn();
      if (!signal.aborted) this.writeChanges();
    }
  }

  /** Until the next round is due: sooner where intents wait for their turn, or completions are being gathered. */
  private nextRoundMs(restMs: number): number {
    const { blockState, store } = this.ports;
    const waitMs = Math.max(gatherTriggersMs, store.writeWaitMs('duty'));
    if (blockState.ledger.hasUrgentWrites && !store.failing) return Math.min(restMs, waitMs);
    return blockState.ledger.hasUnwrittenChanges ? Math.min(restMs, this.writer.nextCheckMs) : restMs;
  }

  private async waitUpTo(ms: number): Promise<void> {
    const over = timer(ms);
    const stopListening = onAbort(this.ports.signal, () => this.wakeLoop?.());
    const woken = new Promise<void>((resolve) => {
      this.wakeLoop = resolve;
    });
    await Promise.race([over.over, woken]);
    over.cancel();
    stopListening();
    this.wakeLoop = undefined;
  }

  private placeWaitingTasks(machines?: MachineState[]): void {
    const { blockState, clock, settings, machineTypes } = this.ports;
    if (!machines) this.spotTypes = this.usableSpotTypes();
    const choices = placeTasks({
      now: clock(),
      jobs: blockState.waitingJobs(),
      machines: machines ?? blockState.machines.values(),
      spotTypes: this.spotTypes,
      isPartial: machines !== undefined,
      machineTypes: machineTypes(),
      teamOf: (name) => blockState.teamWithinShares(name),
      teamUsage: () => blockState.teamUsage(),
      maxTasks: settings.state.txnOps * transactionsPerRound,
      isUsable: (machine) => this.isUsable(machine),
    });
    for (const { task, machine } of choices) blockState.addTask(task, machine);
  }

  private usableSpotTypes(): Set<string> {
    const cheap = [...this.ports.blockState.machines.values()].filter((m) => m.info.spot && this.isUsable(m));
    return new Set(cheap.map((machine) => machine.info.type));
  }

  /** Ends first: users wait for them, and so do the jobs that need them. */
  private writeChanges(): void {
    if (!this.writer.canCommit) return;
    this.completion.checkCompletedJobs();
    this.writer.writePages();
  }
}
