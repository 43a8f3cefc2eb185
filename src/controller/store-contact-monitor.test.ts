import assert from 'node:assert/strict';
import { test } from 'node:test';

import { StoreContactMonitor } from './store-contact-monitor.js';

/** A monitor whose looks follow each other at the times that the test gives; a heartbeat interval is 1000 ms. */
class MonitorUnderTest {
  probes = 0;
  watchRestarts = 0;
  changesKnownUntil = 0;
  readonly store = {
    failing: false,
    lastRevisionSeenAt: 0,
    commit: () => {
      this.probes++;
      return Promise.resolve({ kind: 'unknown' as const });
    },
    restartWatch: () => {
      this.watchRestarts++;
    },
  };
  readonly mirror = { ready: true, version: () => 5 };
  private now = 0;
  private readonly stop = new AbortController();
  private onNextCheck: () => void = () => undefined;
  private readonly running: Promise<void>;

  private constructor() {
    const monitor = new StoreContactMonitor({
      clock: () => this.now,
      store: this.store,
      mirror: this.mirror,
      changesKnownUntil: () => this.changesKnownUntil,
      heartbeatIntervalMs: 1000,
      onChecked: () => this.onNextCheck(),
    });
    this.running = monitor.run(this.stop.signal);
  }

  /** A monitor that has looked for the first time, at time 0. */
  static async start(): Promise<MonitorUnderTest> {
    const monitor = new MonitorUnderTest();
    await monitor.lookAt(0);
    return monitor;
  }

  /** Settles after the next look, at this time. */
  async lookAt(now: number): Promise<void> {
    this.now = now;
    await new Promise<void>((resolve) => (this.onNextCheck = resolve));
  }

  async end(): Promise<void> {
    this.stop.abort();
    await this.running;
  }
}

test('the store is probed when it fails, or no answer has named its revision for two probe intervals', async () => {
  const monitor = await MonitorUnderTest.start();
  await monitor.lookAt(800);
  assert.equal(monitor.probes, 0);
  await monitor.lookAt(801);
  assert.equal(monitor.probes, 1);
  monitor.store.lastRevisionSeenAt = 801;
  await monitor.lookAt(900);
  assert.equal(monitor.probes, 1);
  monitor.store.failing = true;
  await monitor.lookAt(901);
  assert.equal(monitor.probes, 2);
  await monitor.end();
});

test('a watch that brings nothing of what other answers have seen is restarted, with a pause between two restarts', async () => {
  const monitor = await MonitorUnderTest.start();
  const lookWith = async (now: number, knownUntil: number): Promise<number> => {
    monitor.store.lastRevisionSeenAt = now;
    monitor.changesKnownUntil = knownUntil;
    await monitor.lookAt(now);
    return monitor.watchRestarts;
  };
  assert.equal(await lookWith(2000, 500), 0);
  assert.equal(await lookWith(2001, 500), 1);
  assert.equal(await lookWith(3501, 500), 1);
  monitor.mirror.ready = false;
  assert.equal(await lookWith(3502, 500), 1);
  monitor.mirror.ready = true;
  assert.equal(await lookWith(3503, 500), 2);
  await monitor.end();
});
