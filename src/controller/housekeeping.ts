/**
 * Periodic updates that are due even if nothing has changed in the store. They run after each connectivity
 * check of the store.
 */
import type { BlockRegistry } from '../blocks/block-registry.js';
import type { BootedMachines } from '../blocks/booted-machines.js';
import type { OwnedBlocks } from '../blocks/owned-blocks.js';
import type { StoreClient } from '../store/client.js';
import type { LeaderDuties } from './leader-duties.js';
import type { MachineEvents } from './machine-events.js';
import { storeRole } from './store-role.js';
import type { UsageLog } from './usage-log.js';

/** The modules that the periodic updates read or modify. */
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

/** Runs the periodic updates of one controller. */
export class Housekeeping {
  constructor(private readonly ports: HousekeepingPorts) {}

  /** Runs each update once. Sends no request itself. */
  runOnce(): void {
    const { ownedBlocks, registry, store, label, isLeading, usageLog } = this.ports;
    // Applying an empty batch of changes retries renewals of block leases that have failed.
    ownedBlocks.applyChanges([]);
    this.recordOwnMachineEvents();
    store.setRole(storeRole(registry, label, isLeading()));
    usageLog.logIfDue();
  }

  /**
   * Passes the machine events of this controller's own blocks to its own modules. Peers receive these events
   * in the status that this controller sends to them.
   */
  private recordOwnMachineEvents(): void {
    const { machineEvents, bootedMachines, leaderDuties } = this.ports;
    bootedMachines.markBooted(machineEvents.booted());
    leaderDuties.markTerminated(machineEvents.terminated());
  }
}
