import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import { nextEventLoopIteration } from '../base/event-loop.js';
import { silentLog } from '../base/log.js';
import { Term } from '../leadership/term.js';
import { JobIndex } from '../placement/job-index.js';
import { QueueOrder } from '../placement/queue-order.js';
import { defaultOperatorSettings } from '../settings/operator.js';
import { jobSpec } from '../testing/job-specs.js';
import { leasedMachine, machineType } from '../testing/pools.js';
import { testSettings } from '../testing/settings.js';
import type { LeasedMachine } from '../wire/block-records.js';
import { jobRecord } from '../wire/job-records.js';
import { jobKey } from '../wire/keys.js';
import { Autoscaler, type AutoscalerPorts } from './autoscaler.js';

/** Time step in ms. Longer than the evaluation interval, which is 1.25 s with the settings of the tests. */
const evaluationMs = 1300;

/**
 * Runs an autoscaler in a term that began at time 0. A job with four tasks of two slots each waits in block
 * 1. Timers are mocked, the test sets the clock, and the cloud's machine list lags by 4 s.
 */
class AutoscalerHarness {
  readonly rented: string[] = [];
  readonly released: string[] = [];
  readonly leased = new Map<string, LeasedMachine>();
  readonly jobIndex = new JobIndex(() => 0);
  readonly autoscaler: Autoscaler;
  isStoreReachable = true;
  now = 1;
  private readonly term = new Term(1, 0);
  private readonly runPromise: Promise<void>;

  constructor(
    private readonly context: TestContext,
    overrides: Pick<AutoscalerPorts, 'isFirstTerm'>,
  ) {
    context.mock.timers.enable({ apis: ['setTimeout'] });
    const taskRanges = [{ block: 1, first: 0, count: 4 }];
    const value = jobRecord({ spec: jobSpec('req-1'), taskRanges });
    this.jobIndex.applyChanges([{ key: jobKey('req-1'), value, version: 1, deleted: false }]);
    this.autoscaler = new Autoscaler({ ...this.ports(), ...overrides });
    this.runPromise = this.autoscaler.run();
  }

  /** Sets the clock to `now`, fires the timers and runs the event loop until an evaluation has completed. */
  async evaluateAt(now: number): Promise<void> {
    this.now = now;
    for (let step = 0; step < 4; step++) {
      this.context.mock.timers.tick(evaluationMs);
      for (let turn = 0; turn < 10; turn++) await nextEventLoopIteration();
    }
  }

  async end(): Promise<void> {
    this.term.end({ kind: 'shutdown' });
    await this.runPromise;
  }

  private ports(): Omit<AutoscalerPorts, 'isFirstTerm'> {
    const types = new Map([['c8', machineType()]]);
    return {
      clock: () => this.now,
      wallClock: () => this.now,
      log: silentLog,
      settings: testSettings(),
      operator: defaultOperatorSettings,
      cloud: {
        listMachines: () => Promise.resolve([]),
        rent: (_type, _zone, _spot, count) => {
          const machines = Array.from({ length: count }, (_, i) => `m${this.rented.length + i}`);
          this.rented.push(...machines);
          return Promise.resolve({ kind: 'rented', machines });
        },
        release: (machines) => {
          this.released.push(...machines);
          return Promise.resolve(true);
        },
      },
      jobIndex: this.jobIndex,
      order: new QueueOrder([]),
      replica: { get: () => undefined },
      commits: { commit: () => Promise.resolve({ kind: 'applied', revision: 1 }) },
      term: this.term,
      machineTypes: () => types,
      isStoreReachable: () => this.isStoreReachable,
      leasedMachines: () => this.leased,
    };
  }
}

test('a pool is scaled out for waiting tasks, and the slots of these tasks are counted for their block', async (t) => {
  const harness = new AutoscalerHarness(t, { isFirstTerm: true });
  await harness.evaluateAt(1);
  assert.deepEqual(harness.rented, ['m0']);
  assert.deepEqual([...harness.autoscaler.inventory.unassigned.keys()], ['m0']);
  const waiting = [0, 1].map((block) => harness.autoscaler.waitingSlots(block, leasedMachine('m0')));
  assert.deepEqual(waiting, [0, 8]);
  await harness.end();
});

// The previous leader rents machines and then stops. The machine list that the new leader receives first may
// not include these machines yet. If the new leader relied on this list, it would rent the machines twice.
test('a leader that succeeds another leader rents nothing until the machine list lag has passed', async (t) => {
  const harness = new AutoscalerHarness(t, { isFirstTerm: false });
  await harness.evaluateAt(4000);
  assert.deepEqual(harness.rented, []);
  await harness.evaluateAt(4001);
  assert.deepEqual(harness.rented, ['m0']);
  await harness.end();
});

// If the leader cannot reach the store, its term may already have ended. Guards against rentals by such a
// leader.
test('nothing is rented while the store does not answer', async (t) => {
  const harness = new AutoscalerHarness(t, { isFirstTerm: true });
  harness.isStoreReachable = false;
  await harness.evaluateAt(1);
  assert.deepEqual(harness.rented, []);
  harness.isStoreReachable = true;
  await harness.evaluateAt(2);
  assert.deepEqual(harness.rented, ['m0']);
  await harness.end();
});

test('a machine that has been surplus for as long as it takes to boot is drained, and released after its record is marked draining', async (t) => {
  const harness = new AutoscalerHarness(t, { isFirstTerm: true });
  harness.leased.set('m9', leasedMachine('m9'));
  harness.jobIndex.applyChanges([{ key: jobKey('req-1'), value: undefined, version: 2, deleted: true }]);
  await harness.evaluateAt(1);
  await harness.evaluateAt(60_000);
  assert.deepEqual([...harness.autoscaler.inventory.toDrain], ['m9']);
  assert.deepEqual(harness.released, []);
  harness.leased.set('m9', leasedMachine('m9', { draining: true }));
  await harness.evaluateAt(60_001);
  assert.deepEqual(harness.released, ['m9']);
  await harness.end();
});
