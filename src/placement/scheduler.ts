/**
 * Schedules the placement rounds of a block, and the writes of the block's changes to the store. A block is a
 * set of machines that is leased to one controller. A placement round assigns waiting tasks to machines.
 */
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
  /** Returns the machine types of the cloud, by name. */
  machineTypes: () => ReadonlyMap<string, MachineType>;
}

/** Time in ms for which requests for a placement round are collected. One round handles all of them. */
const requestBatchingMs = 100;
/**
 * Minimum number of placement rounds per heartbeat interval. Rounds are needed even without requests, because
 * retry back-offs end and machines become usable without an event that requests a round.
 */
const roundsPerHeartbeat = 4;
/**
 * Maximum number of tasks that one round places, as a multiple of the maximum number of writes in a
 * transaction.
 */
const transactionsPerRound = 8;
/**
 * Maximum age of a machine's latest heartbeat, in heartbeat intervals. If the heartbeat is older, no tasks
 * are placed on the machine.
 */
const maxHeartbeatAgeIntervals = 1.6;

/**
 * Places waiting tasks on machines of the block, and writes the state of the block to the store. A task
 * attempt is committed to the ledger, as an intent, before its start command is sent.
 */
export class Scheduler {
  private readonly trigger = new RoundTrigger();
  /** Monotonic time in ms at which the latest round over all machines began. */
  private lastRoundAt = -Infinity;
  /** Machine types of the block's usable spot machines, determined by the latest round over all machines. */
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

  /** Requests a round over all machines. Called after changes that may allow waiting tasks to be placed. */
  requestRound(): void {
    this.trigger.request();
  }

  /**
   * Runs a placement round for one machine immediately, so that the response to the machine's heartbeat can
   * contain the start commands. Does nothing if the lease has ended or the store is failing.
   */
  placeOn(machine: MachineState): void {
    const { signal, store, blockState } = this.ports;
    if (signal.aborted || store.failing) return;
    if (blockState.waitingJobs().length > 0 && this.hasRoom(machine)) this.placeWaitingTasks([machine]);
    // Changes from the heartbeat are written if their pages are due. Most heartbeats cause no changes.
    if (blockState.ledger.hasUnwrittenChanges) this.writeChanges();
  }

  /** Whether tasks may be placed on the machine, and some of its CPUs and memory are free. */
  hasRoom(machine: MachineState): boolean {
    const type = this.ports.machineTypes().get(machine.info.type);
    if (!type || !this.isUsable(machine)) return false;
    const free = machine.freeResources(type);
    return free.cpus > 0 && free.memoryGb > 0;
  }

  /**
   * Waits until none of the tasks has an uncommitted intent, but not longer than `maxWaitMs` milliseconds.
   */
  waitForCommits(tasks: () => Iterable<Task>, maxWaitMs: number): Promise<void> {
    return waitForIntentCommits(tasks, maxWaitMs, this.ports.clock);
  }

  /**
   * Runs placement rounds over all machines, and writes the changes of the block, until the lease of the
   * block ends. Called once.
   */
  async run(): Promise<void> {
    const { signal } = this.ports;
    while (!this.hasLeaseEnded()) {
      await sleep(requestBatchingMs, signal);
      if (!this.trigger.isRequested) await this.trigger.wait(this.nextRoundDelayMs(), signal);
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

  /** Has to be checked after each `await`, because the lease may end during the wait. */
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
   * Returns the time in ms after which `run` continues even if no round is requested: the round interval, or
   * less if intents wait to be committed or completions are being collected for a deferred write.
   */
  private nextRoundDelayMs(): number {
    const { blockState, store } = this.ports;
    const writeWaitMs = Math.max(requestBatchingMs, store.writeWaitMs('duty'));
    if (blockState.ledger.hasImmediateWrites && !store.failing)
      return Math.min(this.roundIntervalMs, writeWaitMs);
    if (!blockState.ledger.hasUnwrittenChanges) return this.roundIntervalMs;
    return Math.min(this.roundIntervalMs, this.writer.nextCheckMs);
  }

  /** Runs a placement round over the given machines, by default over all machines of the block. */
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

  /**
   * Starts the commits that are due. Commits of job outcomes are started before commits of ledger pages,
   * because users and dependent jobs wait for the outcomes.
   */
  private writeChanges(): void {
    if (!this.writer.canCommit) return;
    this.completion.checkCompletedJobs();
    this.writer.writePages();
  }
}
