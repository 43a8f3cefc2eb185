/**
 * Recalls, on behalf of the leader, tasks that wait in a full block while other blocks have free slots for
 * them.
 */
import type { Clock } from '../base/clock.js';
import { isZoneConstrained } from '../model/types.js';
import type { IndexedJob, JobIndex } from '../placement/job-index.js';
import { taskResourcesOf } from '../placement/ledger-index.js';
import type { QueueOrder } from '../placement/queue-order.js';
import { TeamUsage } from '../placement/team-usage.js';
import type { Settings } from '../settings/settings.js';
import type { TaskRange } from '../wire/job-records.js';
import {
  type BlockSlots,
  type CapacityEstimate,
  type CapacityPorts,
  estimateCapacity,
} from './capacity-estimate.js';
import type { DispatchWriter } from './dispatch-writer.js';
import { recallTasks } from './task-recall.js';

/** The dependencies of the rebalancer. */
export interface RebalancerPorts extends CapacityPorts {
  clock: Clock;
  /** Time of day in ms. */
  wallClock: () => number;
  settings: Pick<Settings, 'heartbeatIntervalMs' | 'teams'>;
  jobIndex: JobIndex;
  order: QueueOrder;
  writer: DispatchWriter;
}

/** One round of recalls. */
interface RecallRound {
  now: number;
  capacity: CapacityEstimate;
  /** Times since when tasks have been stuck, by block and job. Kept for the next round. */
  stuckSince: Map<string, number>;
  recalls: Promise<void>[];
}

/**
 * Tasks are recalled after they have waited for this many heartbeat intervals in a block without free slots
 * while another block has free slots. Most tasks that have waited for less time than this still start in
 * their block.
 */
const recallAfterHeartbeats = 4;
/**
 * Limit for the task ranges of a job after a recall, as a ratio of the ranges that its record can hold. The
 * rest is left for the ranges that are added when the recalled tasks are dispatched again.
 */
const maxRangesAfterRecallRatio = 1 / 2;
/**
 * The estimate counts only slots that are free now: tasks that were dispatched to a block beyond its free
 * slots are the tasks to recall.
 */
const noLookahead = 0;

/**
 * Recalls stuck tasks. The dispatcher dispatches them again after the replica has reached the job record
 * without them.
 */
export class Rebalancer {
  private rebalancedAt = -Infinity;
  private stuckSince: ReadonlyMap<string, number> = new Map();

  constructor(private readonly ports: RebalancerPorts) {}

  /**
   * Recalls tasks that have been stuck for `recallAfterHeartbeats` and that their team's limit still admits,
   * in queue order of their jobs. Does nothing if the last round was less than a heartbeat interval ago.
   * Settles when the outcomes of the commits are known.
   */
  async run(): Promise<void> {
    const { jobIndex, clock, settings, order, wallClock } = this.ports;
    const now = clock();
    if (now - this.rebalancedAt < settings.heartbeatIntervalMs) return;
    this.rebalancedAt = now;
    const capacity = estimateCapacity(this.ports, noLookahead);
    const round: RecallRound = { now, capacity, stuckSince: new Map(), recalls: [] };
    const usage = this.teamUsage();
    for (const job of jobIndex.inQueueOrder(order, wallClock())) {
      if (usage.admits(settings.teams.get(job.spec.team), taskResourcesOf(job.spec)))
        this.recallStuckTasks(job, round);
    }
    this.stuckSince = round.stuckSince;
    await Promise.all(round.recalls);
  }

  private teamUsage(): TeamUsage {
    const usage = new TeamUsage();
    for (const { entry } of this.ports.jobIndex.activeTasks()) usage.add(entry.team, taskResourcesOf(entry));
    return usage;
  }

  /**
   * Recalls stuck tasks of the job from at most one block. Tasks in another block can be recalled only after
   * the replica has reached the changed record of the job.
   */
  private recallStuckTasks(job: IndexedJob, round: RecallRound): void {
    const { jobIndex, settings, writer } = this.ports;
    const stuckLimitMs = settings.heartbeatIntervalMs * recallAfterHeartbeats;
    for (const { block, count } of jobIndex.waitingByBlock(job)) {
      if (block === undefined) continue;
      const slots = round.capacity.slotsByBlock(job.spec);
      const movable = countMovableTasks(slots, block, count);
      if (movable === 0) continue;
      const key = `${block}/${job.id}`;
      const since = this.stuckSince.get(key) ?? round.now;
      round.stuckSince.set(key, since);
      const isDue = round.now - since >= stuckLimitMs && round.recalls.length < writer.maxWritesPerRound;
      const kept = isDue ? this.rangesAfterRecall(job, block, movable) : undefined;
      if (!kept) continue;
      reserveElsewhere(job, { block, movable, slots }, round.capacity);
      round.stuckSince.delete(key);
      round.recalls.push(writer.write(job, kept));
      return;
    }
  }

  /**
   * The task ranges of the job after a recall; undefined if nothing can be recalled. A zone-constrained job
   * stays in one block, so either all of its tasks are recalled or none.
   */
  private rangesAfterRecall(job: IndexedJob, block: number, tasks: number): TaskRange[] | undefined {
    const { jobIndex, writer } = this.ports;
    const { spec, taskRanges, id } = job;
    const entries = jobIndex.entriesOf(id);
    if (!isZoneConstrained(spec)) {
      const maxRanges = writer.maxTaskRanges(spec) * maxRangesAfterRecallRatio;
      return recallTasks(taskRanges, entries, { block, maxTasks: tasks, maxRanges });
    }
    const { done, active } = jobIndex.progress(id);
    if (done + active > 0) return undefined;
    return recallTasks(taskRanges, entries, { block, maxTasks: spec.tasks });
  }
}

/**
 * Reserves the slots that the recalled tasks will take in other blocks, so that other jobs' tasks are not
 * recalled for them.
 */
function reserveElsewhere(
  job: IndexedJob,
  { block, movable, slots }: { block: number; movable: number; slots: BlockSlots[] },
  capacity: CapacityEstimate,
): void {
  for (const other of slots) {
    if (other.block !== block) capacity.reserve(job.spec, other.block, clamp(other.freeSlots, movable));
  }
}

/**
 * How many of a job's tasks that wait in the block have no slot there but have a free slot in another block.
 */
function countMovableTasks(slots: BlockSlots[], block: number, waiting: number): number {
  const own = slots.find((other) => other.block === block);
  // A block whose owner is not alive is missing in `slots`: none of its waiting tasks has a slot there.
  const withoutSlot = own ? clamp(-own.freeSlots, waiting) : waiting;
  const elsewhere = slots.reduce((sum, other) => sum + (other === own ? 0 : Math.max(0, other.freeSlots)), 0);
  return Math.min(withoutSlot, elsewhere);
}

function clamp(value: number, max: number): number {
  return Math.max(0, Math.min(max, value));
}
