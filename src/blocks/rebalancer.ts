/**
 * Recalls, on behalf of the leader, tasks that wait in a full block although other blocks have free slots for
 * them. A recalled task is removed from the task ranges of its block, so that the task can be dispatched to
 * another block. A block is a set of machines with the tasks placed on them, leased to one controller.
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
  /** Wall-clock time in ms since the epoch. */
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
  /**
   * Monotonic time in ms since which tasks of a job have been stuck in a block, by block and job. The next
   * round uses these times for tasks that are still stuck.
   */
  stuckSince: Map<string, number>;
  recalls: Promise<void>[];
}

/**
 * A task is stuck if it waits in a block without a free slot for it although another block has a free slot
 * for it. Tasks are recalled after they have been stuck for this number of heartbeat intervals. Most tasks
 * that have been stuck for a shorter time still start in their block.
 */
const recallAfterHeartbeats = 4;
/**
 * Maximum number of task ranges of a job after a recall, as a fraction of the number of ranges that the job's
 * record can hold. The rest of the record is reserved for the ranges that are added when the recalled tasks
 * are dispatched again.
 */
const maxRangesAfterRecallRatio = 1 / 2;
/**
 * The capacity estimate includes only slots that are free now, because the tasks to recall are the tasks that
 * were dispatched to a block beyond its free slots.
 */
const noLookahead = 0;

/**
 * Recalls stuck tasks. The dispatcher dispatches these tasks again after the replica has received the job
 * record from which they have been removed.
 */
export class Rebalancer {
  private rebalancedAt = -Infinity;
  private stuckSince: ReadonlyMap<string, number> = new Map();

  constructor(private readonly ports: RebalancerPorts) {}

  /**
   * Recalls tasks that have been stuck for `recallAfterHeartbeats`, in the queue order of their jobs. Skips a
   * job if one more of its tasks would exceed the limit of its team. Does nothing if the previous round was
   * less than a heartbeat interval ago. Settles when the outcomes of the commits are known.
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
   * the replica has received the changed record of the job.
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
   * Returns the task ranges of the job after a recall, or undefined if no task can be recalled. The tasks of
   * a zone-constrained job stay together in one block, so either all of them are recalled or none of them.
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
 * Reserves free slots in other blocks for the recalled tasks, so that tasks of other jobs are not recalled
 * for the same slots.
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
 * Returns the number of tasks that wait in the block without a slot there, and for which other blocks have
 * free slots.
 */
function countMovableTasks(slots: BlockSlots[], block: number, waiting: number): number {
  const own = slots.find((other) => other.block === block);
  // `slots` does not include a block whose owner is not alive, so none of the tasks that wait there have a
  // slot.
  const withoutSlot = own ? clamp(-own.freeSlots, waiting) : waiting;
  const freeSlotsElsewhere = slots.reduce(
    (sum, other) => sum + (other === own ? 0 : Math.max(0, other.freeSlots)),
    0,
  );
  return Math.min(withoutSlot, freeSlotsElsewhere);
}

function clamp(value: number, max: number): number {
  return Math.max(0, Math.min(max, value));
}
