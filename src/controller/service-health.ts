/** Decides the response to the health check of load balancers: whether this controller serves users. */
import type { Clock } from '../base/clock.js';
import type { LastPeerStatus } from '../peers/peer-links.js';
import type { StoreClient } from '../store/client.js';
import type { StoreReplica } from '../store/store-replica.js';

/** The facts on which the health depends. */
export interface ServiceHealthPorts {
  clock: Clock;
  store: Pick<StoreClient, 'contactAgeMs'>;
  replica: Pick<StoreReplica, 'ready'>;
  /** Whether the machine types are known; without them no submission can be validated. */
  hasMachineTypes: () => boolean;
  /** Labels of the other controllers. */
  peers: readonly string[];
  /** The last status of the peer with this label; undefined if none was received. */
  lastPeerStatus: (label: string) => LastPeerStatus | undefined;
  /** Time to live of a controller's lease in the store. */
  leaseTtlMs: number;
}

/**
 * A controller that has had no contact with the store for this fraction of the time to live of its lease
 * counts as cut off from the store.
 */
const maxContactAgeRatio = 1 / 3;

/** The health of this controller, as reported to the load balancers of the users. */
export class ServiceHealth {
  constructor(private readonly ports: ServiceHealthPorts) {}

  /**
   * Whether this controller serves users: true once the replica and the machine types are loaded, unless this
   * controller is cut off from the store while a peer is not. If all controllers are cut off, no peer could
   * serve users better, and becoming unhealthy together would close the connections of the users.
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
