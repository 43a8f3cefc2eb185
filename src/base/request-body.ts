/** Reads the bodies of requests that did not arrive in one chunk with their head. */
import type { Readable } from 'node:stream';

import { MalformedMessageError } from '../wire/message-errors.js';
import { ReceiveBuffer } from './receive-buffer.js';
import { maxBodyBytes } from './replies.js';

/** A request body is larger than `maxBodyBytes`. */
export class BodyTooLargeError extends MalformedMessageError {
  /** @param bytes the part of the body that was received */
  constructor(readonly bytes: Buffer) {
    super('too-large', maxBodyBytes);
    this.name = 'BodyTooLargeError';
  }
}

/** The client closed the connection before the request was complete. */
export class RequestAbortedError extends Error {
  constructor() {
    super('connection closed before the request was complete');
    this.name = 'RequestAbortedError';
  }
}

/**
 * Reads the body of a request with event listeners, which cost less than an async iterator. Stops reading as
 * soon as the body is larger than `maxBodyBytes`.
 * @throws BodyTooLargeError if the body is larger than `maxBodyBytes`, RequestAbortedError if the connection
 * is closed before the end of the body.
 */
export function readRequestBody(stream: Readable): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const received = new ReceiveBuffer();
    stream.on('data', (chunk: Buffer) => {
      received.append(chunk);
      if (received.length <= maxBodyBytes) return;
      stream.pause();
      reject(new BodyTooLargeError(received.bytes));
    });
    stream.on('end', () => resolve(received.bytes));
    stream.on('error', reject);
    stream.on('close', () => {
      if (!stream.readableEnded) reject(new RequestAbortedError());
    });
  });
}
