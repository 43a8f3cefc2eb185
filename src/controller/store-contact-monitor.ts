/** Keeps in contact with the store, so that its silence is noticed and the replica's age is known. */
import { type Clock, sleep } from '../base/clock.js';
import type { StoreClient } from '../store/client.js';
import type { Mirror } from '../store/mirror.js';
import { leaderKey } from '../wire/keys.js';

/** What the monitor watches and acts on. */
export interface StoreContactMonitorPorts {
  clock: Clock;
  store: Pick<StoreClient, 'failing' | 'lastRevisionSeenAt' | 'commit' | 'restartWatch'>;
  mirror: Pick<Mirror, 'ready' | 'version'>;
  /** Every change of the store before this moment is in the replica. */
  changesKnownUntil: () => number;
  heartbeatIntervalMs: number;
  /** Called after each look at the store. */
  onChecked: () => void;
}

/** Between two looks at the store. */
export const storeProbeIntervalMs = 400;
/** The store is asked where no answer has named its revision for so many probe intervals. */
const maxQuietProbes = 2;
/**
 * A watch that has brought nothing for so many heartbeat intervals, while other answers name newer revisions, is lost; a slow
 * one takes less.
 */
const maxWatchLagHeartbeats = 1.5;

/** Probes the store when nothing else has lately, and restarts a watch that has been lost. */
export class StoreContactMonitor {
  constructor(private readonly ports: StoreContactMonitorPorts) {}

  /** Runs until the signal fires. Throws what a malformed answer or `onChecked` throws. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, onChecked } = this.ports;
    let watchRestartedAt = clock();
    while (!signal.aborted) {
      await this.probeIfQuiet();
      if (this.isWatchLost(watchRestartedAt)) {
        watchRestartedAt = clock();
        this.ports.store.restartWatch();
      }
      onChecked();
      await sleep(storeProbeIntervalMs, signal);
    }
  }

  /** A comparison is cheap, and its answer names the store's revision whether or not anything has changed. */
  private async probeIfQuiet(): Promise<void> {
    const { clock, store, mirror } = this.ports;
    const isQuiet = clock() - store.lastRevisionSeenAt > storeProbeIntervalMs * maxQuietProbes;
    if (!store.failing && !isQuiet) return;
    await store.commit('duty', [{ key: leaderKey, version: mirror.version(leaderKey) }], []);
  }

  /** Other requests are answered and the watch brings nothing: it is lost, or still waits as it did during an outage. */
  private isWatchLost(watchRestartedAt: number): boolean {
    const { clock, store, mirror, changesKnownUntil, heartbeatIntervalMs } = this.ports;
    const maxLagMs = heartbeatIntervalMs * maxWatchLagHeartbeats;
    const lagMs = store.lastRevisionSeenAt - changesKnownUntil();
    return mirror.ready && lagMs > maxLagMs && clock() - watchRestartedAt > maxLagMs;
  }
}
