import assert from 'node:assert/strict';
import { test } from 'node:test';

import { StoreContactMonitor } from './store-contact-monitor.js';

/** A monitor that checks the store at the times set by the test. The heartbeat interval is 1000 ms. */
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
  readonly replica = { ready: true, version: () => 5 };
  private now = 0;
  private readonly stop = new AbortController();
  private onNextCheck: () => void = () => undefined;
  private readonly running: Promise<void>;

  private constructor() {
    const monitor = new StoreContactMonitor({
      clock: () => this.now,
      store: this.store,
      replica: this.replica,
      changesKnownUntil: () => this.changesKnownUntil,
      heartbeatIntervalMs: 1000,
      onChecked: () => this.onNextCheck(),
    });
    this.running = monitor.run(this.stop.signal);
  }

  /** Returns a monitor that has completed its first check, at time 0. */
  static async start(): Promise<MonitorUnderTest> {
    const monitor = new MonitorUnderTest();
    await monitor.checkAt(0);
    return monitor;
  }

  /** Sets the clock to `now`, in ms, and resolves after the next check of the store. */
  async checkAt(now: number): Promise<void> {
    this.now = now;
    await new Promise<void>((resolve) => (this.onNextCheck = resolve));
  }

  async end(): Promise<void> {
    this.stop.abort();
    await this.running;
  }
}

test('the store is probed while it is failing, or when no response has contained its revision for two probe intervals', async () => {
  const monitor = await MonitorUnderTest.start();
  await monitor.checkAt(800);
  assert.equal(monitor.probes, 0);
  await monitor.checkAt(801);
  assert.equal(monitor.probes, 1);
  monitor.store.lastRevisionSeenAt = 801;
  await monitor.checkAt(900);
  assert.equal(monitor.probes, 1);
  monitor.store.failing = true;
  await monitor.checkAt(901);
  assert.equal(monitor.probes, 2);
  await monitor.end();
});

test('a watch that lags too far behind other responses is restarted, but not again until the maximum lag has passed', async () => {
  const monitor = await MonitorUnderTest.start();
  const checkWith = async (now: number, knownUntil: number): Promise<number> => {
    monitor.store.lastRevisionSeenAt = now;
    monitor.changesKnownUntil = knownUntil;
    await monitor.checkAt(now);
    return monitor.watchRestarts;
  };
  assert.equal(await checkWith(2000, 500), 0);
  assert.equal(await checkWith(2001, 500), 1);
  assert.equal(await checkWith(3501, 500), 1);
  monitor.replica.ready = false;
  assert.equal(await checkWith(3502, 500), 1);
  monitor.replica.ready = true;
  assert.equal(await checkWith(3503, 500), 2);
  await monitor.end();
});
