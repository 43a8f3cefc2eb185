/** Addresses of sockets as the settings have them. */

/** A host and the number of a port on it. */
export interface SocketAddress {
  host: string;
  port: number;
}

/** Splits `host:port`, a form that has been checked where the settings were read. */
export function parseSocketAddress(address: string): SocketAddress {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
