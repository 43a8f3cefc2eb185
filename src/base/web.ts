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

export class BadBody extends Error {}
class TooLarge extends Error {}

const bodyLimit = 64 * 1024;

async function readBody(stream: Readable): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of stream) {
    const bytes = chunk as Buffer;
    size += bytes.length;
    if (size > bodyLimit) throw new TooLarge();
    chunks.push(bytes);
  }
  return Buffer.concat(chunks);
}

async function answer(routes: Route[], method: string, path: string, stream: Readable): Promise<Reply> {
  const here = routes.filter((route) => route.path.test(path));
  if (here.length === 0) return { status: 404, body: { error: 'no such path' } };
  const route = here.find((r) => r.method === method);
  if (!route) return { status: 405, body: { error: 'method not allowed' } };
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
    try {
      reply = await answer(routes, ctx.method, ctx.path, ctx.req);
    } catch (error) {
      if (error instanceof TooLarge) {
        // The rest of the body is not read, so the connection cannot be used again.
        ctx.set('Connection', 'close');
        reply = { status: 413, body: { error: 'body over 64 KiB' } };
      } else {
        log.error({ event: 'request-failed', path: ctx.path, err: error }, 'request failed');
        reply = { status: 503, body: { error: 'trouble' }, retryAfterS: 1 };
      }
    }
    ctx.status = reply.status;
    if (reply.retryAfterS !== undefined) ctx.set('Retry-After', String(Math.ceil(reply.retryAfterS)));
    ctx.type = 'application/msgpack';
    ctx.body = encode(reply.body ?? {});
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
