/**
 * Computes the role of this controller, from which its share of the store's rate limits for requests and
 * writes is derived. The limits apply to all controllers together.
 */
import type { BlockRegistry } from '../blocks/block-registry.js';
import type { StoreClient } from '../store/client.js';

/**
 * The inputs from which a controller's share of the store's request and write limits is derived; see
 * `StoreClient.setRole`.
 */
export type StoreRole = Parameters<StoreClient['setRole']>[0];

/**
 * Returns the role of the controller with this label: whether the controller leads, how many live controllers
 * share the limits, and which fraction of all machines is in the blocks of this controller. If there are no
 * machines, the fraction is the same for all live controllers.
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
