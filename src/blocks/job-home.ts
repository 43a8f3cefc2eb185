/** The block that a new job goes to. */
import type { Clock } from '../base/clock.js';
import type { JobSpec, MachineType } from '../model/types.js';
import type { JobIndex } from '../placement/job-index.js';
import type { Part } from '../wire/job-records.js';
import { BlockCapacity } from './block-capacity.js';
import type { Registry } from './registry.js';
import type { UpMachines } from './up-machines.js';

export interface JobHomePorts {
  clock: Clock;
  registry: Registry;
  jobIndex: JobIndex;
  types: () => ReadonlyMap<string, MachineType>;
  up: UpMachines;
  /** The blocks that this controller owns. */
  ownBlocks: () => ReadonlySet<number>;
  leader: () => string | undefined;
}

/** Measuring all machines for every submission would take too long: what is handed out meanwhile is counted. */
const measureEveryMs = 300;

/** A job goes whole to the block with the most room; what is too big for any is the leader's to dispatch. */
export class JobHome {
  private capacity: BlockCapacity | undefined;
  private measuredAt = -Infinity;

  constructor(private readonly ports: JobHomePorts) {}

  /** Empty where the leader has to dispatch the job, or where it waits for others. */
  of(spec: JobSpec): Part[] {
    const { jobIndex, leader, ownBlocks } = this.ports;
    if (!jobIndex.isReadyWith(spec.dependencies ?? [])) return [];
    const capacity = this.measured();
    // Our own block can start it without waiting for anybody's watch.
    const ours = ownBlocks();
    const parts = capacity.whole(spec, (block) => ours.has(block));
    for (const { block, count } of parts ?? []) capacity.take(spec, block, count);
    // Without a leader there is nobody to dispatch: the blocks then share it by their sizes.
    return parts ?? (leader() === undefined ? capacity.bySize(spec) : []);
  }

  private measured(): BlockCapacity {
    const { clock, registry, types, jobIndex, up } = this.ports;
    if (this.capacity && clock() - this.measuredAt <= measureEveryMs) return this.capacity;
    this.measuredAt = clock();
    this.capacity = new BlockCapacity({
      blocks: registry.blocks(),
      types: types(),
      jobIndex,
      lookahead: 0,
      alive: (label) => registry.isAlive(label),
      up: (machine) => up.has(machine),
    });
    return this.capacity;
  }
}
