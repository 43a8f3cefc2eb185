/** Settings of a small deployment for tests. */
import { type Settings, parseSettings } from '../settings/settings.js';

/**
 * Returns the settings file of a small deployment as JSON. `change` is first applied to the content of the
 * file.
 */
export function settingsJson(change: (file: Record<string, unknown>) => unknown = () => undefined): string {
  const file: Record<string, unknown> = {
    label: 'keel-0',
    location: 'a',
    serve_on: '127.0.0.1:18080',
    back: '127.0.0.1:18081',
    others: [
      { label: 'keel-1', location: 'b', address: '127.0.0.1:18091' },
      { label: 'keel-2', location: 'b', address: '127.0.0.1:18101' },
    ],
    endpoints: { cloud: '127.0.0.1:18443', state: '127.0.0.1:12379' },
    settings: {
      count: 3,
      zones: ['a', 'b'],
      teams: [
        { name: 'red', cpus: 16, cpus_max: 32, gpus: 0, gpus_max: 0 },
        { name: 'blue', cpus: 16, cpus_max: 0, gpus: 0, gpus_max: 0 },
      ],
      objectives: [],
      workers: { report_s: 2.5, lease_s: 14, cancel_s: 34 },
      state: { rps: 70, write_rps: 25, value_kb: 32, txn_ops: 20 },
      cloud: { rps: 5, list_lag_s: 4 },
      quota: { cores: 0.34, mem_mb: 242, max_sockets: 1800 },
      clock_error_ms: 100,
    },
  };
  change(file);
  return JSON.stringify(file);
}

/** Returns the parsed settings of the same deployment. */
export function testSettings(change: (file: Record<string, unknown>) => unknown = () => undefined): Settings {
  return parseSettings(settingsJson(change));
}
