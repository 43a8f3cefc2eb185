import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster, type ClusterOptions } from './cluster.js';

/** One meeting of troubles, played with a cluster of its own; in the end no rule may be broken. */
export function scenario(
  name: string,
  options: ClusterOptions,
  play: (cluster: Cluster) => Promise<void>,
): void {
  test(name, async () => {
    const cluster = new Cluster(options);
    try {
      await cluster.start();
      await play(cluster);
      assert.deepEqual(cluster.violations(), []);
    } finally {
      cluster.stop();
    }
  });
}
