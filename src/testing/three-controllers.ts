/** Settings of three controllers on one machine, for test clusters and the load driver. */

export const labels = ['keel-0', 'keel-1', 'keel-2'];
export const zones = ['a', 'b', 'b'];

/**
 * Addresses at which controllers listen and reach other services. Controllers are given by their index in
 * `labels`.
 */
export interface Addresses {
  /** Where a controller serves users, workers and health checks. */
  serving: (node: number) => string;
  /** Where a controller serves the other controllers. */
  peers: (node: number) => string;
  /** Where one controller reaches another one, directly or through a link that a test controls. */
  link: (from: number, to: number) => string;
  state: (node: number) => string;
  cloud: string;
}

/** Changes a settings file to that of one of the three controllers. */
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
