/**
 * The leader's duties: scaling the fleet of machines, and assigning machines and jobs to blocks. A block is a
 * set of machines with the work placed on them, leased to one controller.
 */
import { type Clock, sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { runRoutine } from '../base/routine.js';
import { BlockAllocator, type RentedMachines } from '../blocks/block-allocator.js';
import type { BlockRegistry } from '../blocks/block-registry.js';
import type { BootedMachines } from '../blocks/booted-machines.js';
import type { CloudClient } from '../cloud/client.js';
import { Autoscaler } from '../ladder/autoscaler.js';
import type { Term } from '../leadership/term.js';
import type { MachineType } from '../model/types.js';
import type { JobIndex } from '../placement/job-index.js';
import type { QueueOrder } from '../placement/queue-order.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { StoreReplica } from '../store/store-replica.js';

/** The parts of the controller that the leader's duties use. */
export interface LeaderDutiesPorts {
  clock: Clock;
  /** Wall-clock time in ms since the epoch. */
  wallClock: () => number;
  log: Log;
  settings: Settings;
  operator: OperatorSettings;
  /** Identifies this run of the controller process; a new value is chosen at every start. */
  incarnation: string;
  store: StoreClient;
  replica: StoreReplica;
  /** The queue for commits that only the leader makes. */
  commits: CommitQueue;
  cloud: CloudClient;
  registry: BlockRegistry;
  jobIndex: JobIndex;
  order: QueueOrder;
  bootedMachines: Pick<BootedMachines, 'isBooted'>;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /**
   * Whether the store is not failing and has served this controller within the time to live of the
   * controller's lease in the store.
   */
  isStoreReachable: () => boolean;
}

const replicaPollMs = 20;

/** Runs the leader's duties during each term of this controller. No duty runs between terms. */
export class LeaderDuties {
  private autoscaler: Autoscaler | undefined;

  constructor(private readonly ports: LeaderDutiesPorts) {}

  /**
   * Runs the duties until the term ends. The duties start after the replica of the store has reached the
   * revision of the commit that won the election. The replica then contains all commits of earlier leaders.
   */
  async run(term: Term): Promise<void> {
    const { log, replica } = this.ports;
    while (!term.signal.aborted && replica.revision < term.fencingToken) {
      await sleep(replicaPollMs, term.signal);
    }
    if (term.signal.aborted) return;
    const autoscaler = this.createAutoscaler(term);
    const allocator = this.createAllocator(term, autoscaler);
    this.autoscaler = autoscaler;
    try {
      await Promise.all([
        runRoutine('block-allocator', term.signal, log, () => allocator.run()),
        autoscaler.run(),
      ]);
    } finally {
      this.autoscaler = undefined;
    }
  }

  /**
   * Marks these machines as terminated in the leader's inventory of rented machines. Has no effect unless
   * this controller leads.
   */
  markTerminated(machines: Iterable<string>): void {
    this.autoscaler?.inventory.markTerminated(machines);
  }

  private createAutoscaler(term: Term): Autoscaler {
    const { ports } = this;
    return new Autoscaler({
      clock: ports.clock,
      wallClock: ports.wallClock,
      log: ports.log,
      settings: ports.settings,
      operator: ports.operator,
      cloud: ports.cloud,
      jobIndex: ports.jobIndex,
      order: ports.order,
      replica: ports.replica,
      commits: ports.commits,
      term,
      isFirstTerm: ports.registry.blocks().size === 0,
      machineTypes: ports.machineTypes,
      isStoreReachable: ports.isStoreReachable,
      leasedMachines: () => ports.registry.leasedMachines(),
    });
  }

  private createAllocator(term: Term, autoscaler: Autoscaler): BlockAllocator {
    const { ports } = this;
    const { quotaSharePeriodS, dispatchLookaheadShare } = ports.operator.blocks;
    return new BlockAllocator({
      clock: ports.clock,
      wallClock: ports.wallClock,
      log: ports.log,
      settings: ports.settings,
      incarnation: ports.incarnation,
      store: ports.store,
      replica: ports.replica,
      commits: ports.commits,
      registry: ports.registry,
      jobIndex: ports.jobIndex,
      order: ports.order,
      term,
      rentedMachines: rentedMachinesOf(autoscaler),
      machineTypes: ports.machineTypes,
      quotaSharePeriodMs: quotaSharePeriodS * 1000,
      lookahead: dispatchLookaheadShare,
      isBooted: (machine) => ports.bootedMachines.isBooted(machine),
    });
  }
}

/** Returns the autoscaler's inventory of rented machines in the form that the block allocator expects. */
function rentedMachinesOf(autoscaler: Autoscaler): RentedMachines {
  const { unassigned, terminated, toDrain, presumedTerminated } = autoscaler.inventory;
  return {
    unassigned,
    terminated,
    toDrain,
    presumedTerminated,
    waitingSlots: (block, machine) => autoscaler.waitingSlots(block, machine),
  };
}
