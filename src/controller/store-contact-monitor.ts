/**
 * Probes the store regularly, so that a loss of contact is detected and the age of the replica stays known.
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
  /** The replica contains every change of the store before this time, in ms of the steady clock. */
  changesKnownUntil: () => number;
  heartbeatIntervalMs: number;
  /** Called after each check of the contact with the store. */
  onChecked: () => void;
}

/** Time between two checks of the contact with the store. */
export const storeProbeIntervalMs = 400;
/** The store is probed if no response has shown its revision for more than this number of probe intervals. */
const maxRevisionAgeProbes = 2;
/**
 * A watch is considered lost if it has delivered no change for more than this number of heartbeat intervals
 * while other responses show newer revisions. A slow watch lags behind less than that.
 */
const maxWatchLagHeartbeats = 1.5;

/**
 * Probes the store if no other response has recently shown its revision, and restarts a watch that is lost.
 */
export class StoreContactMonitor {
  constructor(private readonly ports: StoreContactMonitorPorts) {}

  /**
   * Runs until the signal fires. Throws on a malformed response of the store, and any error that `onChecked`
   * throws.
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
   * The probe is a transaction that only compares the version of one key. It is cheap, and its response shows
   * the store's revision whether or not anything has changed.
   */
  private async probeIfRevisionStale(): Promise<void> {
    const { clock, store, replica } = this.ports;
    const isRevisionStale = clock() - store.lastRevisionSeenAt > storeProbeIntervalMs * maxRevisionAgeProbes;
    if (!store.failing && !isRevisionStale) return;
    await store.commit('duty', [{ key: leaderKey, version: replica.version(leaderKey) }], []);
  }

  /**
   * Whether other requests are answered while the watch delivers no changes: the watch is lost, or its
   * request still waits as it did during an outage.
   */
  private isWatchLost(watchRestartedAt: number): boolean {
    const { clock, store, replica, changesKnownUntil, heartbeatIntervalMs } = this.ports;
    const maxLagMs = heartbeatIntervalMs * maxWatchLagHeartbeats;
    const lagMs = store.lastRevisionSeenAt - changesKnownUntil();
    return replica.ready && lagMs > maxLagMs && clock() - watchRestartedAt > maxLagMs;
  }
}
