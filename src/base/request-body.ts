/** Reads the bodies of requests that did not arrive in one chunk with their head. */
import type { Readable } from 'node:stream';

import { MalformedMessageError } from '../wire/message-errors.js';
import { ReceiveBuffer } from './receive-buffer.js';
import { maxBodyBytes, type Reply, tooLargeReply, unavailableReply } from './replies.js';

/** A request body is not read to its end: it is larger than `maxBodyBytes`, or it was given up. */
export class UnreadBodyError extends MalformedMessageError {
  /**
   * @param reason why the body is not read
   * @param bytes the part of the body that was received
   */
  constructor(
    override readonly reason: 'too-large' | 'abandoned',
    readonly bytes: Buffer,
  ) {
    super(reason, bytes.length);
    this.name = 'UnreadBodyError';
  }

  /** The reply to the request. It closes the connection, since the rest of the body was not read. */
  get reply(): Reply {
    return this.reason === 'too-large' ? tooLargeReply : { ...unavailableReply, close: true };
  }
}

/** The client closed the connection before the request was complete. */
export class RequestAbortedError extends Error {
  constructor() {
    super('connection closed before the request was complete');
    this.name = 'RequestAbortedError';
  }
}

/** A body that has not arrived completely. */
interface UnfinishedBody {
  bytes: number;
  /** Stops reading the body. */
  abandon: () => void;
}

/**
 * Limits the memory for all unfinished bodies together. If they exceed it, the oldest ones are given up, so that
 * senders who never finish do not keep others from being served.
 */
export class UnfinishedBodies {
  /** In the order of their beginnings. */
  private readonly bodies = new Set<UnfinishedBody>();
  private totalBytes = 0;

  /** @param maxBytes the limit for the sum of the bytes that have arrived */
  constructor(private readonly maxBytes: number) {}

  /** Adds a body of which nothing has arrived. */
  add(abandon: () => void): UnfinishedBody {
    const body = { bytes: 0, abandon };
    this.bodies.add(body);
    return body;
  }

  /** Counts bytes of a body that have arrived. May give up bodies, among them this one. */
  count(body: UnfinishedBody, bytes: number): void {
    body.bytes += bytes;
    this.totalBytes += bytes;
    for (const oldest of this.bodies) {
      if (this.totalBytes <= this.maxBytes) return;
      this.remove(oldest);
      oldest.abandon();
    }
  }

  /** Removes a body that has arrived, or is not read any further. */
  remove(body: UnfinishedBody): void {
    if (this.bodies.delete(body)) this.totalBytes -= body.bytes;
  }
}

/**
 * Reads the body of a request with event listeners, which cost less than an async iterator. Stops reading as
 * soon as the body is larger than `maxBodyBytes`, or is given up.
 * @throws UnreadBodyError if the body is larger than `maxBodyBytes` or is given up, RequestAbortedError if the
 * connection is closed before the end of the body.
 */
export function readRequestBody(stream: Readable, unfinishedBodies: UnfinishedBodies): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const received = new ReceiveBuffer();
    const stop = (error: Error): void => {
      unfinishedBodies.remove(unfinished);
      stream.off('data', collect).pause();
      reject(error);
    };
    const unfinished = unfinishedBodies.add(() => stop(new UnreadBodyError('abandoned', received.bytes)));
    const collect = (chunk: Buffer): void => {
      received.append(chunk);
      if (received.length > maxBodyBytes) stop(new UnreadBodyError('too-large', received.bytes));
      else unfinishedBodies.count(unfinished, chunk.length);
    };
    stream.on('data', collect);
    stream.on('end', () => {
      unfinishedBodies.remove(unfinished);
      resolve(received.bytes);
    });
    stream.on('error', stop);
    stream.on('close', () => {
      if (!stream.readableEnded) stop(new RequestAbortedError());
    });
  });
}
