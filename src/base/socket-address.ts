/** Socket addresses in the form of the settings. */
import type { Socket } from 'node:net';

/** A host and a port number. */
export interface SocketAddress {
  host: string;
  port: number;
}

/** Splits `host:port`. Does not check the form, because the parser of the settings has already checked it. */
export function parseSocketAddress(address: string): SocketAddress {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Returns the address of the other side of a connection; undefined if the connection is closed. */
export function senderOf({ remoteAddress, remotePort }: Socket): string | undefined {
  return remoteAddress === undefined ? undefined : `${remoteAddress}:${remotePort ?? ''}`;
}
