/**
 * Checks the connectivity to the store regularly, so that a loss of contact is detected and the age of the
 * replica stays known.
 */
import { type Clock, sleep } from '../base/clock.js';
import type { StoreClient } from '../store/client.js';
import type { StoreReplica } from '../store/store-replica.js';
import { leaderKey } from '../wire/keys.js';

/** The modules that the monitor checks and acts on. */
export interface StoreContactMonitorPorts {
  clock: Clock;
  store: Pick<StoreClient, 'failing' | 'lastRevisionSeenAt' | 'commit' | 'restartWatch'>;
  replica: Pick<StoreReplica, 'ready' | 'version'>;
  /** Monotonic time in ms. The replica contains every change that was made to the store before this time. */
  changesKnownUntil: () => number;
  heartbeatIntervalMs: number;
  /** Called after each connectivity check of the store. */
  onChecked: () => void;
}

/** Time in ms between two connectivity checks of the store. */
export const storeProbeIntervalMs = 400;
/**
 * The store is probed if no response has contained the revision of the store for more than this number of
 * probe intervals.
 */
const maxRevisionAgeProbes = 2;
/**
 * The watch for changes of the store is considered lost if it lags behind the revisions in other responses by
 * more than this number of heartbeat intervals. A watch that is merely slow lags behind less.
 */
const maxWatchLagHeartbeats = 1.5;

/**
 * Probes the store if no other response has recently contained the revision of the store, and restarts the
 * watch for changes if it is lost.
 */
export class StoreContactMonitor {
  constructor(private readonly ports: StoreContactMonitorPorts) {}

  /**
   * Runs until the signal fires. Rejects if the store sends a malformed response or if `onChecked` throws.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, onChecked } = this.ports;
    let watchRestartedAt = clock();
    while (!signal.aborted) {
      await this.probeIfRevisionStale();
      if (this.isWatchLost(watchRestartedAt)) {
        watchRestartedAt = clock();
        this.ports.store.restartWatch();
      }
      onChecked();
      await sleep(storeProbeIntervalMs, signal);
    }
  }

  /**
   * Probes the store with a transaction that only compares the version of the leader key. This is cheap, and
   * the response contains the revision of the store even if nothing has changed.
   */
  private async probeIfRevisionStale(): Promise<void> {
    const { clock, store, replica } = this.ports;
    const isRevisionStale = clock() - store.lastRevisionSeenAt > storeProbeIntervalMs * maxRevisionAgeProbes;
    if (!store.failing && !isRevisionStale) return;
    await store.commit('duty', [{ key: leaderKey, version: replica.version(leaderKey) }], []);
  }

  /**
   * Whether the store answers other requests but the watch delivers no changes. This happens if the network
   * has dropped the watch request, or if the watch request was sent during an outage and still has no answer.
   */
  private isWatchLost(watchRestartedAt: number): boolean {
    const { clock, store, replica, changesKnownUntil, heartbeatIntervalMs } = this.ports;
    const maxLagMs = heartbeatIntervalMs * maxWatchLagHeartbeats;
    const lagMs = store.lastRevisionSeenAt - changesKnownUntil();
    return replica.ready && lagMs > maxLagMs && clock() - watchRestartedAt > maxLagMs;
  }
}
