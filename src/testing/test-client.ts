/** Creates HTTP clients for stand-ins and tests. */
import { HttpClient } from '../base/http.js';
import { replyLimits } from '../base/reply-limits.js';
import { decode } from '../wire/codec.js';

/** Creates a client for the server at an address, with a maximum number of open connections. */
export function testClient(address: string, sockets: number, limits = replyLimits()): HttpClient {
  return new HttpClient(address, sockets, { limits, decode, source: 'user' });
}
