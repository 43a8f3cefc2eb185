/** Settings of three controllers on one machine, for test clusters and the load driver. */

export const labels = ['keel-0', 'keel-1', 'keel-2'];
export const zones = ['a', 'b', 'b'];

/**
 * Addresses at which controllers listen and at which they reach other services. The parameters are indexes of
 * controllers in `labels`.
 */
export interface Addresses {
  /** Returns the address at which a controller serves users, workers and health checks. */
  serving: (node: number) => string;
  /** Returns the address at which a controller serves the other controllers. */
  peers: (node: number) => string;
  /**
   * Returns the address at which one controller reaches another one, directly or through a link that a test
   * controls.
   */
  link: (from: number, to: number) => string;
  state: (node: number) => string;
  cloud: string;
}

/**
 * Sets the label, the zone and the addresses of one of the three controllers in the content of a settings
 * file.
 */
export function applyAddresses(file: Record<string, unknown>, node: number, addresses: Addresses): void {
  const others = labels
    .map((label, i) => ({ label, location: zones[i], address: addresses.link(node, i) }))
    .filter((_, i) => i !== node);
  Object.assign(file, {
    label: labels[node],
    location: zones[node],
    others,
    serve_on: addresses.serving(node),
    back: addresses.peers(node),
    endpoints: { state: addresses.state(node), cloud: addresses.cloud },
  });
}
