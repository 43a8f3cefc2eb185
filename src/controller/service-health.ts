/** Determines whether this controller serves users, for the health checks of load balancers. */
import type { Clock } from '../base/clock.js';
import type { LastPeerStatus } from '../peers/peer-links.js';
import type { StoreClient } from '../store/client.js';
import type { StoreReplica } from '../store/store-replica.js';

/** The inputs of the health check. */
export interface ServiceHealthPorts {
  clock: Clock;
  store: Pick<StoreClient, 'contactAgeMs'>;
  replica: Pick<StoreReplica, 'ready'>;
  /** Whether the machine types are known; without them no submission can be validated. */
  hasMachineTypes: () => boolean;
  /** Labels of the other controllers. */
  peers: readonly string[];
  /** Returns the latest status of the peer with this label, or undefined if no status was received. */
  lastPeerStatus: (label: string) => LastPeerStatus | undefined;
  /** Time to live of a controller's lease in the store. */
  leaseTtlMs: number;
}

/**
 * A controller counts as cut off from the store if it has had no contact for this fraction of the time to
 * live of its lease in the store.
 */
const maxContactAgeRatio = 1 / 3;

/** The health of this controller, as reported to the load balancer that routes user requests. */
export class ServiceHealth {
  constructor(private readonly ports: ServiceHealthPorts) {}

  /**
   * Whether this controller serves users. False until the replica and the machine types are loaded, and false
   * if this controller is cut off from the store but a peer is not. If all controllers are cut off, no peer
   * could serve users better. If all became unhealthy together, the users' connections would be closed.
   */
  isServing(): boolean {
    const { clock, store, replica, hasMachineTypes, peers, lastPeerStatus, leaseTtlMs } = this.ports;
    if (!replica.ready || !hasMachineTypes()) return false;
    const maxContactAgeMs = leaseTtlMs * maxContactAgeRatio;
    if (store.contactAgeMs(clock()) < maxContactAgeMs) return true;
    return peers.every((label) => {
      const status = lastPeerStatus(label);
      return status === undefined || status.storeContactAgeMs >= maxContactAgeMs;
    });
  }
}
