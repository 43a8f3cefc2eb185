/** Routes of the HTTP server and their replies. */
import type { ServerResponse } from 'node:http';

import { decode, encode } from '../wire/codec.js';
import type { Log } from './log.js';

/** The response of a route. */
export interface Reply {
  status: number;
  /** Sent as MessagePack. The default is an empty map. */
  body?: unknown;
  /** Sent as `Retry-After`, rounded up to whole seconds. */
  retryAfterS?: number;
  /**
   * Whether the server closes the connection after this reply, for example because another controller can
   * serve the client better.
   */
  close?: boolean;
}

/** A route for users, served by Koa. */
export interface Route {
  method: 'GET' | 'POST';
  path: RegExp;
  /** `body` is undefined if the request has none. `params` are the capture groups of `path`. */
  handle: (body: unknown, params: string[]) => Reply | Promise<Reply>;
}

/**
 * A route for heartbeats or health checks, the most frequent requests, which are served without Koa. The
 * handler replies through a callback instead of a promise, so that a request is usually finished in the
 * event-loop iteration that received it.
 */
export interface FastPathRoute {
  method: 'GET' | 'POST';
  /** The path of the request, which has to match in full. */
  path: string;
  /**
   * Whether requests of this route may wait for a later event-loop iteration under overload. Set for a route
   * with numerous requests.
   */
  queued?: boolean;
  /** Handles a request. Calls `answer` once, during the call or later. */
  handle: (body: unknown, answer: (reply: Reply) => void) => void;
}

/** The largest accepted request body, in bytes. */
export const maxBodyBytes = 64 * 1024;

/** Reply to a request whose body is larger than `maxBodyBytes`. */
export const tooLargeReply: Reply = { status: 413, body: { error: 'body over 64 KiB' }, close: true };

/** Reply to a request whose body is not valid MessagePack. */
export const malformedReply: Reply = { status: 400, body: { error: 'not MessagePack' } };

/** Reply to a request whose route threw an error. */
export const unavailableReply: Reply = { status: 503, body: { error: 'trouble' }, retryAfterS: 1 };

/** Returns the headers of a reply as a flat list of alternating names and values. */
export function replyHeaders(reply: Reply, bodyBytes: number): string[] {
  const headers = ['Content-Type', 'application/msgpack', 'Content-Length', String(bodyBytes)];
  if (reply.retryAfterS !== undefined) headers.push('Retry-After', String(Math.ceil(reply.retryAfterS)));
  if (reply.close === true) headers.push('Connection', 'close');
  return headers;
}

/**
 * Sends the reply as the complete response. The body is encoded as a string with one character per byte, so
 * that head and body are sent in one write. This takes a fraction of the time that Koa needs.
 */
export function send(response: ServerResponse, reply: Reply): void {
  const body = encode(reply.body ?? {});
  // The `Date` header would cost one timer per second, and no client reads it.
  response.sendDate = false;
  response.writeHead(reply.status, replyHeaders(reply, body.length));
  response.end(body.toString('latin1'), 'latin1');
}

/**
 * Decodes a request body. For an empty body, `body` of the result is undefined. If the bytes are not valid
 * MessagePack, the result itself is undefined.
 */
export function decodeBody(bytes: Buffer | undefined): { body: unknown } | undefined {
  try {
    return { body: bytes && bytes.length > 0 ? decode(bytes) : undefined };
  } catch {
    return undefined;
  }
}

/**
 * Calls the handler of the route with the decoded body of a complete request. If the handler throws, logs the
 * error and replies with status 503.
 */
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
    log.error(
      { event: 'request-failed', path: route.path, err: error },
      'request failed; responding with status 503',
    );
    answer(unavailableReply);
  }
}
