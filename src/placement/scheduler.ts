/** When a block's waiting tasks are placed, and when what has changed is written down. */
import { sleep } from '../base/clock.js';
import { nextTurn } from '../base/turns.js';
import type { MachineType } from '../model/types.js';
import { waitForIntentCommits } from './intent-commits.js';
import { JobCompletion, type JobCompletionPorts } from './job-completion.js';
import type { Task } from './job-state.js';
import { LedgerWriter, type LedgerWriterPorts } from './ledger-writer.js';
import type { MachineState } from './machine-state.js';
import { placeTasks } from './placement-round.js';
import { RoundTrigger } from './round-trigger.js';

/** What the scheduler and its parts use. */
export interface SchedulerPorts
  extends Omit<LedgerWriterPorts, 'onCommitSettled'>, Omit<JobCompletionPorts, 'onOutcomeSettled'> {
  commits: LedgerWriterPorts['commits'];
  machineTypes: () => ReadonlyMap<string, MachineType>;
}

/** Requests that come within this time are served by one round. */
const gatherRequestsMs = 100;
/** There are so many rounds in a heartbeat interval in any case: machines and pauses become usable with time alone. */
const roundsPerHeartbeat = 4;
/** One round places as many tasks as there are writes in so many transactions. */
const transactionsPerRound = 8;
/** A machine that has not been heard of for so many heartbeat intervals gets no tasks. */
const maxHeartbeatAgeIntervals = 1.6;

/** Places waiting tasks and keeps the store in step with the state of the block, intents first. */
export class Scheduler {
  private readonly trigger = new RoundTrigger();
  private lastRoundAt = -Infinity;
  /** Types of the block's usable spot machines, as of the last round over all machines. */
  private spotTypes: ReadonlySet<string> = new Set();
  private readonly writer: LedgerWriter;
  private readonly completion: JobCompletion;
  private readonly roundIntervalMs: number;
  private readonly maxHeartbeatAgeMs: number;

  constructor(private readonly ports: SchedulerPorts) {
    const { heartbeatIntervalMs } = ports.settings;
    this.roundIntervalMs = heartbeatIntervalMs / roundsPerHeartbeat;
    this.maxHeartbeatAgeMs = heartbeatIntervalMs * maxHeartbeatAgeIntervals;
    this.writer = new LedgerWriter({ ...ports, onCommitSettled: () => this.writeChanges() });
    this.completion = new JobCompletion({ ...ports, onOutcomeSettled: () => this.requestRound() });
  }

  /** Something changed that may let a task start: a round over all machines follows soon. */
  requestRound(): void {
    this.trigger.request();
  }

  /** A round at once for one machine, so that the response to its heartbeat can carry its starts. */
  placeOn(machine: MachineState): void {
    const { signal, store, blockState } = this.ports;
    if (signal.aborted || store.failing) return;
    if (blockState.waitingJobs().length > 0 && this.hasRoom(machine)) this.placeWaitingTasks([machine]);
    // What the heartbeat said is written down once it is due; most heartbeats say nothing new.
    if (blockState.ledger.hasUnwrittenChanges) this.writeChanges();
  }

  /** Whether the machine may be used and has room for anything. */
  hasRoom(machine: MachineState): boolean {
    const type = this.ports.machineTypes().get(machine.info.type);
    if (!type || !this.isUsable(machine)) return false;
    const free = machine.freeResources(type);
    return free.cpus > 0 && free.memoryGb > 0;
  }

  /** Settles once it is known which of the tasks that are being placed may start, or when the time is up. */
  waitForCommits(tasks: () => Iterable<Task>, withinMs: number): Promise<void> {
    return waitForIntentCommits(tasks, withinMs, this.ports.clock);
  }

  /** Runs rounds over all machines until the lease of the block ends. Called once. */
  async run(): Promise<void> {
    const { signal } = this.ports;
    while (!this.isOver()) {
      await sleep(gatherRequestsMs, signal);
      if (!this.trigger.isRequested) await this.trigger.wait(this.nextRoundMs(), signal);
      if (this.isOver()) return;
      if (this.isRoundDue()) {
        this.startRound();
        await nextTurn();
      }
      if (!this.isOver() && this.writer.canCommit) this.completion.checkAllJobs();
      await nextTurn();
      if (!this.isOver()) this.writeChanges();
    }
  }

  /** The signal may fire during any pause. */
  private isOver(): boolean {
    return this.ports.signal.aborted;
  }

  private isRoundDue(): boolean {
    const { store, clock } = this.ports;
    const isIntervalOver = (): boolean => clock() - this.lastRoundAt >= this.roundIntervalMs;
    return (this.trigger.isRequested || isIntervalOver()) && !store.failing;
  }

  private startRound(): void {
    const { blockState, clock } = this.ports;
    this.trigger.clear();
    this.lastRoundAt = clock();
    if (blockState.waitingJobs().length > 0) this.placeWaitingTasks();
  }

  /** Until the next round is due: sooner where intents wait for their turn, or completions are being gathered. */
  private nextRoundMs(): number {
    const { blockState, store } = this.ports;
    const writeWaitMs = Math.max(gatherRequestsMs, store.writeWaitMs('duty'));
    if (blockState.ledger.hasUrgentWrites && !store.failing)
      return Math.min(this.roundIntervalMs, writeWaitMs);
    if (!blockState.ledger.hasUnwrittenChanges) return this.roundIntervalMs;
    return Math.min(this.roundIntervalMs, this.writer.nextCheckMs);
  }

  /** Over the given machines, or over all. */
  private placeWaitingTasks(machines?: MachineState[]): void {
    const { blockState, clock, settings, machineTypes } = this.ports;
    if (!machines) this.spotTypes = this.usableSpotTypes();
    const placements = placeTasks({
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
    for (const { task, machine } of placements) blockState.addTask(task, machine);
  }

  private isUsable(machine: MachineState): boolean {
    return machine.isUsable(this.ports.clock(), this.maxHeartbeatAgeMs);
  }

  private usableSpotTypes(): Set<string> {
    const types = new Set<string>();
    for (const machine of this.ports.blockState.machines.values())
      if (machine.info.spot && this.isUsable(machine)) types.add(machine.info.type);
    return types;
  }

  /** Outcomes first: users wait for them, and so do the jobs that need them. */
  private writeChanges(): void {
    if (!this.writer.canCommit) return;
    this.completion.checkCompletedJobs();
    this.writer.writePages();
  }
}
