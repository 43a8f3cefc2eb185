/** The routes of users, served by Koa. Loaded on demand: Koa takes more processor time to load than all else of a start. */
import type { Readable } from 'node:stream';
import Koa from 'koa';
import type { Log } from './log.js';
import {
  type LeanRoute,
  type Reply,
  type Route,
  bodyLimit,
  decodeBody,
  malformedReply,
  send,
  tooLargeReply,
  troubleReply,
} from './replies.js';
import type { RequestHandler } from './web.js';

class TooLarge extends Error {}

const notAllowed: Reply = { status: 405, body: { error: 'method not allowed' } };

/** By events: there is a body for every report, and an iterator for each costs more than the reading. */
function readBody(stream: Readable): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    stream.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= bodyLimit) chunks.push(chunk);
      else {
        stream.pause();
        reject(new TooLarge());
      }
    });
    stream.on('end', () => resolve(chunks.length === 1 && chunks[0] ? chunks[0] : Buffer.concat(chunks)));
    stream.on('error', reject);
    stream.on('close', () => {
      if (!stream.readableEnded) reject(new Error('connection lost'));
    });
  });
}

async function answer(routes: Route[], method: string, path: string, stream: Readable): Promise<Reply> {
  const route = routes.find((r) => r.method === method && r.path.test(path));
  if (!route) {
    return routes.some((r) => r.path.test(path))
      ? notAllowed
      : { status: 404, body: { error: 'no such path' } };
  }
  const bytes = method === 'POST' ? await readBody(stream) : undefined;
  const decoded = decodeBody(bytes);
  if (!decoded) return malformedReply;
  return route.handle(decoded.body, route.path.exec(path)?.slice(1) ?? []);
}

/**
 * Serves the users' routes. Whatever arrives, the process stays up and the answer has its proper status. `lean` are the
 * routes that are served elsewhere: a request for one of them comes here only with another method.
 */
export function createUserHandler(routes: Route[], lean: LeanRoute[], log: Log): RequestHandler {
  const app = new Koa();
  app.silent = true;
  app.use(async (ctx) => {
    let reply: Reply;
    try {
      reply = lean.some((route) => route.path === ctx.path)
        ? notAllowed
        : await answer(routes, ctx.method, ctx.path, ctx.req);
    } catch (error) {
      if (error instanceof TooLarge) {
        // The rest of the body is not read, so the connection cannot be used again.
        reply = tooLargeReply;
      } else {
        log.error({ event: 'request-failed', path: ctx.path, err: error }, 'request failed');
        reply = troubleReply;
      }
    }
    ctx.respond = false;
    send(ctx.res, reply);
  });
  const handle = app.callback();
  return (request, response) => void handle(request, response);
}
