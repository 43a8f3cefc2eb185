/**
 * How far the replica of the store may be out of date, and which actions are allowed at that age of the
 * replica.
 */
import type { Clock } from '../base/clock.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { StoreReplica } from '../store/store-replica.js';

/** The facts from which the age of the replica is computed. */
export interface ReplicaFreshnessPorts {
  clock: Clock;
  store: Pick<StoreClient, 'failing' | 'knownUntil' | 'contactAgeMs'>;
  /** The replica of the store. */
  replica: Pick<StoreReplica, 'revision'>;
  settings: Pick<Settings, 'heartbeatIntervalMs' | 'cancelDeadlineMs'>;
  /** Time to live of a controller's lease in the store. */
  leaseTtlMs: number;
}

/** Tasks are started only while the replica is younger than this number of heartbeat intervals. */
const maxStartAgeHeartbeats = 2;
/**
 * A job is reported to users as waiting for its dependencies only while the replica is younger than this
 * fraction of the cancellation deadline.
 */
const maxCancellationAgeRatio = 1 / 4;

/**
 * Computes the age of the replica from the clock. The replica lags behind the store, and without contact to
 * the store its age keeps growing.
 */
export class ReplicaFreshness {
  constructor(private readonly ports: ReplicaFreshnessPorts) {}

  /** The replica contains every change of the store before this time, in ms of the steady clock. */
  get changesKnownUntil(): number {
    const { store, replica } = this.ports;
    return store.knownUntil(replica.revision);
  }

  /**
   * Whether the store has served this controller within the time to live of its lease. If so, the controller
   * may still hold the lease and the blocks that are leased to it.
   */
  isStoreReachable(): boolean {
    const { store, clock, leaseTtlMs } = this.ports;
    return !store.failing && store.contactAgeMs(clock()) < leaseTtlMs;
  }

  /**
   * Whether tasks may start: with an older replica, their job may have ended already. Called with every
   * heartbeat.
   */
  mayStartTasks(): boolean {
    const { store, settings } = this.ports;
    return !store.failing && this.ageMs < settings.heartbeatIntervalMs * maxStartAgeHeartbeats;
  }

  /**
   * Whether the replica contains every cancellation that was confirmed so long ago that the dependent jobs
   * must be cancelled by now.
   */
  knowsCancellations(): boolean {
    return this.ageMs < this.ports.settings.cancelDeadlineMs * maxCancellationAgeRatio;
  }

  /** Time since the replica is known to have contained all changes of the store. */
  private get ageMs(): number {
    return this.ports.clock() - this.changesKnownUntil;
  }
}
