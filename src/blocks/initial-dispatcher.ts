/** The block that a new job is dispatched to when it is submitted. */
import type { Clock } from '../base/clock.js';
import type { JobSpec } from '../model/types.js';
import type { JobIndex } from '../placement/job-index.js';
import type { TaskRange } from '../wire/job-records.js';
import type { BootedMachines } from './booted-machines.js';
import { type CapacityEstimate, type CapacityPorts, estimateCapacity } from './capacity-estimate.js';
import { dispatchBySize, dispatchToOneBlock } from './job-dispatch.js';

/** What the dispatching of new jobs works with. */
export interface InitialDispatcherPorts extends Omit<CapacityPorts, 'isBooted'> {
  clock: Clock;
  jobIndex: JobIndex;
  bootedMachines: Pick<BootedMachines, 'isBooted'>;
  /** The blocks that this controller owns. */
  ownBlocks: () => ReadonlySet<number>;
  /** Label of the controller that leads, if any does. */
  leader: () => string | undefined;
}

/** An estimate is used for so long: walking all machines for every submission would take too much time. */
const capacityMaxAgeMs = 300;
/** A new job is given only what fits now; work ahead is the leader's to give. */
const noLookahead = 0;

/**
 * Dispatches a job whole to the block with the most room; what is too big for any block is the leader's to
 * dispatch.
 */
export class InitialDispatcher {
  private capacity: CapacityEstimate | undefined;
  private measuredAt = -Infinity;

  constructor(private readonly ports: InitialDispatcherPorts) {}

  /**
   * The ranges to accept the job with: none where the leader has to dispatch it, or where its dependencies
   * are not done.
   */
  initialRanges(spec: JobSpec): TaskRange[] {
    const { jobIndex, leader, ownBlocks } = this.ports;
    if (!jobIndex.isReadyAfter(spec.dependencies ?? [])) return [];
    const capacity = this.currentCapacity();
    // Our own block can start it without waiting for another controller's watch.
    const own = ownBlocks();
    const whole = dispatchToOneBlock(capacity, spec, (block) => own.has(block));
    if (whole) {
      capacity.reserve(spec, whole.block, whole.count);
      return [whole];
    }
    // Without a leader nobody would dispatch it later.
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
