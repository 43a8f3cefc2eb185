/** Decodes the statuses that a peer sends over a connection. */
import { Transform, type TransformCallback } from 'node:stream';

import { ReceiveBuffer } from '../base/receive-buffer.js';
import { decode } from '../wire/codec.js';
import { MalformedMessageError } from '../wire/message-errors.js';
import { type DecodeLimits, MessageScanner } from '../wire/message-scanner.js';
import { parsePeerStatus } from '../wire/peer-status.js';

/**
 * Reads bytes and emits the statuses in them. Ignores messages that are no statuses, because a later version
 * may send other messages. Fails with a `MalformedMessageError` if a message is malformed or exceeds a limit.
 */
export class StatusDecoder extends Transform {
  private readonly scanner = new MessageScanner();
  private readonly buffer = new ReceiveBuffer();

  constructor(private readonly limits: DecodeLimits) {
    super({ readableObjectMode: true });
  }

  /** The bytes of the message that is not complete, or that was refused. */
  get pendingBytes(): Buffer {
    return this.buffer.bytes;
  }

  /** Implements the transformation of the stream. */
  override _transform(chunk: Buffer, _encoding: BufferEncoding, done: TransformCallback): void {
    try {
      this.buffer.append(chunk);
      this.emitStatuses();
      done();
    } catch (error) {
      if (!(error instanceof MalformedMessageError)) throw error;
      done(error);
    }
  }

  private emitStatuses(): void {
    let messageStart = 0;
    const { bytes } = this.buffer;
    while (messageStart < bytes.length) {
      const length = this.scanner.scan(bytes.subarray(messageStart), this.limits);
      if (length === undefined) break;
      const message = bytes.subarray(messageStart, messageStart + length);
      const status = parsePeerStatus(decode(message, this.limits));
      if (status !== undefined) this.push(status);
      messageStart += length;
    }
    this.buffer.discard(messageStart);
  }
}
