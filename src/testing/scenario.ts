/** Registers fault scenarios as tests. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster, type ClusterOptions } from './cluster.js';

/**
 * Registers a test that runs a combination of faults on a new cluster. The test fails if a rule of the
 * protocol has been violated by the end of `run`.
 */
export function scenario(
  name: string,
  options: ClusterOptions,
  run: (cluster: Cluster) => Promise<void>,
): void {
  test(name, async () => {
    const cluster = new Cluster(options);
    try {
      await cluster.start();
      await run(cluster);
      assert.deepEqual(cluster.violations(), []);
    } finally {
      cluster.stop();
    }
  });
}
