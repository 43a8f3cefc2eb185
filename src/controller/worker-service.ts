/** Composes the modules that decide how heartbeats of workers are answered, and the HTTP service. */
import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { OnRefusal } from '../base/refusals.js';
import type { OwnedBlocks } from '../blocks/owned-blocks.js';
import type { Intake } from '../intake/intake.js';
import type { Election } from '../leadership/election.js';
import { HeartbeatResponsePolicy } from '../leadership/heartbeat-response-policy.js';
import type { PeerLinks } from '../peers/peer-links.js';
import type { Settings } from '../settings/settings.js';
import { HeartbeatLog } from '../workers/heartbeat-log.js';
import { HttpService } from './http-service.js';
import type { StateAccess } from './state-access.js';

/** The parts of the controller that the log of heartbeats uses. */
export interface HeartbeatLogParts {
  clock: Clock;
  log: Log;
  settings: Settings;
  state: Pick<StateAccess, 'replica' | 'replicaFreshness'>;
}

/** The parts of the controller that the HTTP service uses. */
export interface HttpServiceParts extends HeartbeatLogParts {
  state: StateAccess;
  onRefusal: OnRefusal;
  heartbeatLog: HeartbeatLog;
  intake: Intake;
  ownedBlocks: OwnedBlocks;
  election: Pick<Election, 'leader'>;
  peerLinks: Pick<PeerLinks, 'lastStatus'>;
  /** Time to live of a controller's lease in the store, in ms. */
  leaseTtlMs: number;
}

/** Creates the log of the heartbeats that this controller answers. */
export function createHeartbeatLog({ clock, log, settings, state }: HeartbeatLogParts): HeartbeatLog {
  return new HeartbeatLog({
    clock,
    log,
    settings,
    replicaRevision: () => state.replica.revision,
    replicaAgeMs: () => state.replicaFreshness.ageMs,
  });
}

/** Creates the HTTP service for workers, users and health checks. */
export function createHttpService(parts: HttpServiceParts): HttpService {
  const { clock, log, settings, state, election } = parts;
  const responsePolicy = createResponsePolicy(parts);
  return new HttpService({
    clock,
    log,
    onRefusal: parts.onRefusal,
    heartbeatLog: parts.heartbeatLog,
    settings,
    intake: parts.intake,
    ownedBlocks: parts.ownedBlocks,
    registry: state.registry,
    replica: state.replica,
    leader: () => election.leader,
    mayStartTasks: () => state.replicaFreshness.mayStartTasks(),
    mayAnswerHeartbeats: () => responsePolicy.mayRespond(),
  });
}

function createResponsePolicy(parts: HttpServiceParts): HeartbeatResponsePolicy {
  const { clock, settings, state, peerLinks, leaseTtlMs } = parts;
  return new HeartbeatResponsePolicy({
    clock,
    times: settings,
    peers: settings.peers.map(({ label }) => label),
    leaseTtlMs,
    changesKnownUntil: () => state.replicaFreshness.changesKnownUntil,
    lastStoreContactAt: () => state.store.lastContactAt,
    lastPeerStatus: (label) => peerLinks.lastStatus(label),
  });
}
