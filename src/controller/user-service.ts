/**
 * Composes the modules that serve users: submissions, status requests, cancellations, and health checks of
 * load balancers.
 */
import type { Clock } from '../base/clock.js';
import type { BootedMachines } from '../blocks/booted-machines.js';
import { InitialDispatcher } from '../blocks/initial-dispatcher.js';
import type { OwnedBlocks } from '../blocks/owned-blocks.js';
import type { CancellationCascade } from '../dependencies/cancellation-cascade.js';
import { Intake } from '../intake/intake.js';
import type { Election } from '../leadership/election.js';
import type { PeerLinks } from '../peers/peer-links.js';
import type { Settings } from '../settings/settings.js';
import type { MachineTypeCatalog } from './machine-type-catalog.js';
import { ServiceHealth } from './service-health.js';
import type { StateAccess } from './state-access.js';

/** The parts of the controller that the user service uses. */
export interface UserServicePorts {
  clock: Clock;
  settings: Settings;
  state: StateAccess;
  machineTypes: Pick<MachineTypeCatalog, 'types'>;
  bootedMachines: BootedMachines;
  ownedBlocks: Pick<OwnedBlocks, 'blockStates'>;
  election: Pick<Election, 'leader'>;
  cascade: CancellationCascade;
  peerLinks: Pick<PeerLinks, 'lastStatus'>;
  /** Time to live of a controller's lease in the store. */
  leaseTtlMs: number;
}

/** Creates the handlers of user requests. */
export function createIntake(ports: UserServicePorts): Intake {
  const { state } = ports;
  const initialDispatcher = createInitialDispatcher(ports);
  const health = createHealth(ports);
  return new Intake({
    wallClock: Date.now,
    settings: ports.settings,
    store: state.store,
    replica: state.replica,
    jobIndex: state.jobIndex,
    writes: state.commitQueues.intake,
    comparisons: state.commitQueues.confirm,
    outcomeReader: state.outcomeReader,
    cascade: ports.cascade,
    machineTypes: () => ports.machineTypes.types,
    initialRanges: (spec) => initialDispatcher.initialRanges(spec),
    supportsDependencies: () => state.registry.isClusterUpgraded,
    knowsCancellations: () => state.replicaFreshness.knowsCancellations(),
    isServing: () => health.isServing(),
  });
}

function createInitialDispatcher(ports: UserServicePorts): InitialDispatcher {
  return new InitialDispatcher({
    clock: ports.clock,
    registry: ports.state.registry,
    jobIndex: ports.state.jobIndex,
    machineTypes: () => ports.machineTypes.types,
    bootedMachines: ports.bootedMachines,
    ownBlocks: () => new Set(ports.ownedBlocks.blockStates().map(({ block }) => block)),
    leader: () => ports.election.leader,
  });
}

function createHealth(ports: UserServicePorts): ServiceHealth {
  return new ServiceHealth({
    clock: ports.clock,
    store: ports.state.store,
    replica: ports.state.replica,
    hasMachineTypes: () => ports.machineTypes.types.size > 0,
    peers: ports.settings.peers.map(({ label }) => label),
    lastPeerStatus: (label) => ports.peerLinks.lastStatus(label),
    leaseTtlMs: ports.leaseTtlMs,
  });
}
