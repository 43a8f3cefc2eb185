/** Routes of the HTTP server and their replies. */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { decode, encode } from '../wire/codec.js';
import { MalformedMessageError } from '../wire/message-errors.js';
import type { Log } from './log.js';
import type { OnRefusal } from './refusals.js';
import { senderOf } from './socket-address.js';

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
  /**
   * Replies to a request whose body is malformed. `refusal` is the reply by default. `body` is not decoded.
   */
  handleMalformed?: (body: Buffer, refusal: Reply) => Reply | Promise<Reply>;
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

/** Returns the reply to a request whose body is malformed. */
export function malformedReply({ reason, offset }: MalformedMessageError): Reply {
  return { status: 400, body: { error: `malformed body: ${reason} at byte ${offset}` } };
}

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

/** A request body: decoded, undefined if the request has none, or the error if it is malformed. */
export type DecodedBody = { body: unknown } | { error: MalformedMessageError };

/** Decodes a request body. */
export function decodeBody(bytes: Buffer | undefined): DecodedBody {
  try {
    return { body: bytes && bytes.length > 0 ? decode(bytes) : undefined };
  } catch (error) {
    if (error instanceof MalformedMessageError) return { error };
    throw error;
  }
}

/** A complete request for a route of the fast path. */
export interface FastPathRequest {
  route: FastPathRoute;
  bytes: Buffer | undefined;
  socket: Socket;
  answer: (reply: Reply) => void;
}

/**
 * Calls the handler of the route with the decoded body of the request. If the body is malformed, replies with
 * status 400. If the handler throws, logs the error and replies with status 503.
 */
export function handleFastPath(
  { route, bytes, socket, answer }: FastPathRequest,
  { log, onRefusal }: { log: Log; onRefusal: OnRefusal },
): void {
  try {
    const decoded = decodeBody(bytes);
    if ('error' in decoded) {
      const { error } = decoded;
      onRefusal({
        source: 'worker',
        path: route.path,
        sender: senderOf(socket),
        error,
        bytes: bytes ?? Buffer.alloc(0),
      });
      answer(malformedReply(error));
    } else route.handle(decoded.body, answer);
  } catch (error) {
    log.error(
      { event: 'request-failed', path: route.path, err: error },
      'request failed; responding with status 503',
    );
    answer(unavailableReply);
  }
}
