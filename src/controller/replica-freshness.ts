/** Computes how old the replica of the store is, and which actions are allowed at this age. */
import type { Clock } from '../base/clock.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { StoreReplica } from '../store/store-replica.js';

/** The inputs from which the age of the replica is computed. */
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
 * Computes the age of the replica: the time since the replica was last known to contain all changes of the
 * store. The replica lags behind the store. Without contact with the store, the age keeps growing.
 */
export class ReplicaFreshness {
  constructor(private readonly ports: ReplicaFreshnessPorts) {}

  /** Monotonic time in ms. The replica contains every change that was made to the store before this time. */
  get changesKnownUntil(): number {
    const { store, replica } = this.ports;
    return store.knownUntil(replica.revision);
  }

  /**
   * Whether the store is not failing and has served this controller within the time to live of the
   * controller's lease in the store. If so, this lease may still be valid, and the controller may still own
   * its blocks.
   */
  isStoreReachable(): boolean {
    const { store, clock, leaseTtlMs } = this.ports;
    return !store.failing && store.contactAgeMs(clock()) < leaseTtlMs;
  }

  /**
   * Whether tasks may start. If the replica is too old, it may lack the outcome of a job that has already
   * ended, and this controller could start a task of that job. Called for every heartbeat.
   */
  mayStartTasks(): boolean {
    const { store, settings } = this.ports;
    return !store.failing && this.ageMs < settings.heartbeatIntervalMs * maxStartAgeHeartbeats;
  }

  /**
   * Whether the replica contains every cancellation that was confirmed more than a quarter of the
   * cancellation deadline ago. For later cancellations, the deadline by which dependent jobs must be
   * cancelled has not passed.
   */
  knowsCancellations(): boolean {
    return this.ageMs < this.ports.settings.cancelDeadlineMs * maxCancellationAgeRatio;
  }

  /** Time in ms since the replica was last known to contain all changes of the store. */
  get ageMs(): number {
    return this.ports.clock() - this.changesKnownUntil;
  }
}
