/** Replaces text of a message that is not valid UTF-8. */
import type { InvalidText } from './message-scanner.js';

const textLead = 0xdb;
const lengthFieldBytes = 4;

/**
 * Returns the message with each of these texts replaced by valid UTF-8, which contains replacement characters
 * in place of the invalid bytes. `texts` are the invalid texts of the message in the order of their positions.
 */
export function replaceInvalidText(message: Buffer, texts: readonly InvalidText[]): Buffer {
  const parts: Buffer[] = [];
  let copiedUntil = 0;
  for (const { headerStart, start, end } of texts) {
    const text = Buffer.from(message.toString('utf8', start, end));
    parts.push(message.subarray(copiedUntil, headerStart), textHeader(text.length), text);
    copiedUntil = end;
  }
  parts.push(message.subarray(copiedUntil));
  return Buffer.concat(parts);
}

function textHeader(length: number): Buffer {
  const header = Buffer.alloc(1 + lengthFieldBytes);
  header.writeUInt8(textLead);
  header.writeUInt32BE(length, 1);
  return header;
}
