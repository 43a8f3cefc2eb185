/**
 * Composes the modules that schedule the blocks leased to this controller and monitor the health of the
 * machines in them. A block is a set of machines with the work placed on them.
 */
import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { MonitoredBlock } from '../blocks/owned-block.js';
import { OwnedBlocks } from '../blocks/owned-blocks.js';
import type { CloudClient } from '../cloud/client.js';
import type { Membership } from '../leadership/membership.js';
import { isOutageForAllControllers } from '../leadership/store-outage.js';
import type { LastPeerStatus } from '../peers/peer-links.js';
import type { QueueOrder } from '../placement/queue-order.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Settings } from '../settings/settings.js';
import { HealthMonitor } from '../workers/health-monitor.js';
import type { MachineTypeCatalog } from './machine-type-catalog.js';
import type { StateAccess } from './state-access.js';

/** The parts of the controller that the owned blocks use. */
export interface BlockOwnershipPorts {
  clock: Clock;
  log: Log;
  settings: Settings;
  operator: OperatorSettings;
  /** Identifies this run of the controller process; a new value is chosen at every start. */
  incarnation: string;
  /** When the signal fires, the routines of all owned blocks stop. */
  signal: AbortSignal;
  state: StateAccess;
  cloud: CloudClient;
  order: QueueOrder;
  machineTypes: Pick<MachineTypeCatalog, 'types'>;
  membership: Pick<Membership, 'resign'>;
  /** The latest status of the peer with this label; undefined if no status of the peer has been received. */
  lastPeerStatus: (label: string) => LastPeerStatus | undefined;
  /** Time to live of a controller's lease in the store, in ms. */
  leaseTtlMs: number;
}

/**
 * Creates the object that starts and stops the blocks leased to this controller, each with its state, its
 * scheduler and its health monitor.
 */
export function createOwnedBlocks(ports: BlockOwnershipPorts): OwnedBlocks {
  const { state, settings } = ports;
  return new OwnedBlocks({
    clock: ports.clock,
    wallClock: Date.now,
    log: ports.log,
    settings,
    incarnation: ports.incarnation,
    signal: ports.signal,
    store: state.store,
    commits: state.commitQueues.duty,
    replica: state.replica,
    replicaAgeMs: () => state.replicaFreshness.ageMs,
    registry: state.registry,
    jobIndex: state.jobIndex,
    order: ports.order,
    machineTypes: () => ports.machineTypes.types,
    createHealthMonitor: (block) => createHealthMonitor(ports, block),
  });
}

function createHealthMonitor(ports: BlockOwnershipPorts, block: MonitoredBlock): HealthMonitor {
  const { state, settings } = ports;
  return new HealthMonitor({
    ...block,
    clock: ports.clock,
    wallClock: Date.now,
    log: ports.log,
    settings,
    operator: ports.operator,
    cloud: ports.cloud,
    outcomeOf: (jobId) => state.replica.outcomeOf(jobId),
    readOutcome: (jobId) => state.outcomeReader.read(jobId),
    machineTypes: () => ports.machineTypes.types,
    isStoreReachable: () => state.replicaFreshness.isStoreReachable(),
    isStoreDownForAll: () =>
      isOutageForAllControllers({
        now: ports.clock(),
        lastStoreContactAt: state.store.lastContactAt,
        leaseTtlMs: ports.leaseTtlMs,
        heartbeatIntervalMs: settings.heartbeatIntervalMs,
        peers: settings.peers.map(({ label }) => ports.lastPeerStatus(label)),
      }),
    // If this controller receives no heartbeats at all, another controller has to take over its blocks to
    // keep their tasks running. Resigning ends this controller's lease in the store, and the leader then
    // leases the blocks to other controllers.
    onNoHeartbeats: () => ports.membership.resign(settings.cancelDeadlineMs),
  });
}
