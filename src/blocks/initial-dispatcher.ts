/** The block that a new job goes to. */
import type { Clock } from '../base/clock.js';
import type { JobSpec, MachineType } from '../model/types.js';
import type { JobIndex } from '../placement/job-index.js';
import type { TaskRange } from '../wire/job-records.js';
import { CapacityEstimate } from './capacity-estimate.js';
import type { BlockRegistry } from './block-registry.js';
import type { BootedMachines } from './booted-machines.js';

export interface InitialDispatcherPorts {
  clock: Clock;
  registry: BlockRegistry;
  jobIndex: JobIndex;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  bootedMachines: BootedMachines;
  /** The blocks that this controller owns. */
  ownBlocks: () => ReadonlySet<number>;
  leader: () => string | undefined;
}

/** Measuring all machines for every submission would take too long: what is handed out meanwhile is counted. */
const capacityMaxAgeMs = 300;

/** A job goes whole to the block with the most room; what is too big for any is the leader's to dispatch. */
export class InitialDispatcher {
  private capacity: CapacityEstimate | undefined;
  private measuredAt = -Infinity;

  constructor(private readonly ports: InitialDispatcherPorts) {}

  /** Empty where the leader has to dispatch the job, or where it waits for others. */
  initialRanges(spec: JobSpec): TaskRange[] {
    const { jobIndex, leader, ownBlocks } = this.ports;
    if (!jobIndex.isReadyAfter(spec.dependencies ?? [])) return [];
    const capacity = this.currentCapacity();
    // Our own block can start it without waiting for anybody's watch.
    const ours = ownBlocks();
    const parts = capacity.findWholeJobBlock(spec, (block) => ours.has(block));
    for (const { block, count } of parts ?? []) capacity.reserve(spec, block, count);
    // Without a leader there is nobody to dispatch: the blocks then share it by their sizes.
    return parts ?? (leader() === undefined ? capacity.divideBySize(spec) : []);
  }

  private currentCapacity(): CapacityEstimate {
    const { clock, registry, machineTypes, jobIndex, bootedMachines } = this.ports;
    if (this.capacity && clock() - this.measuredAt <= capacityMaxAgeMs) return this.capacity;
    this.measuredAt = clock();
    this.capacity = new CapacityEstimate({
      blocks: registry.blocks(),
      machineTypes: machineTypes(),
      jobIndex,
      lookahead: 0,
      isAlive: (label) => registry.isAlive(label),
      isBooted: (machine) => bootedMachines.isBooted(machine),
    });
    return this.capacity;
  }
}
