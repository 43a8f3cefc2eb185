/** Schedules the placement rounds of a block and the writes of its changes to the store. */
import { sleep } from '../base/clock.js';
import { nextEventLoopIteration } from '../base/event-loop.js';
import type { MachineType } from '../model/types.js';
import { waitForIntentCommits } from './intent-commits.js';
import { JobCompletion, type JobCompletionPorts } from './job-completion.js';
import type { Task } from './job-state.js';
import { LedgerWriter, type LedgerWriterPorts } from './ledger-writer.js';
import type { MachineState } from './machine-state.js';
import { placeTasks } from './placement-round.js';
import { RoundTrigger } from './round-trigger.js';

/** The dependencies and settings of the scheduler and its parts. */
export interface SchedulerPorts
  extends Omit<LedgerWriterPorts, 'onCommitSettled'>, Omit<JobCompletionPorts, 'onOutcomeSettled'> {
  commits: LedgerWriterPorts['commits'];
  machineTypes: () => ReadonlyMap<string, MachineType>;
}

/** Requests that arrive within this time are handled by one round. */
const requestBatchingMs = 100;
/**
 * Minimum number of rounds per heartbeat interval. Rounds are needed even without requests, since machines
 * become usable and retry back-offs end with time alone.
 */
const roundsPerHeartbeat = 4;
/** One round places at most as many tasks as this many transactions have writes. */
const transactionsPerRound = 8;
/** A machine whose latest heartbeat is older than this many heartbeat intervals gets no tasks. */
const maxHeartbeatAgeIntervals = 1.6;

/**
 * Places waiting tasks and writes the state of the block to the store; a task's intent is committed before
 * the task starts.
 */
export class Scheduler {
  private readonly trigger = new RoundTrigger();
  private lastRoundAt = -Infinity;
  /** Types of the block's usable spot machines as of the last round over all machines. */
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

  /** Requests a round over all machines, because a change may let a task start. The round follows shortly. */
  requestRound(): void {
    this.trigger.request();
  }

  /**
   * Runs a round for one machine at once, so that the response to its heartbeat can carry its start commands.
   */
  placeOn(machine: MachineState): void {
    const { signal, store, blockState } = this.ports;
    if (signal.aborted || store.failing) return;
    if (blockState.waitingJobs().length > 0 && this.hasRoom(machine)) this.placeWaitingTasks([machine]);
    // Changes from the heartbeat are written when their pages are due; most heartbeats bring no changes.
    if (blockState.ledger.hasUnwrittenChanges) this.writeChanges();
  }

  /** Whether the machine is usable and has free CPUs and free memory. */
  hasRoom(machine: MachineState): boolean {
    const type = this.ports.machineTypes().get(machine.info.type);
    if (!type || !this.isUsable(machine)) return false;
    const free = machine.freeResources(type);
    return free.cpus > 0 && free.memoryGb > 0;
  }

  /**
   * Settles once the commits under way have decided which of the tasks being placed may start, or after
   * `withinMs`.
   */
  waitForCommits(tasks: () => Iterable<Task>, withinMs: number): Promise<void> {
    return waitForIntentCommits(tasks, withinMs, this.ports.clock);
  }

  /** Runs rounds over all machines until the lease of the block ends. Called once. */
  async run(): Promise<void> {
    const { signal } = this.ports;
    while (!this.hasLeaseEnded()) {
      await sleep(requestBatchingMs, signal);
      if (!this.trigger.isRequested) await this.trigger.wait(this.nextRoundMs(), signal);
      if (this.hasLeaseEnded()) return;
      if (this.isRoundDue()) {
        this.startRound();
        await nextEventLoopIteration();
      }
      if (!this.hasLeaseEnded() && this.writer.canCommit) this.completion.checkAllJobs();
      await nextEventLoopIteration();
      if (!this.hasLeaseEnded()) this.writeChanges();
    }
  }

  /** Checked after each pause, since the signal may fire during any of them. */
  private hasLeaseEnded(): boolean {
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

  /**
   * Time until the next round in ms. It is shorter while intents wait to be committed or completions are
   * being gathered for a write.
   */
  private nextRoundMs(): number {
    const { blockState, store } = this.ports;
    const writeWaitMs = Math.max(requestBatchingMs, store.writeWaitMs('duty'));
    if (blockState.ledger.hasUrgentWrites && !store.failing)
      return Math.min(this.roundIntervalMs, writeWaitMs);
    if (!blockState.ledger.hasUnwrittenChanges) return this.roundIntervalMs;
    return Math.min(this.roundIntervalMs, this.writer.nextCheckMs);
  }

  /** Places waiting tasks on the given machines, by default on all machines of the block. */
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
      teamOf: (name) => blockState.teamWithBlockShare(name),
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

  /** Commits outcomes before ledger pages, since users and dependent jobs wait for outcomes. */
  private writeChanges(): void {
    if (!this.writer.canCommit) return;
    this.completion.checkCompletedJobs();
    this.writer.writePages();
  }
}
