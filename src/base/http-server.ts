/**
 * The HTTP server of a controller. A fast path serves heartbeats and health checks without the Koa framework.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { Clock } from './clock.js';
import type { ConnectionLoad } from './connection-load.js';
import { DirectConnections } from './direct-connections.js';
import type { Log } from './log.js';
import type { OnRefusal } from './refusals.js';
import { type FastPathRoute, handleFastPath, type Reply, send, unavailableReply } from './replies.js';
import { readRequestBody, type UnfinishedBodies, UnreadBodyError } from './request-body.js';
import { senderOf } from './socket-address.js';

/** Handles a request that Node's server has received, including any failure to serve it. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Routes, limits and dependencies of the server. */
export interface HttpServerOptions {
  fastPathRoutes: FastPathRoute[];
  /**
   * Loads the handler of all requests that are not for `fastPathRoutes`. Called once, when the first such
   * request arrives.
   */
  loadHandler: () => Promise<RequestHandler>;
  log: Log;
  /** Receives each request of a fast-path route whose body is malformed. */
  onRefusal: OnRefusal;
  /** Limits the memory for request bodies that have not arrived completely. */
  unfinishedBodies: UnfinishedBodies;
  host: string;
  port: number;
  clock: Clock;
  load: ConnectionLoad;
  /** Time in milliseconds after which a connection is closed if no request was received on it. */
  idleTimeoutMs: number;
  /** Maximum time in milliseconds that one event-loop iteration spends on queued requests. */
  turnBudgetMs: number;
}

/** Serves until the signal fires, then closes all open connections. Rejects if the server cannot listen. */
export async function serveHttp(options: HttpServerOptions, signal: AbortSignal): Promise<void> {
  const server = createServer(createRequestHandler(options));
  const direct = installFastPath(server, options);
  server.maxConnections = options.load.maxConnections;
  // Users poll every few seconds. If the server closed a connection between two polls, the next poll could
  // fail.
  server.keepAliveTimeout = options.idleTimeoutMs;
  server.headersTimeout = options.idleTimeoutMs;
  await new Promise<void>((resolve, reject) => {
    server.on('error', reject);
    const stop = (): void => {
      server.close(() => resolve());
      server.closeAllConnections();
      direct.closeAll();
    };
    signal.addEventListener('abort', stop, { once: true });
    server.listen(options.port, options.host);
  });
}

/**
 * Passes new connections to the fast path. The fast path passes connections that it cannot serve to Node's
 * server.
 */
function installFastPath(server: Server, options: HttpServerOptions): DirectConnections {
  const [accept] = server.listeners('connection') as ((socket: Socket) => void)[];
  const delegate = (socket: Socket): void => accept?.call(server, socket);
  const direct = new DirectConnections({ ...options, routes: options.fastPathRoutes, delegate });
  server.removeAllListeners('connection');
  server.on('connection', (socket: Socket) => direct.accept(socket));
  return direct;
}

/**
 * Creates the request handler of Node's server. It also serves the routes of the fast path if a request did
 * not arrive in one chunk.
 */
function createRequestHandler(options: HttpServerOptions): RequestHandler {
  const routes = new Map(options.fastPathRoutes.map((route) => [`${route.method} ${route.path}`, route]));
  const serveOther = createLazyHandler(options);
  return (request, response) => {
    const route = routes.get(`${request.method ?? ''} ${request.url ?? ''}`);
    if (route) serveFastPath(route, request, response, options);
    else serveOther(request, response);
  };
}

function createLazyHandler({ loadHandler, log }: HttpServerOptions): RequestHandler {
  let handler: Promise<RequestHandler> | undefined;
  return (request, response) => {
    handler ??= loadHandler();
    handler
      .then((handle) => handle(request, response))
      .catch((error: unknown) => {
        log.error(
          { event: 'request-failed', path: request.url, err: error },
          'request failed; responding with status 503',
        );
        send(response, unavailableReply);
      });
  };
}

function serveFastPath(
  route: FastPathRoute,
  request: IncomingMessage,
  response: ServerResponse,
  options: HttpServerOptions,
): void {
  const { socket } = request;
  const answer = (reply: Reply): void => {
    if (!response.headersSent && !response.destroyed) send(response, reply);
  };
  if (route.method === 'GET') {
    handleFastPath({ route, bytes: undefined, socket, answer }, options);
    return;
  }
  readRequestBody(request, options.unfinishedBodies).then(
    (bytes) => handleFastPath({ route, bytes, socket, answer }, options),
    (error: unknown) => {
      // If the connection fails, the heartbeat on it is lost. The worker sends another heartbeat.
      if (!(error instanceof UnreadBodyError)) return;
      const { path } = route;
      options.onRefusal({ source: 'worker', path, sender: senderOf(socket), error, bytes: error.bytes });
      answer(error.reply);
    },
  );
}
