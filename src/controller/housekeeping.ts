/** What follows from the passing of time alone, done after each look at the store. */
import type { BlockRegistry } from '../blocks/block-registry.js';
import type { BootedMachines } from '../blocks/booted-machines.js';
import type { OwnedBlocks } from '../blocks/owned-blocks.js';
import type { StoreClient } from '../store/client.js';
import type { LeaderDuties } from './leader-duties.js';
import type { MachineEvents } from './machine-events.js';
import { storeRole } from './store-share.js';
import type { UsageLog } from './usage-log.js';

/** What is kept up to date. */
export interface HousekeepingPorts {
  label: string;
  ownedBlocks: Pick<OwnedBlocks, 'applyChanges'>;
  machineEvents: Pick<MachineEvents, 'terminated' | 'booted'>;
  bootedMachines: Pick<BootedMachines, 'markBooted'>;
  leaderDuties: Pick<LeaderDuties, 'markTerminated'>;
  registry: Pick<BlockRegistry, 'liveMembers' | 'blocks'>;
  store: Pick<StoreClient, 'setRole'>;
  isLeading: () => boolean;
  usageLog: Pick<UsageLog, 'logIfDue'>;
}

/** The periodic updates of one controller. */
export class Housekeeping {
  constructor(private readonly ports: HousekeepingPorts) {}

  /** One round. It sends no request itself. */
  runOnce(): void {
    const { ownedBlocks, registry, store, label, isLeading, usageLog } = this.ports;
    // The renewal of a block's lease that failed is tried again though nothing has changed.
    ownedBlocks.applyChanges([]);
    this.noteOwnMachines();
    store.setRole(storeRole(registry, label, isLeading()));
    usageLog.logIfDue();
  }

  /** Our own leader hears what the peers are told. */
  private noteOwnMachines(): void {
    const { machineEvents, bootedMachines, leaderDuties } = this.ports;
    bootedMachines.markBooted(machineEvents.booted());
    leaderDuties.markTerminated(machineEvents.terminated());
  }
}
