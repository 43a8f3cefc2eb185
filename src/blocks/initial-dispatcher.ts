/** Chooses the block to which a new job is dispatched when it is submitted. */
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
  /** Label of the current leader; undefined if there is none. */
  leader: () => string | undefined;
}

/**
 * How long a capacity estimate is reused: iterating over all machines for every submission would take too
 * much time.
 */
const capacityMaxAgeMs = 300;
/**
 * A new job is dispatched only to slots that are free now: only the leader dispatches tasks beyond the free
 * slots.
 */
const noLookahead = 0;

/**
 * Dispatches all tasks of a new job to one block with enough free slots. If no block has enough, the job is
 * left to the leader to dispatch.
 */
export class InitialDispatcher {
  private capacity: CapacityEstimate | undefined;
  private measuredAt = -Infinity;

  constructor(private readonly ports: InitialDispatcherPorts) {}

  /**
   * The task ranges for the record of a new job. Empty if the leader has to dispatch the job, or if the
   * dependencies of the job are not done.
   */
  initialRanges(spec: JobSpec): TaskRange[] {
    const { jobIndex, leader, ownBlocks } = this.ports;
    if (!jobIndex.isReadyAfter(spec.dependencies ?? [])) return [];
    const capacity = this.currentCapacity();
    // Prefer a block of this controller: it can start the job without waiting for the watch of another
    // controller.
    const own = ownBlocks();
    const whole = dispatchToOneBlock(capacity, spec, (block) => own.has(block));
    if (whole) {
      capacity.reserve(spec, whole.block, whole.count);
      return [whole];
    }
    // Without a leader no controller would dispatch the job later, so dispatch it even if there are not
    // enough free slots.
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
