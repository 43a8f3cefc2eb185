/**
 * Estimates, from the replica of the store, how many more tasks of one kind fit on the machines of each
 * block. Tasks are of one kind if they have the same requirements.
 */
import { fits, type JobSpec, type MachineType, type Resources, taskRequirementsKey } from '../model/types.js';
import type { JobIndex } from '../placement/job-index.js';
import type { BlockRecord, LeasedMachine } from '../wire/block-records.js';
import type { BlockRegistry } from './block-registry.js';

/**
 * The slots of a block for tasks of one kind. Here a slot is space for one task, and not the unit of the
 * ladder (see `ladder/slots.ts`).
 */
export interface BlockSlots {
  block: number;
  /**
   * Number of tasks that fit into the free resources of the block, minus the tasks that already wait in the
   * block. Negative if more tasks wait than fit.
   */
  freeSlots: number;
  /** Size of the block: the number of tasks that would fit on its machines if no tasks ran on them. */
  totalSlots: number;
}

/** The input of a capacity estimate. */
export interface CapacityInput {
  blocks: ReadonlyMap<number, BlockRecord>;
  /**
   * Whether the controller with this label is alive. The estimate includes only blocks whose owners are
   * alive, or all blocks if no owner is alive.
   */
  isAlive: (label: string) => boolean;
  machineTypes: ReadonlyMap<string, MachineType>;
  jobIndex: Pick<JobIndex, 'jobs' | 'machineLoads' | 'waitingByBlock'>;
  /** Whether tasks can start on the machine. */
  isBooted: (machine: LeasedMachine) => boolean;
  /**
   * Number of tasks that may be dispatched to a block beyond its free slots, as a fraction of the block's
   * size. When a task of the block ends, the owner of the block can start one of these tasks without waiting
   * for the leader.
   */
  lookahead: number;
}

/** The sources from which the input of a capacity estimate is read. */
export interface CapacityPorts {
  registry: Pick<BlockRegistry, 'blocks' | 'isAlive'>;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  jobIndex: CapacityInput['jobIndex'];
  isBooted: (machine: LeasedMachine) => boolean;
}

/** The slots of a block, before the tasks that wait in the block are subtracted from `freeSlots`. */
interface MeasuredSlots extends BlockSlots {
  /** Whether tasks of this kind may run on spot machines. */
  spot: boolean;
}

/**
 * Maximum number of tasks that are dispatched to a block beyond its free slots, as a fraction of the block's
 * size.
 */
const maxLookaheadRatio = 1;
/**
 * Lower bound for the CPUs per task when the CPUs of waiting tasks are converted to a number of tasks. A task
 * may request fewer CPUs than this, or none.
 */
const minCpusPerTask = 1e-3;
/**
 * Maximum number of slots on one machine. The limit takes effect for tasks that request almost no resources.
 */
const maxSlotsPerMachine = 1e6;
/**
 * Tolerance for rounding errors. Resource amounts are decimal fractions that are added in any order, so sums
 * of the same amounts may differ in their last bits.
 */
const roundingTolerance = 1e-6;

/** Estimates the current capacity. `lookahead`: see `CapacityInput`. */
export function estimateCapacity(ports: CapacityPorts, lookahead: number): CapacityEstimate {
  const { registry, machineTypes, jobIndex, isBooted } = ports;
  return new CapacityEstimate({
    blocks: registry.blocks(),
    isAlive: (label) => registry.isAlive(label),
    machineTypes: machineTypes(),
    jobIndex,
    lookahead,
    isBooted,
  });
}

/**
 * The free slots of the blocks at the time of the estimate, minus the slots that the caller has reserved
 * since the estimate.
 */
export class CapacityEstimate {
  private readonly usedByMachine: ReadonlyMap<string, Resources>;
  /**
   * Cached slots by kind of task. Without the cache, iterating over all machines for each of many jobs would
   * take too long.
   */
  private readonly slotsByTaskKind = new Map<string, MeasuredSlots[]>();
  /** CPUs of the tasks that wait in a block, by block and by whether the tasks may run on spot machines. */
  private readonly waitingCpus = new Map<string, number>();

  constructor(private readonly input: CapacityInput) {
    this.usedByMachine = input.jobIndex.machineLoads();
    for (const job of input.jobIndex.jobs.values()) {
      for (const { block, count } of input.jobIndex.waitingByBlock(job)) {
        if (block !== undefined) this.reserve(job.spec, block, count);
      }
    }
  }

  /** The slots of each block for tasks of the job, in descending order of free slots. */
  slotsByBlock(spec: JobSpec): BlockSlots[] {
    const kind = taskRequirementsKey(spec);
    let measured = this.slotsByTaskKind.get(kind);
    if (!measured) {
      measured = this.candidateBlocks().map(([block, record]) => this.measureBlock(spec, block, record));
      this.slotsByTaskKind.set(kind, measured);
    }
    const slots = measured.map(({ block, freeSlots, totalSlots }) => {
      const waitingCpus = this.waitingCpus.get(waitingKey(spec, block)) ?? 0;
      const waitingTasks = waitingCpus / Math.max(spec.cpus, minCpusPerTask);
      return { block, freeSlots: Math.floor(freeSlots - waitingTasks), totalSlots };
    });
    return slots.sort(
      (a, b) => b.freeSlots - a.freeSlots || b.totalSlots - a.totalSlots || a.block - b.block,
    );
  }

  /**
   * Raises the lookahead in proportion to the backlog, up to the size of each block. Each dispatch is a write
   * to the store, so it is cheaper to dispatch more tasks with one write. If more tasks wait than all blocks
   * have slots for, every block still receives tasks with the larger lookahead. `backlog`: jobs with the
   * number of their undispatched tasks. The larger lookahead applies to the kinds of tasks in the backlog and
   * to all kinds of tasks for which `slotsByBlock` was called before.
   */
  extendLookahead(backlog: Iterable<{ spec: JobSpec; tasks: number }>): void {
    const backlogRatios = new Map<boolean, number>();
    for (const { spec, tasks } of backlog) {
      const totalSlots = this.slotsByBlock(spec).reduce((sum, slots) => sum + slots.totalSlots, 0);
      backlogRatios.set(spec.spot, (backlogRatios.get(spec.spot) ?? 0) + tasks / Math.max(1, totalSlots));
    }
    const { lookahead } = this.input;
    for (const measured of this.slotsByTaskKind.values()) {
      for (const slots of measured) {
        const extended = Math.min(maxLookaheadRatio, backlogRatios.get(slots.spot) ?? 0);
        if (extended > lookahead) slots.freeSlots += slots.totalSlots * (extended - lookahead);
      }
    }
  }

  /** Subtracts the slots of `count` tasks of the job from the free slots of the block. */
  reserve(spec: JobSpec, block: number, count: number): void {
    const key = waitingKey(spec, block);
    this.waitingCpus.set(key, (this.waitingCpus.get(key) ?? 0) + count * spec.cpus);
  }

  private candidateBlocks(): [number, BlockRecord][] {
    const blocks = [...this.input.blocks];
    const blocksOfLiveOwners = blocks.filter(([, record]) => this.input.isAlive(record.owner));
    return blocksOfLiveOwners.length > 0 ? blocksOfLiveOwners : blocks;
  }

  private measureBlock(spec: JobSpec, block: number, record: BlockRecord): MeasuredSlots {
    const { machineTypes, lookahead, isBooted } = this.input;
    let freeSlots = 0;
    let totalSlots = 0;
    for (const machine of eligibleMachines(spec, record.machines)) {
      const type = machineTypes.get(machine.type);
      if (!type) continue;
      totalSlots += slotsIn(spec, type);
      const used = this.usedByMachine.get(machine.id);
      if (used) freeSlots += slotsIn(spec, remaining(type, used));
      else if (isBooted(machine)) freeSlots += slotsIn(spec, type);
    }
    return { block, freeSlots: freeSlots + totalSlots * lookahead, totalSlots, spot: spec.spot };
  }
}

function waitingKey(spec: JobSpec, block: number): string {
  return `${block}/${spec.spot ? 'spot' : 'ordinary'}`;
}

/**
 * The machines on which tasks of the job may be placed. If the tasks may run on spot machines and the block
 * has suitable spot machines, only the spot machines are eligible, so that ordinary machines remain available
 * to other jobs.
 */
function eligibleMachines(spec: JobSpec, machines: LeasedMachine[]): LeasedMachine[] {
  const eligible = machines.filter((machine) => !machine.draining && isEligible(spec, machine));
  const spotMachines = spec.spot ? eligible.filter((machine) => machine.spot) : [];
  return spotMachines.length > 0 ? spotMachines : eligible;
}

function isEligible(spec: JobSpec, machine: LeasedMachine): boolean {
  return (
    (spec.machineTypes === null || spec.machineTypes.includes(machine.type)) &&
    (spec.zone === null || spec.zone === machine.zone) &&
    (spec.spot || !machine.spot)
  );
}

function remaining(type: MachineType, used: Resources): Resources {
  return {
    cpus: type.cpus - used.cpus,
    accelerators: type.accelerators - used.accelerators,
    memoryGb: type.memoryGb - used.memoryGb,
  };
}

function slotsIn(need: Resources, free: Resources): number {
  if (!fits(need, free)) return 0;
  const ratios = [
    need.cpus > 0 ? free.cpus / need.cpus : Infinity,
    need.accelerators > 0 ? free.accelerators / need.accelerators : Infinity,
    need.memoryGb > 0 ? free.memoryGb / need.memoryGb : Infinity,
  ];
  return Math.min(maxSlotsPerMachine, Math.floor(Math.min(...ratios) + roundingTolerance));
}
