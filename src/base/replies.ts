/** Routes of the HTTP server, and the replies that they give. */
import type { ServerResponse } from 'node:http';

import { decode, encode } from '../wire/codec.js';
import type { Log } from './log.js';

/** What a route answers. */
export interface Reply {
  status: number;
  /** Encoded as MessagePack; an empty map where it is left out. */
  body?: unknown;
  /** Sent as `Retry-After`, in whole seconds rounded up. */
  retryAfterS?: number;
  /** Closes the connection after this reply: the client is better off with another controller. */
  close?: boolean;
}

/** A route of users, served by Koa. */
export interface Route {
  method: 'GET' | 'POST';
  path: RegExp;
  /** `body` is undefined where the request has none; `params` are the groups of `path`. */
  handle: (body: unknown, params: string[]) => Reply | Promise<Reply>;
}

/**
 * A route that is served without Koa, for the most frequent requests: heartbeats and health checks. It answers through a
 * callback instead of a promise, so that a request is usually finished within the turn that brought it.
 */
export interface FastPathRoute {
  method: 'GET' | 'POST';
  /** Compared with the whole path of the request. */
  path: string;
  /** Its requests are many, and may wait for a later turn of the event loop under overload. */
  queued?: boolean;
  /** Calls `answer` once, now or later. */
  handle: (body: unknown, answer: (reply: Reply) => void) => void;
}

/** Largest body of a request, in bytes. */
export const maxBodyBytes = 64 * 1024;

/** To a request whose body is larger than `maxBodyBytes`. */
export const tooLargeReply: Reply = { status: 413, body: { error: 'body over 64 KiB' }, close: true };

/** To a request whose body cannot be decoded. */
export const malformedReply: Reply = { status: 400, body: { error: 'not MessagePack' } };

/** To a request whose route has failed. */
export const unavailableReply: Reply = { status: 503, body: { error: 'trouble' }, retryAfterS: 1 };

/** The headers of a reply, names and values in turn. */
export function replyHeaders(reply: Reply, bodyBytes: number): string[] {
  const headers = ['Content-Type', 'application/msgpack', 'Content-Length', String(bodyBytes)];
  if (reply.retryAfterS !== undefined) headers.push('Retry-After', String(Math.ceil(reply.retryAfterS)));
  if (reply.close === true) headers.push('Connection', 'close');
  return headers;
}

/**
 * Sends the reply as the whole response. As text of one byte a character, head and body go out in one write, which takes
 * a fraction of the time that the framework takes.
 */
export function send(response: ServerResponse, reply: Reply): void {
  const body = encode(reply.body ?? {});
  // A date would cost a timer a second, and no client reads it.
  response.sendDate = false;
  response.writeHead(reply.status, replyHeaders(reply, body.length));
  response.end(body.toString('latin1'), 'latin1');
}

/** Decodes a body: the result holds undefined for an empty one, and is undefined itself where it is not MessagePack. */
export function decodeBody(bytes: Buffer | undefined): { body: unknown } | undefined {
  try {
    return { body: bytes && bytes.length > 0 ? decode(bytes) : undefined };
  } catch {
    return undefined;
  }
}

/** Hands a whole request to its route. A route that throws is logged, and answered with status 503. */
export function handleFastPath(
  route: FastPathRoute,
  bytes: Buffer | undefined,
  answer: (reply: Reply) => void,
  log: Log,
): void {
  const decoded = decodeBody(bytes);
  if (!decoded) {
    answer(malformedReply);
    return;
  }
  try {
    route.handle(decoded.body, answer);
  } catch (error) {
    log.error({ event: 'request-failed', path: route.path, err: error }, 'request failed');
    answer(unavailableReply);
  }
}
