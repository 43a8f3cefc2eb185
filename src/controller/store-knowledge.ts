/** How recent this controller's knowledge of the store is, and what may be done on knowledge of that age. */
import type { Clock } from '../base/clock.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { Mirror } from '../store/mirror.js';

/** What the knowledge is measured by. */
export interface StoreKnowledgePorts {
  clock: Clock;
  store: Pick<StoreClient, 'failing' | 'knownUntil' | 'contactAgeMs'>;
  /** The replica of the store. */
  mirror: Pick<Mirror, 'revision'>;
  settings: Pick<Settings, 'heartbeatIntervalMs' | 'cancelDeadlineMs'>;
  /** Time to live of a controller's lease in the store. */
  leaseTtlMs: number;
}

/** On knowledge older than so many heartbeat intervals no task is started. */
const maxStartAgeHeartbeats = 2;
/** Users are told that a job waits for others only on knowledge younger than this part of the deadline of a cancellation. */
const maxCancellationAgeRatio = 1 / 4;

/** Judges the replica by the clock: it lags behind the store, and without the store it falls behind for good. */
export class StoreKnowledge {
  constructor(private readonly ports: StoreKnowledgePorts) {}

  /** Every change of the store before this moment of the steady clock, in ms, is in the replica. */
  get changesKnownUntil(): number {
    const { store, mirror } = this.ports;
    return store.knownUntil(mirror.revision);
  }

  /** The store has served us within the time to live of a lease, so what was leased to us may still be ours. */
  isStoreReachable(): boolean {
    const { store, clock, leaseTtlMs } = this.ports;
    return !store.failing && store.contactAgeMs(clock()) < leaseTtlMs;
  }

  /** Whether tasks may be started: on older knowledge their job may have ended. Called with every heartbeat. */
  mayStartTasks(): boolean {
    const { store, settings } = this.ports;
    return !store.failing && this.ageMs < settings.heartbeatIntervalMs * maxStartAgeHeartbeats;
  }

  /** Whether every cancellation is known that was confirmed so long ago that its dependents must be cancelled by now. */
  knowsCancellations(): boolean {
    return this.ageMs < this.ports.settings.cancelDeadlineMs * maxCancellationAgeRatio;
  }

  private get ageMs(): number {
    return this.ports.clock() - this.changesKnownUntil;
  }
}
