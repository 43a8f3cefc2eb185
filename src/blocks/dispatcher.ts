import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { nextTurn } from '../base/turns.js';
import type { Term } from '../leadership/term.js';
import type { JobSpec, MachineType } from '../model/types.js';
import { type JobIndex, type IndexedJob, needOf } from '../placement/job-index.js';
import type { QueueOrder } from '../placement/queue-order.js';
import { TeamUsage } from '../placement/placement-round.js';
import type { Settings } from '../settings/settings.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { Mirror } from '../store/mirror.js';
import type { LeasedMachine } from '../wire/block-records.js';
import { type TaskRange, jobRecord, maxTaskRanges } from '../wire/job-records.js';
import { jobKey, leaderKey } from '../wire/keys.js';
import { restoreStartedTasks, recallTasks } from './task-recall.js';
import type { BlockRegistry } from './block-registry.js';
import {
  type BlockSlots,
  CapacityEstimate,
  isZoneConstrained,
  undispatchedRanges,
  countUndispatchedTasks,
} from './capacity-estimate.js';

export interface DispatcherPorts {
  clock: Clock;
  log: Log;
  settings: Settings;
  commits: CommitQueue;
  mirror: Mirror;
  jobIndex: JobIndex;
  registry: BlockRegistry;
  term: Term;
  order: QueueOrder;
  wallClock: () => number;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /** See the blocks' capacity. */
  lookahead: number;
  isBooted: (machine: LeasedMachine) => boolean;
}

/** What is left over is dispatched again after this part of a report interval. */
const redispatchAfterHeartbeats = 0.5;
/**
 * Tasks that wait in a block without room for so many report intervals, while another has some, are taken back and dispatched
 * again. Sooner than that most of them start where they are.
 */
const recallAfterHeartbeats = 4;
/** Jobs dispatched at a time, as a share of the changes that the store takes in a second or a transaction. */
const maxDispatchesRatio = 0.35;

/** Work taken back leaves this part of the ranges that a record has room for, so that what is dispatched anew finds some. */
const maxRangesAfterRecallRatio = 1 / 2;

/** The leader's dispatching of jobs to blocks: of what no block has, and of what waits in one while another has room. */
export class Dispatcher {
  private allDispatchedAt = -Infinity;
  private rebalancedAt = -Infinity;
  /** Jobs that had tasks left when last there was dispatching. */
  private leftOverJobs: ReadonlySet<string> = new Set();
  /** Since when jobs, by block, have waited there beside room elsewhere. */
  private stuckSince: ReadonlyMap<string, number> = new Map();
  /** The copy must have reached this revision before we build on it again. */
  private committedRevision = 0;

  constructor(private readonly ports: DispatcherPorts) {}

  /** Returns the revision of the last commit. */
  async runRound(): Promise<number> {
    await this.dispatchJobs();
    await nextTurn();
    if (this.ports.mirror.revision >= this.committedRevision) await this.rebalance();
    return this.committedRevision;
  }

  /** Dispatches what no block has yet, in the order of work. */
  private async dispatchJobs(): Promise<void> {
    const { jobIndex, settings, order, wallClock, commits } = this.ports;
    const open = [...jobIndex.jobs.values()].filter(
      (job) => undispatchedRanges(job.taskRanges, job.spec.tasks).length > 0,
    );
    const due = this.dueForDispatch(open);
    // Behind a queue of commits it would be out of date, and hold up what our own block has to start.
    if (due.length === 0 || commits.writableLength > settings.state.txnOps / 2) return;
    const capacity = this.estimateCapacity();
    capacity.extendLookahead(
      open.map(({ spec, taskRanges }) => ({ spec, tasks: countUndispatchedTasks(taskRanges, spec.tasks) })),
    );
    const dispatches: Promise<void>[] = [];
    for (const job of jobIndex.inQueueOrder(order, wallClock(), due)) {
      if (dispatches.length >= this.maxDispatches) break;
      const { spec, taskRanges: parts } = job;
      const next =
        restoreStartedTasks(job, jobIndex.entriesOf(job.id)) ??
        capacity.dispatch(spec, parts, this.maxTaskRangesOf(spec));
      if (next) dispatches.push(this.commitDispatch(job, next));
    }
    await Promise.all(dispatches);
  }

  /**
   * Takes back what has waited in a full block for long while another has room for it, a machine that its team's limit
   * admits. It is dispatched anew once the copy has reached the record without it.
   */
  private async rebalance(): Promise<void> {
    const { jobIndex, clock, settings, order, wallClock } = this.ports;
    const now = clock();
    if (now - this.rebalancedAt < settings.heartbeatIntervalMs) return;
    this.rebalancedAt = now;
    const stuck = new Map<string, number>();
    const capacity = this.estimateCapacity(0);
    const usage = new TeamUsage();
    for (const { page } of jobIndex.activeTasks()) usage.add(page.team, needOf(page));
    const recalls: Promise<void>[] = [];
    for (const job of jobIndex.inQueueOrder(order, wallClock())) {
      if (!usage.admits(settings.teams.get(job.spec.team), needOf(job.spec))) continue;
      for (const { block, count } of jobIndex.waitingByBlock(job)) {
        if (block === undefined) continue;
        const room = capacity.slotsByBlock(job.spec);
        const tasks = countMovableTasks(room, block, count);
        if (tasks === 0) continue;
        const key = `${block}/${job.id}`;
        const since = this.stuckSince.get(key) ?? now;
        stuck.set(key, since);
        if (
          now - since < settings.heartbeatIntervalMs * recallAfterHeartbeats ||
          recalls.length >= this.maxDispatches
        )
          continue;
        const parts = this.rangesAfterRecall(job, block, tasks);
        if (!parts) continue;
        for (const other of room) {
          if (other.block !== block) capacity.reserve(job.spec, other.block, clamp(other.freeSlots, tasks));
        }
        stuck.delete(key);
        recalls.push(this.commitDispatch(job, parts));
        break;
      }
    }
    this.stuckSince = stuck;
    await Promise.all(recalls);
  }

  /** Tasks that depend on each other's zones stay with one block, so all of them go or none. */
  private rangesAfterRecall(job: IndexedJob, block: number, tasks: number): TaskRange[] | undefined {
    const { jobIndex } = this.ports;
    const { spec, taskRanges, id } = job;
    const most = this.maxTaskRangesOf(spec) * maxRangesAfterRecallRatio;
    if (!isZoneConstrained(spec)) return recallTasks(taskRanges, block, jobIndex.entriesOf(id), tasks, most);
    const { done, active } = jobIndex.progress(id);
    return done + active > 0 ? undefined : recallTasks(taskRanges, block, jobIndex.entriesOf(id), spec.tasks);
  }

  private maxTaskRangesOf(spec: JobSpec): number {
    return maxTaskRanges(spec, this.ports.settings.state.valueBytes);
  }

  private estimateCapacity(lookahead = this.ports.lookahead): CapacityEstimate {
    const { jobIndex, registry, machineTypes, isBooted } = this.ports;
    const alive = (label: string): boolean => registry.isAlive(label);
    return new CapacityEstimate({
      blocks: registry.blocks(),
      isAlive: alive,
      machineTypes: machineTypes(),
      jobIndex,
      lookahead,
      isBooted,
    });
  }

  private get maxDispatches(): number {
    const { state } = this.ports.settings;
    return Math.max(2, Math.min(state.txnOps, state.writeRps) * maxDispatchesRatio);
  }

  /**
   * A job that has just come is dispatched at once. What was left over before waits for room, which appears a task at a time:
   * dispatching each of them alone would take most of the changes that the store allows, and the blocks have work ahead.
   */
  private dueForDispatch(open: IndexedJob[]): IndexedJob[] {
    const { clock, settings } = this.ports;
    const before = this.leftOverJobs;
    this.leftOverJobs = new Set(open.map((job) => job.id));
    if (clock() - this.allDispatchedAt < settings.heartbeatIntervalMs * redispatchAfterHeartbeats) {
      return open.filter((job) => !before.has(job.id));
    }
    this.allDispatchedAt = clock();
    return open;
  }

  private async commitDispatch(job: IndexedJob, parts: TaskRange[]): Promise<void> {
    const { commits, log, term } = this.ports;
    const outcome = await commits.commit(
      [
        { key: leaderKey, version: term.fencingToken },
        { key: jobKey(job.id), version: job.version },
      ],
      [{ put: jobKey(job.id), value: jobRecord({ spec: job.spec, taskRanges: parts }) }],
    );
    if (outcome.kind === 'applied')
      this.committedRevision = Math.max(this.committedRevision, outcome.revision);
    log.debug(
      { event: 'job-dispatched', job: job.id, parts, outcome: outcome.kind },
      'job dispatched to blocks',
    );
  }
}

/** How many of a job's tasks that wait in a block have no room there and some in others. */
function countMovableTasks(room: BlockSlots[], block: number, waiting: number): number {
  const own = room.find((r) => r.block === block);
  // A block whose owner is gone has none.
  const over = own ? clamp(-own.freeSlots, waiting) : waiting;
  const elsewhere = room.reduce((sum, r) => sum + (r === own ? 0 : Math.max(0, r.freeSlots)), 0);
  return Math.min(over, elsewhere);
}

function clamp(value: number, most: number): number {
  return Math.max(0, Math.min(most, value));
}
