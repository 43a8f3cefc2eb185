import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import type { Readable } from 'node:stream';
import Koa from 'koa';
import { decode, encode } from '../wire/codec.js';
import type { Log } from './log.js';

export interface Reply {
  status: number;
  body?: unknown;
  retryAfterS?: number;
  /** The connection ends with this answer: its user is better off with another controller. */
  close?: boolean;
}

export interface Route {
  method: 'GET' | 'POST';
  path: RegExp;
  /** `body` is undefined where the request has none; `params` are the groups of `path`. */
  handle: (body: unknown, params: string[]) => Reply | Promise<Reply>;
}

/**
 * A route that Koa is not asked about, for what comes most often by far: reports and health checks. It answers through a
 * call instead of a promise, so that the usual one is over within the turn that brought it.
 */
export interface LeanRoute {
  method: 'GET' | 'POST';
  path: string;
  handle: (body: unknown, answer: (reply: Reply) => void) => void;
}

class TooLarge extends Error {}

const bodyLimit = 64 * 1024;
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
export function createWebApp(routes: Route[], lean: LeanRoute[], log: Log): Koa {
  const app = new Koa();
  app.silent = true;
  app.use(async (ctx) => {
    let reply: Reply;
    let close: boolean | undefined;
    try {
      // A lean route comes here only with another method than its own.
      reply = lean.some((route) => route.path === ctx.path)
        ? notAllowed
        : await answer(routes, ctx.method, ctx.path, ctx.req);
    } catch (error) {
      if (error instanceof TooLarge) {
        // The rest of the body is not read, so the connection cannot be used again.
        close = true;
        reply = { status: 413, body: { error: 'body over 64 KiB' } };
      } else {
        log.error({ event: 'request-failed', path: ctx.path, err: error }, 'request failed');
        reply = { status: 503, body: { error: 'trouble' }, retryAfterS: 1 };
      }
    }
    ctx.respond = false;
    send(ctx.res, reply, close);
  });
  return app;
}

/**
 * Always a short answer in one piece: as text of one byte a character, head and body go out in one write, which takes a
 * fraction of what the framework's own way takes.
 */
function send(response: ServerResponse, reply: Reply, close = reply.close === true): void {
  const body = encode(reply.body ?? {});
  const headers = ['Content-Type', 'application/msgpack', 'Content-Length', String(body.length)];
  if (reply.retryAfterS !== undefined) headers.push('Retry-After', String(Math.ceil(reply.retryAfterS)));
  if (close) headers.push('Connection', 'close');
  // A date would cost a timer a second and is of use to nobody here.
  response.sendDate = false;
  response.writeHead(reply.status, headers);
  response.end(body.toString('latin1'), 'latin1');
}

function serveLean(route: LeanRoute, request: IncomingMessage, response: ServerResponse, log: Log): void {
  const answer = (reply: Reply, close?: boolean): void => {
    if (!response.headersSent && !response.destroyed) send(response, reply, close);
  };
  const handle = (body: unknown): void => {
    try {
      route.handle(body, answer);
    } catch (error) {
      log.error({ event: 'request-failed', path: route.path, err: error }, 'request failed');
      answer({ status: 503, body: { error: 'trouble' } });
    }
  };
  if (route.method === 'GET') return handle(undefined);
  let bytes: Buffer | undefined;
  request.on('data', (chunk: Buffer) => {
    bytes = bytes ? Buffer.concat([bytes, chunk]) : chunk;
    if (bytes.length <= bodyLimit) return;
    request.pause();
    answer({ status: 413, body: { error: 'body over 64 KiB' } }, true);
  });
  request.on('end', () => {
    let body: unknown;
    try {
      body = bytes && decode(bytes);
    } catch {
      return answer({ status: 400, body: { error: 'not MessagePack' } });
    }
    handle(body);
  });
  // A connection that is lost takes its report with it: the worker sends another.
  request.on('error', () => undefined);
}

export interface ListenOptions {
  lean: LeanRoute[];
  log: Log;
  host: string;
  port: number;
  maxConnections: number;
  idleMs: number;
}

/** Serves until the signal fires; open connections are then closed. */
export async function serveWeb(app: Koa, options: ListenOptions, signal: AbortSignal): Promise<void> {
  const handler = app.callback();
  const lean = new Map(options.lean.map((route) => [`${route.method} ${route.path}`, route]));
  const server: Server = createServer((request, response) => {
    const route = lean.get(`${request.method} ${request.url}`);
    if (route) serveLean(route, request, response, options.log);
    else void handler(request, response);
  });
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
