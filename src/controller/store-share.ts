/** This controller's share of the limits that the store sets for all controllers together. */
import type { BlockRegistry } from '../blocks/block-registry.js';
import type { StoreClient } from '../store/client.js';

/** What the share is derived from; see `StoreClient.setRole`. */
export type StoreRole = Parameters<StoreClient['setRole']>[0];

/**
 * The role of the controller with this label: how many controllers share the limits, and which part of all machines is in
 * blocks of its own. Before there are any machines, they count as evenly spread.
 */
export function storeRole(
  registry: Pick<BlockRegistry, 'liveMembers' | 'blocks'>,
  label: string,
  isLeading: boolean,
): StoreRole {
  const aliveControllers = Math.max(1, registry.liveMembers().length);
  let ownMachines = 0;
  let allMachines = 0;
  for (const { owner, machines } of registry.blocks().values()) {
    allMachines += machines.length;
    if (owner === label) ownMachines += machines.length;
  }
  return {
    isLeader: isLeading,
    aliveControllers,
    machineShare: allMachines > 0 ? ownMachines / allMachines : 1 / aliveControllers,
  };
}
