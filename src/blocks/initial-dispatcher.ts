/**
 * Chooses the block to which a new job is dispatched when the job is submitted. A block is a set of machines
 * with the tasks placed on them, leased to one controller.
 */
import type { Clock } from '../base/clock.js';
import type { JobSpec } from '../model/types.js';
import type { JobIndex } from '../placement/job-index.js';
import type { TaskRange } from '../wire/job-records.js';
import type { BootedMachines } from './booted-machines.js';
import { type CapacityEstimate, type CapacityPorts, estimateCapacity } from './capacity-estimate.js';
import { dispatchBySize, dispatchToOneBlock } from './job-dispatch.js';

/** The dependencies of the initial dispatcher. */
export interface InitialDispatcherPorts extends Omit<CapacityPorts, 'isBooted'> {
  clock: Clock;
  jobIndex: JobIndex;
  bootedMachines: Pick<BootedMachines, 'isBooted'>;
  /** The blocks that this controller owns. */
  ownBlocks: () => ReadonlySet<number>;
  /** Label of the current leader; undefined if there is no leader. */
  leader: () => string | undefined;
}

/**
 * Time for which a capacity estimate is reused. Iterating over all machines for every submission would take
 * too much time.
 */
const capacityMaxAgeMs = 300;
/**
 * A new job is dispatched only to slots that are free now, because only the leader dispatches tasks beyond
 * the free slots.
 */
const noLookahead = 0;

/**
 * Dispatches all tasks of a new job to one block with enough free slots. If no block has enough free slots,
 * the leader dispatches the job later. If there is no leader, the tasks are divided among all blocks in
 * proportion to the sizes of the blocks.
 */
export class InitialDispatcher {
  private capacity: CapacityEstimate | undefined;
  private measuredAt = -Infinity;

  constructor(private readonly ports: InitialDispatcherPorts) {}

  /**
   * Returns the task ranges for the record of a new job. Returns an empty list if the leader has to dispatch
   * the job, or if the dependencies of the job are not done.
   */
  initialRanges(spec: JobSpec): TaskRange[] {
    const { jobIndex, leader, ownBlocks } = this.ports;
    if (!jobIndex.areDependenciesDone(spec.dependencies ?? [])) return [];
    const capacity = this.currentCapacity();
    // Prefer a block that this controller owns. This controller can start the job immediately, whereas
    // another controller would first have to receive the job through its watch of the store.
    const own = ownBlocks();
    const taskRange = dispatchToOneBlock(capacity, spec, (block) => own.has(block));
    if (taskRange) {
      capacity.reserve(spec, taskRange.block, taskRange.count);
      return [taskRange];
    }
    // If there is no leader, no controller will dispatch the job later, so dispatch the job now even if there
    // are not enough free slots.
    return leader() === undefined ? dispatchBySize(capacity, spec) : [];
  }

  private currentCapacity(): CapacityEstimate {
    const { clock, bootedMachines } = this.ports;
    if (this.capacity && clock() - this.measuredAt <= capacityMaxAgeMs) return this.capacity;
    this.measuredAt = clock();
    const isBooted = bootedMachines.isBooted.bind(bootedMachines);
    this.capacity = estimateCapacity({ ...this.ports, isBooted }, noLookahead);
    return this.capacity;
  }
}
