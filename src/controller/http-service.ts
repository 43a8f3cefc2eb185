/**
 * The HTTP service of a controller: serves heartbeats of workers, requests of users and health checks on one
 * port.
 */
import type { Clock } from '../base/clock.js';
import { ConnectionLoad } from '../base/connection-load.js';
import { type RequestHandler, serveHttp } from '../base/http-server.js';
import type { Log } from '../base/log.js';
import type { OnRefusal } from '../base/refusals.js';
import { UnfinishedBodies } from '../base/request-body.js';
import { parseSocketAddress } from '../base/socket-address.js';
import type { BlockRegistry } from '../blocks/block-registry.js';
import type { OwnedBlocks } from '../blocks/owned-blocks.js';
import type { Intake } from '../intake/intake.js';
import type { Settings } from '../settings/settings.js';
import { HeartbeatHandler } from '../workers/heartbeat-handler.js';
import type { HeartbeatLog } from '../workers/heartbeat-log.js';
import type { ReplicatedJobs } from '../workers/job-endings.js';

/**
 * The modules that handle the requests, and the conditions under which heartbeats are answered and tasks are
 * started.
 */
export interface HttpServicePorts {
  clock: Clock;
  log: Log;
  /** Receives each request whose body is malformed. */
  onRefusal: OnRefusal;
  heartbeatLog: Pick<HeartbeatLog, 'record'>;
  settings: Settings;
  intake: Pick<Intake, 'routes' | 'health'>;
  ownedBlocks: Pick<OwnedBlocks, 'findMachine'>;
  registry: Pick<BlockRegistry, 'ownerOfMachine'>;
  /** The replica of the store. */
  replica: ReplicatedJobs;
  /**
   * Returns the label of the leader according to the replica of the store, or undefined if there is no
   * leader.
   */
  leader: () => string | undefined;
  mayStartTasks: () => boolean;
  mayAnswerHeartbeats: () => boolean;
}

/** Maximum number of accepted connections, as a fraction of the maximum number of sockets of the process. */
const requestSocketsRatio = 0.8;
/** Maximum memory for request bodies that have not arrived completely, as a share of the memory quota. */
const unfinishedBodiesRatio = 1 / 32;
const bytesPerMb = 2 ** 20;
/**
 * In one iteration of the event loop, heartbeats are served for at most this fraction of a heartbeat
 * interval. After that, other sockets are served.
 */
const turnBudgetHeartbeats = 1 / 80;
/**
 * A connection that receives no request for this many worker lease periods is closed. Workers and users send
 * several requests within one period.
 */
const idleTimeoutLeases = 2;
/**
 * A heartbeat response that starts tasks is delayed until the starts of these tasks have been committed to
 * the store, but for at most this fraction of a heartbeat interval.
 */
const maxCommitWaitHeartbeats = 1 / 4;

/** Composes the handlers of all requests and serves them. */
export class HttpService {
  private readonly load: ConnectionLoad;
  private readonly heartbeatHandler: HeartbeatHandler;

  constructor(private readonly ports: HttpServicePorts) {
    this.load = new ConnectionLoad(Math.floor(ports.settings.quota.sockets * requestSocketsRatio));
    this.heartbeatHandler = this.createHeartbeatHandler();
  }

  /** Serves requests until the signal fires. Throws if the process cannot listen on the port. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, log, onRefusal, settings, intake } = this.ports;
    const unfinishedBodies = new UnfinishedBodies(
      settings.quota.memoryMb * bytesPerMb * unfinishedBodiesRatio,
    );
    const fastPathRoutes = [this.heartbeatHandler.route, intake.health];
    const loadHandler = async (): Promise<RequestHandler> => {
      const { createUserHandler } = await import('../base/user-handler.js');
      return createUserHandler(intake.routes, fastPathRoutes, { log, onRefusal, unfinishedBodies });
    };
    const options = {
      ...parseSocketAddress(settings.listenAddress),
      fastPathRoutes,
      loadHandler,
      log,
      onRefusal,
      unfinishedBodies,
      clock,
      load: this.load,
      idleTimeoutMs: settings.workerLeaseMs * idleTimeoutLeases,
      turnBudgetMs: settings.heartbeatIntervalMs * turnBudgetHeartbeats,
    };
    await serveHttp(options, signal);
  }

  private createHeartbeatHandler(): HeartbeatHandler {
    const { ports, load } = this;
    const { label, heartbeatIntervalMs } = ports.settings;
    return new HeartbeatHandler({
      clock: ports.clock,
      log: ports.log,
      heartbeatLog: ports.heartbeatLog,
      label,
      findMachine: (id) => ports.ownedBlocks.findMachine(id),
      ownerOf: (machine) => ports.registry.ownerOfMachine(machine),
      leader: ports.leader,
      replica: ports.replica,
      mayStartTasks: ports.mayStartTasks,
      mayAnswerHeartbeats: ports.mayAnswerHeartbeats,
      areConnectionsScarce: () => load.isNearLimit,
      heartbeatIntervalMs,
      maxCommitWaitMs: heartbeatIntervalMs * maxCommitWaitHeartbeats,
    });
  }
}
