/** The settings of three controllers on this machine, for all that runs them against stand-ins. */

export const labels = ['keel-0', 'keel-1', 'keel-2'];
export const zones = ['a', 'b', 'b'];

/** Where controllers listen and whom they reach there, by their numbers. */
export interface Addresses {
  /** For users, workers and health checks. */
  serving: (node: number) => string;
  /** For the other controllers. */
  peers: (node: number) => string;
  /** Where one controller reaches another, which may be behind a link. */
  link: (from: number, to: number) => string;
  state: (node: number) => string;
  cloud: string;
}

/** Makes a settings file that of one of three controllers. */
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
