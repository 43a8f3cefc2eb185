import { type Server, createServer } from 'node:http';
import type { Readable } from 'node:stream';
import Koa from 'koa';
import { decode, encode } from '../wire/codec.js';
import type { Log } from './log.js';

export interface Reply {
  status: number;
  body?: unknown;
  retryAfterS?: number;
}

export interface Route {
  method: 'GET' | 'POST';
  path: RegExp;
  /** `body` is undefined where the request has none; `params` are the groups of `path`. */
  handle: (body: unknown, params: string[]) => Reply | Promise<Reply>;
}

class TooLarge extends Error {}

const bodyLimit = 64 * 1024;

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
      ? { status: 405, body: { error: 'method not allowed' } }
      : { status: 404, body: { error: 'no such path' } };
  }
  let body: unknown;
  if (method === 'POST') {
    const bytes = await readBody(stream);
    try {
      body = bytes.length > 0 ? decode(bytes) : undefined;
    } catch {
      return { status: 400, body: { error: 'not MessagePack' } };
    }
  }
  return route.handle(body, route.path.exec(path)?.slice(1) ?? []);
}

/** The HTTP face of a controller. Whatever arrives, the process stays up and the answer has its proper status. */
export function createWebApp(routes: Route[], log: Log): Koa {
  const app = new Koa();
  app.silent = true;
  app.use(async (ctx) => {
    let reply: Reply;
    const headers: Record<string, string | number> = { 'Content-Type': 'application/msgpack' };
    try {
      reply = await answer(routes, ctx.method, ctx.path, ctx.req);
    } catch (error) {
      if (error instanceof TooLarge) {
        // The rest of the body is not read, so the connection cannot be used again.
        headers['Connection'] = 'close';
        reply = { status: 413, body: { error: 'body over 64 KiB' } };
      } else {
        log.error({ event: 'request-failed', path: ctx.path, err: error }, 'request failed');
        reply = { status: 503, body: { error: 'trouble' }, retryAfterS: 1 };
      }
    }
    if (reply.retryAfterS !== undefined) headers['Retry-After'] = Math.ceil(reply.retryAfterS);
    const body = encode(reply.body ?? {});
    headers['Content-Length'] = body.length;
    // Always a short answer in one piece: written as it is, it takes a fraction of what the framework's own way takes.
    ctx.respond = false;
    ctx.res.writeHead(reply.status, headers);
    ctx.res.end(body);
  });
  return app;
}

export interface ListenOptions {
  host: string;
  port: number;
  maxConnections: number;
  idleMs: number;
}

/** Serves until the signal fires; open connections are then closed. */
export async function serveWeb(app: Koa, options: ListenOptions, signal: AbortSignal): Promise<void> {
  const handler = app.callback();
  const server: Server = createServer((request, response) => void handler(request, response));
  server.maxConnections = options.maxConnections;
  // Users poll every few seconds: closing a connection between two polls would cost them a failed request.
  server.keepAliveTimeout = options.idleMs;
  server.headersTimeout = options.idleMs;
  await new Promise<void>((resolve, reject) => {
    server.on('error', reject);
    signal.addEventListener(
      'abort',
      () => {
        server.close(() => resolve());
        server.closeAllConnections();
      },
      { once: true },
    );
    server.listen(options.port, options.host);
  });
}
