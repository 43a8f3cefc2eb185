/**
 * Composes a controller's access to the store: the client, the replica, and the state that is derived from
 * the replica.
 */
import type { Clock } from '../base/clock.js';
import type { OnRefusal } from '../base/refusals.js';
import { BlockRegistry } from '../blocks/block-registry.js';
import { Cancellations } from '../intake/cancellations.js';
import { OutcomeReader } from '../intake/outcome-reader.js';
import { JobIndex } from '../placement/job-index.js';
import type { Settings } from '../settings/settings.js';
import { StoreClient } from '../store/client.js';
import { StoreReplica } from '../store/store-replica.js';
import { type CommitQueues, createCommitQueues } from './commit-queues.js';
import { ReplicaFreshness } from './replica-freshness.js';
import { storeProbeIntervalMs } from './store-contact-monitor.js';

/** The settings and inputs of the access to the store. */
export interface StateAccessOptions {
  clock: Clock;
  settings: Settings;
  /** When the signal fires, requests to the store are aborted and the commit queues stop. */
  signal: AbortSignal;
  /** Receives each reply of the store that is malformed. */
  onRefusal: OnRefusal;
  /** Time to live of a controller's lease in the store. */
  leaseTtlMs: number;
}

/** Composes the modules that read and write the store. */
export class StateAccess {
  readonly store: StoreClient;
  /** The replica of the store. */
  readonly replica: StoreReplica;
  readonly commitQueues: CommitQueues;
  readonly registry: BlockRegistry;
  readonly jobIndex: JobIndex;
  readonly cancellations: Cancellations;
  readonly outcomeReader: OutcomeReader;
  readonly replicaFreshness: ReplicaFreshness;

  constructor({ clock, settings, signal, onRefusal, leaseTtlMs }: StateAccessOptions) {
    const store = new StoreClient({ settings, clock, signal, onRefusal });
    const replica = new StoreReplica(store, store.watchGapMs, storeProbeIntervalMs);
    const labels = [settings.label, ...settings.peers.map((peer) => peer.label)];
    this.store = store;
    this.replica = replica;
    this.commitQueues = createCommitQueues(store, settings, signal);
    this.registry = new BlockRegistry(replica, labels);
    this.jobIndex = new JobIndex(clock, (id) => replica.outcomeOf(id));
    this.cancellations = new Cancellations(() => replica.initialRevision);
    this.outcomeReader = new OutcomeReader({ store, replica });
    this.replicaFreshness = new ReplicaFreshness({ clock, store, replica, settings, leaseTtlMs });
  }
}
