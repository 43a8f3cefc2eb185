/** How many more tasks of a kind each block can take, estimated from the replica of the store. */
import { fits, type JobSpec, type MachineType, type Resources, taskKind } from '../model/types.js';
import type { JobIndex } from '../placement/job-index.js';
import type { BlockRecord, LeasedMachine } from '../wire/block-records.js';
import type { BlockRegistry } from './block-registry.js';

/** What a block can take of one kind of task. */
export interface BlockSlots {
  block: number;
  /**
   * Tasks that fit into what is free now, less those that wait in the block already: negative where more
   * wait.
   */
  freeSlots: number;
  /** Tasks that fit into the block's machines while these are empty: its size. */
  totalSlots: number;
}

/** What an estimate is made from. */
export interface CapacityInput {
  blocks: ReadonlyMap<number, BlockRecord>;
  /**
   * The controller with this label is alive: only the blocks of live controllers have slots, unless none is
   * alive.
   */
  isAlive: (label: string) => boolean;
  machineTypes: ReadonlyMap<string, MachineType>;
  jobIndex: Pick<JobIndex, 'jobs' | 'machineLoads' | 'waitingByBlock'>;
  /** Tasks can start on the machine. */
  isBooted: (machine: LeasedMachine) => boolean;
  /**
   * How much more than fits now a block may be given, as a ratio of its size, so that it need not wait for
   * the leader whenever a task ends.
   */
  lookahead: number;
}

/** Where the input of an estimate is read from. */
export interface CapacityPorts {
  registry: Pick<BlockRegistry, 'blocks' | 'isAlive'>;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  jobIndex: CapacityInput['jobIndex'];
  isBooted: (machine: LeasedMachine) => boolean;
}

/** What a block can take of one kind of task, before what waits there is taken off. */
interface MeasuredSlots extends BlockSlots {
  /** Tasks of this kind may run on spot machines. */
  spot: boolean;
}

/** The most that a block is given beyond what it has room for, as a ratio of its size. */
const maxLookaheadRatio = 1;
/**
 * A task that asks for fewer CPUs than this counts as if it asked for so many, where waiting CPUs are counted
 * in tasks.
 */
const minCpusPerTask = 1e-3;
/** Bound for tasks that ask for next to nothing. */
const maxSlotsPerMachine = 1e6;
/** Amounts are decimals added up in any order, so sums may differ in their last bits. */
const roundingTolerance = 1e-6;

/** An estimate as of now. `lookahead`: see `CapacityInput`. */
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

/** The blocks' free slots at one moment, less what its user has reserved since. */
export class CapacityEstimate {
  private readonly usedByMachine: ReadonlyMap<string, Resources>;
  /** Measured once for each kind of task: walking all machines for each of many jobs would take too long. */
  private readonly slotsByTaskKind = new Map<string, MeasuredSlots[]>();
  /** CPUs of tasks that wait in a block, by the kind of machine that they wait for. */
  private readonly waitingCpus = new Map<string, number>();

  constructor(private readonly input: CapacityInput) {
    this.usedByMachine = input.jobIndex.machineLoads();
    for (const job of input.jobIndex.jobs.values()) {
      for (const { block, count } of input.jobIndex.waitingByBlock(job)) {
        if (block !== undefined) this.reserve(job.spec, block, count);
      }
    }
  }

  /** The blocks that may take tasks of the job, those with the most free slots first. */
  slotsByBlock(spec: JobSpec): BlockSlots[] {
    const kind = taskKind(spec);
    let measured = this.slotsByTaskKind.get(kind);
    if (!measured) {
      measured = this.servedBlocks().map(([block, record]) => this.measureBlock(spec, block, record));
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
   * Raises the lookahead with the backlog, up to the blocks' sizes: with more work waiting than all blocks
   * have room for, none runs dry, and each dispatch costs a change of the store. `backlog`: jobs with their
   * undispatched tasks. Acts on the kinds of task in the backlog and on those measured before.
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

  /** Takes the slots of so many tasks of the job off the block's free ones. */
  reserve(spec: JobSpec, block: number, count: number): void {
    const key = waitingKey(spec, block);
    this.waitingCpus.set(key, (this.waitingCpus.get(key) ?? 0) + count * spec.cpus);
  }

  private servedBlocks(): [number, BlockRecord][] {
    const blocks = [...this.input.blocks];
    const served = blocks.filter(([, record]) => this.input.isAlive(record.owner));
    return served.length > 0 ? served : blocks;
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

/** Work that may use spot machines leaves the others alone as long as the block has spot machines. */
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
