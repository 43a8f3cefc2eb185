/** Sends HTTP requests with bodies of any bytes. */
import { request } from 'node:http';
import { decode } from '../wire/codec.js';

const timeoutMs = 5000;

export interface RawResponse {
  status: number;
  /** The decoded body; undefined if it is empty. */
  body: unknown;
}

/**
 * Posts the body and returns the response.
 *
 * @param chunks the body, in the chunks in which it is sent with a pause between them
 * @throws Error if the connection fails or no response arrives within 5 s
 */
export function post(address: string, path: string, chunks: Buffer[]): Promise<RawResponse> {
  const [host, port] = address.split(':');
  const length = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
  return new Promise((resolve, reject) => {
    const outgoing = request({ host, port, path, method: 'POST', headers: { 'content-length': length } });
    outgoing.setTimeout(timeoutMs, () => outgoing.destroy(new Error(`no response within ${timeoutMs} ms`)));
    outgoing.on('error', reject);
    outgoing.on('response', (response) => {
      const received: Buffer[] = [];
      response.on('data', (chunk: Buffer) => received.push(chunk));
      response.on('error', reject);
      response.on('end', () => {
        const bytes = Buffer.concat(received);
        const body = bytes.length > 0 ? decode(bytes) : undefined;
        resolve({ status: response.statusCode ?? 0, body });
      });
    });
    void sendChunks(chunks, (chunk) => outgoing.write(chunk)).then(() => outgoing.end());
  });
}

const chunkPauseMs = 20;

async function sendChunks(chunks: Buffer[], send: (chunk: Buffer) => void): Promise<void> {
  for (const chunk of chunks) {
    send(chunk);
    await new Promise((resolve) => setTimeout(resolve, chunkPauseMs));
  }
}
