/** Sends HTTP requests with bodies of any bytes. */
import { request } from 'node:http';
import { createConnection } from 'node:net';
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

/** A request whose body was sent except for its end. */
export interface UnfinishedRequest {
  /** Sends the end of the body. Resolves with the status, or with 0 if the connection was closed. */
  finish: () => Promise<number>;
}

/** Sends a request whose body is cut into chunks of one byte, up to the end of the body. */
export async function postInBytes(address: string, path: string, body: Buffer): Promise<UnfinishedRequest> {
  const [host, port] = address.split(':');
  const socket = createConnection({ host, port: Number(port) });
  const status = new Promise<number>((resolve) => {
    socket.on('error', () => resolve(0)).on('close', () => resolve(0));
    socket.on('data', (data: Buffer) => {
      resolve(Number(/^HTTP\/1.1 (\d+)/.exec(data.toString('latin1'))?.[1] ?? 0));
      socket.destroy();
    });
  });
  const chunks = Array.from(body, (byte) => Buffer.from([0x31, 0x0d, 0x0a, byte, 0x0d, 0x0a]));
  const head = `POST ${path} HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n`;
  const request = Buffer.concat([Buffer.from(head), ...chunks]);
  await new Promise((resolve) => {
    socket.on('close', resolve);
    socket.write(request, resolve);
  });
  const finish = (): Promise<number> => {
    socket.write('0\r\n\r\n');
    return status;
  };
  return { finish };
}
