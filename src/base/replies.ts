/** Routes of the HTTP server, and the replies that they give. */
import type { ServerResponse } from 'node:http';
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
  /** It comes in numbers, and may wait for a turn of the event loop while there are too many at a time. */
  queued?: boolean;
  handle: (body: unknown, answer: (reply: Reply) => void) => void;
}

/** Largest body of a request, in bytes. */
export const bodyLimit = 64 * 1024;
export const tooLargeReply: Reply = { status: 413, body: { error: 'body over 64 KiB' }, close: true };
export const malformedReply: Reply = { status: 400, body: { error: 'not MessagePack' } };
export const troubleReply: Reply = { status: 503, body: { error: 'trouble' }, retryAfterS: 1 };

/** Names and values in turn. */
export function replyHeaders(reply: Reply, bodyBytes: number): string[] {
  const headers = ['Content-Type', 'application/msgpack', 'Content-Length', String(bodyBytes)];
  if (reply.retryAfterS !== undefined) headers.push('Retry-After', String(Math.ceil(reply.retryAfterS)));
  if (reply.close === true) headers.push('Connection', 'close');
  return headers;
}

/**
 * Always a short answer in one piece: as text of one byte a character, head and body go out in one write, which takes a
 * fraction of what the framework's own way takes.
 */
export function send(response: ServerResponse, reply: Reply): void {
  const body = encode(reply.body ?? {});
  // A date would cost a timer a second and is of use to nobody here.
  response.sendDate = false;
  response.writeHead(reply.status, replyHeaders(reply, body.length));
  response.end(body.toString('latin1'), 'latin1');
}

/** The body of a request, undefined inside where it has none; nothing at all where it is not MessagePack. */
export function decodeBody(bytes: Buffer | undefined): { body: unknown } | undefined {
  try {
    return { body: bytes && bytes.length > 0 ? decode(bytes) : undefined };
  } catch {
    return undefined;
  }
}

/** Hands a request's whole body to its route. */
export function handleLean(
  route: LeanRoute,
  bytes: Buffer | undefined,
  answer: (reply: Reply) => void,
  log: Log,
): void {
  const decoded = decodeBody(bytes);
  if (!decoded) return answer(malformedReply);
  try {
    route.handle(decoded.body, answer);
  } catch (error) {
    log.error({ event: 'request-failed', path: route.path, err: error }, 'request failed');
    answer(troubleReply);
  }
}
