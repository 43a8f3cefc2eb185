/**
 * The handler of the users' routes, which uses Koa. This module is loaded on demand, because loading Koa
 * takes most of the processor time that the start of the process needs.
 */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import Koa from 'koa';

import type { RequestHandler } from './http-server.js';
import type { Log } from './log.js';
import type { OnRefusal } from './refusals.js';
import {
  decodeBody,
  type FastPathRoute,
  malformedReply,
  type Reply,
  type Route,
  send,
  unavailableReply,
} from './replies.js';
import {
  readRequestBody,
  RequestAbortedError,
  type UnfinishedBodies,
  UnreadBodyError,
} from './request-body.js';
import { senderOf } from './socket-address.js';

const methodNotAllowedReply: Reply = { status: 405, body: { error: 'method not allowed' } };
const notFoundReply: Reply = { status: 404, body: { error: 'no such path' } };

interface UserHandlerPorts {
  log: Log;
  /** Receives each request whose body is malformed or too large. */
  onRefusal: OnRefusal;
  /** Limits the memory for request bodies that have not arrived completely. */
  unfinishedBodies: UnfinishedBodies;
}

async function dispatchToRoute(
  routes: Route[],
  request: IncomingMessage,
  path: string,
  { onRefusal, unfinishedBodies }: UserHandlerPorts,
): Promise<Reply> {
  const { method, socket } = request;
  const routesOfPath = routes.filter((route) => route.path.test(path));
  const route = routesOfPath.find((candidate) => candidate.method === method);
  if (!route) return routesOfPath.length > 0 ? methodNotAllowedReply : notFoundReply;
  const bytes = method === 'POST' ? await readRequestBody(request, unfinishedBodies) : undefined;
  const decoded = decodeBody(bytes);
  if ('error' in decoded) {
    const { error } = decoded;
    const body = bytes ?? Buffer.alloc(0);
    onRefusal({ source: 'user', path, sender: senderOf(socket), error, bytes: body });
    const refusal = malformedReply(error);
    return route.handleMalformed ? route.handleMalformed(body, refusal) : refusal;
  }
  return route.handle(decoded.body, route.path.exec(path)?.slice(1) ?? []);
}

/** Returns the reply to a failed request, and logs the failure unless the client has closed the connection. */
function failureReply(
  error: unknown,
  path: string,
  socket: Socket,
  { log, onRefusal }: UserHandlerPorts,
): Reply {
  if (error instanceof UnreadBodyError) {
    onRefusal({ source: 'user', path, sender: senderOf(socket), error, bytes: error.bytes });
    return error.reply;
  }
  if (error instanceof RequestAbortedError) return unavailableReply;
  log.error({ event: 'request-failed', path, err: error }, 'request failed; responding with status 503');
  return unavailableReply;
}

/**
 * Creates the handler of the users' routes. Every request gets a reply with the appropriate status, and a
 * failure of a route does not end the process. The fast path serves `fastPathRoutes`. This handler receives a
 * request for one of their paths only if the method of the request differs from that of the route.
 */
export function createUserHandler(
  routes: Route[],
  fastPathRoutes: FastPathRoute[],
  ports: UserHandlerPorts,
): RequestHandler {
  const app = new Koa();
  app.silent = true;
  app.use(async (ctx) => {
    let reply: Reply;
    try {
      reply = fastPathRoutes.some((route) => route.path === ctx.path)
        ? methodNotAllowedReply
        : await dispatchToRoute(routes, ctx.req, ctx.path, ports);
    } catch (error) {
      reply = failureReply(error, ctx.path, ctx.req.socket, ports);
    }
    ctx.respond = false;
    send(ctx.res, reply);
  });
  const handle = app.callback();
  // The promise of Koa never rejects, because Koa handles errors of its middleware itself.
  return (request, response) => void handle(request, response);
}
