/** Composes what keeps the blocks that are leased to this controller: their scheduling, and the health of their machines. */
import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { MonitoredBlock } from '../blocks/owned-block.js';
import { OwnedBlocks } from '../blocks/owned-blocks.js';
import type { CloudClient } from '../cloud/client.js';
import type { Membership } from '../leadership/membership.js';
import type { QueueOrder } from '../placement/queue-order.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Settings } from '../settings/settings.js';
import { HealthMonitor } from '../workers/health-monitor.js';
import type { MachineTypeCatalog } from './machine-type-catalog.js';
import type { StateAccess } from './state-access.js';

/** What the owner of blocks needs of the rest of the controller. */
export interface BlockOwnershipPorts {
  clock: Clock;
  log: Log;
  settings: Settings;
  operator: OperatorSettings;
  /** Tells one life of this process from the next. */
  incarnation: string;
  /** All blocks are let go when it fires. */
  signal: AbortSignal;
  state: StateAccess;
  cloud: CloudClient;
  order: QueueOrder;
  machineTypes: Pick<MachineTypeCatalog, 'types'>;
  membership: Pick<Membership, 'resign'>;
}

/** Makes the keeper of this controller's blocks. */
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
    mirror: state.mirror,
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
    log: ports.log,
    settings,
    operator: ports.operator,
    cloud: ports.cloud,
    machineTypes: () => ports.machineTypes.types,
    isStoreReachable: () => state.knowledge.isStoreReachable(),
    // Only others can keep the workers' tasks then: they are leased our blocks as soon as our lease is gone.
    onNoHeartbeats: () => ports.membership.resign(settings.cancelDeadlineMs),
  });
}
