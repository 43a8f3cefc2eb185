/** Socket addresses in the form of the settings. */

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
