/** The HTTP service of a controller: workers' heartbeats, users' requests and health checks on one port. */
import type { Clock } from '../base/clock.js';
import { ConnectionLoad } from '../base/connection-load.js';
import { type RequestHandler, serveHttp } from '../base/http-server.js';
import type { Log } from '../base/log.js';
import { parseSocketAddress } from '../base/socket-address.js';
import type { BlockRegistry } from '../blocks/block-registry.js';
import type { OwnedBlocks } from '../blocks/owned-blocks.js';
import type { Intake } from '../intake/intake.js';
import type { Settings } from '../settings/settings.js';
import { HeartbeatHandler } from '../workers/heartbeat-handler.js';

/** Who answers what comes in, and under which conditions. */
export interface HttpServicePorts {
  clock: Clock;
  log: Log;
  settings: Settings;
  intake: Pick<Intake, 'routes' | 'health'>;
  ownedBlocks: Pick<OwnedBlocks, 'findMachine'>;
  registry: Pick<BlockRegistry, 'ownerOfMachine'>;
  /** The label of the leader as far as it is known. */
  leader: () => string | undefined;
  mayStartTasks: () => boolean;
  mayAnswerHeartbeats: () => boolean;
}

/** Connections that are accepted, as a part of all sockets that the process may have. */
const requestSocketsRatio = 0.8;
/** One turn of the event loop serves heartbeats for this part of a heartbeat interval, before other sockets get their turn. */
const turnBudgetHeartbeats = 1 / 80;
/** A connection is closed after so many worker leases without a request: workers and users make several in one. */
const idleTimeoutLeases = 2;
/** The response to a heartbeat waits for this part of a heartbeat interval, at most, for the commit of what it starts. */
const maxCommitWaitHeartbeats = 1 / 4;

/** Composes the handlers of all requests. */
export class HttpService {
  private readonly load: ConnectionLoad;
  private readonly heartbeatHandler: HeartbeatHandler;

  constructor(private readonly ports: HttpServicePorts) {
    this.load = new ConnectionLoad(Math.floor(ports.settings.quota.sockets * requestSocketsRatio));
    this.heartbeatHandler = this.createHeartbeatHandler();
  }

  /** Serves until the signal fires. Throws where the port cannot be listened on. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, log, settings, intake } = this.ports;
    const fastPathRoutes = [this.heartbeatHandler.route, intake.health];
    const loadHandler = async (): Promise<RequestHandler> => {
      const { createUserHandler } = await import('../base/user-handler.js');
      return createUserHandler(intake.routes, fastPathRoutes, log);
    };
    const options = {
      ...parseSocketAddress(settings.serveOn),
      fastPathRoutes,
      loadHandler,
      log,
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
      label,
      findMachine: (id) => ports.ownedBlocks.findMachine(id),
      ownerOf: (machine) => ports.registry.ownerOfMachine(machine),
      leader: ports.leader,
      mayStartTasks: ports.mayStartTasks,
      mayAnswerHeartbeats: ports.mayAnswerHeartbeats,
      areConnectionsScarce: () => load.isCrowded,
      heartbeatIntervalMs,
      maxCommitWaitMs: heartbeatIntervalMs * maxCommitWaitHeartbeats,
    });
  }
}
