/** The leader's recall of tasks that wait in a full block while other blocks have room for them. */
import type { Clock } from '../base/clock.js';
import { isZoneConstrained } from '../model/types.js';
import type { IndexedJob, JobIndex } from '../placement/job-index.js';
import { needOf } from '../placement/ledger-index.js';
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

/** What the recall of stuck tasks works with. */
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
  /** Since when tasks are stuck, by job and block: becomes the next round's memory. */
  stuckSince: Map<string, number>;
  recalls: Promise<void>[];
}

/**
 * Tasks that wait in a block without free slots for so many heartbeat intervals, while another block has
 * some, are recalled. Sooner than that most of them start where they are.
 */
const recallAfterHeartbeats = 4;
/**
 * A recall leaves the record so much of its room for ranges at most, so that tasks dispatched anew find some.
 */
const maxRangesAfterRecallRatio = 1 / 2;
/** The estimate is of what fits now: work given ahead is what is to be recalled. */
const noLookahead = 0;

/**
 * Recalls stuck tasks; the dispatcher dispatches them anew once the replica has reached the record without
 * them.
 */
export class Rebalancer {
  private rebalancedAt = -Infinity;
  private stuckSince: ReadonlyMap<string, number> = new Map();

  constructor(private readonly ports: RebalancerPorts) {}

  /**
   * Recalls tasks that have been stuck for long and whose team's limit admits them elsewhere, in the queue
   * order. Does so once a heartbeat interval at most, and settles when the commits are decided.
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
      if (usage.admits(settings.teams.get(job.spec.team), needOf(job.spec))) this.recallStuck(job, round);
    }
    this.stuckSince = round.stuckSince;
    await Promise.all(round.recalls);
  }

  private teamUsage(): TeamUsage {
    const usage = new TeamUsage();
    for (const { entry } of this.ports.jobIndex.activeTasks()) usage.add(entry.team, needOf(entry));
    return usage;
  }

  /**
   * Recalls stuck tasks of the job from one block: a further block has to wait until the job's record has
   * changed.
   */
  private recallStuck(job: IndexedJob, round: RecallRound): void {
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

  /** Of a zone-constrained job, which stays with one block, all tasks are recalled or none. */
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

/** The slots that the recalled tasks will take are not offered to the next job's tasks. */
function reserveElsewhere(
  job: IndexedJob,
  { block, movable, slots }: { block: number; movable: number; slots: BlockSlots[] },
  capacity: CapacityEstimate,
): void {
  for (const other of slots) {
    if (other.block !== block) capacity.reserve(job.spec, other.block, clamp(other.freeSlots, movable));
  }
}

/** How many of a job's tasks that wait in the block have no slot there and one in others. */
function countMovableTasks(slots: BlockSlots[], block: number, waiting: number): number {
  const own = slots.find((other) => other.block === block);
  // A block whose owner is not alive has no slots at all.
  const withoutSlot = own ? clamp(-own.freeSlots, waiting) : waiting;
  const elsewhere = slots.reduce((sum, other) => sum + (other === own ? 0 : Math.max(0, other.freeSlots)), 0);
  return Math.min(withoutSlot, elsewhere);
}

function clamp(value: number, max: number): number {
  return Math.max(0, Math.min(max, value));
}
