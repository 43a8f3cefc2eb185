/** Whether users are served here: the answer to the load balancer's health check. */
import type { Clock } from '../base/clock.js';
import type { LastPeerStatus } from '../peers/peer-links.js';
import type { StoreClient } from '../store/client.js';
import type { Mirror } from '../store/mirror.js';

/** What health is judged by. */
export interface ServiceHealthPorts {
  clock: Clock;
  store: Pick<StoreClient, 'contactAgeMs'>;
  mirror: Pick<Mirror, 'ready'>;
  /** The types of machines are known; without them no submission can be checked. */
  hasMachineTypes: () => boolean;
  /** Labels of the other controllers. */
  peers: readonly string[];
  lastPeerStatus: (label: string) => LastPeerStatus | undefined;
  /** Time to live of a controller's lease in the store. */
  leaseTtlMs: number;
}

/** A controller that the store has not served for this part of the time to live of its lease sends users to its peers. */
const maxContactAgeRatio = 1 / 3;

/** The health of this controller as users' load balancers are told. */
export class ServiceHealth {
  constructor(private readonly ports: ServiceHealthPorts) {}

  /**
   * True once the controller has loaded what it needs, unless it alone has lost the store. Where all have lost it there is no
   * better place for users, and turning unhealthy together would cost them their connections.
   */
  isServing(): boolean {
    const { clock, store, mirror, hasMachineTypes, peers, lastPeerStatus, leaseTtlMs } = this.ports;
    if (!mirror.ready || !hasMachineTypes()) return false;
    const maxContactAgeMs = leaseTtlMs * maxContactAgeRatio;
    if (store.contactAgeMs(clock()) < maxContactAgeMs) return true;
    return peers.every((label) => {
      const status = lastPeerStatus(label);
      return status === undefined || status.storeContactAgeMs >= maxContactAgeMs;
    });
  }
}
