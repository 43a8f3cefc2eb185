import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import { silentLog } from '../base/log.js';
import { nextTurn } from '../base/turns.js';
import { Term } from '../leadership/term.js';
import { JobIndex } from '../placement/job-index.js';
import { QueueOrder } from '../placement/queue-order.js';
import { defaultOperatorSettings } from '../settings/operator.js';
import { jobSpec, leasedMachine, machineType } from '../testing/pools.js';
import { testSettings } from '../testing/settings.js';
import type { LeasedMachine } from '../wire/block-records.js';
import { jobRecord } from '../wire/job-records.js';
import { jobKey } from '../wire/keys.js';
import { Autoscaler, type AutoscalerPorts } from './autoscaler.js';

/** Longer than the interval between two evaluations of the test's settings, 1.25 s. */
const evaluationMs = 1300;

/**
 * An autoscaler whose term began at time 0, with a job of four tasks of two slots that waits in block 1. Timers are
 * mocked, the time is set by hand, and the list lags by 4 s.
 */
class RunningAutoscaler {
  readonly rented: string[] = [];
  readonly released: string[] = [];
  readonly leased = new Map<string, LeasedMachine>();
  readonly jobIndex = new JobIndex(() => 0);
  readonly autoscaler: Autoscaler;
  isStoreReachable = true;
  now = 1;
  private readonly term = new Term(1, 0);
  private readonly ended: Promise<void>;

  constructor(
    private readonly context: TestContext,
    change: Pick<AutoscalerPorts, 'isFirstTerm'>,
  ) {
    context.mock.timers.enable({ apis: ['setTimeout'] });
    const taskRanges = [{ block: 1, first: 0, count: 4 }];
    const value = jobRecord({ spec: jobSpec('req-1'), taskRanges });
    this.jobIndex.applyChanges([{ key: jobKey('req-1'), value, version: 1, deleted: false }]);
    this.autoscaler = new Autoscaler({ ...this.ports(), ...change });
    this.ended = this.autoscaler.run();
  }

  /** Lets everything that is due happen, and whatever follows from it. */
  async evaluateAt(now: number): Promise<void> {
    this.now = now;
    for (let step = 0; step < 4; step++) {
      this.context.mock.timers.tick(evaluationMs);
      for (let turn = 0; turn < 10; turn++) await nextTurn();
    }
  }

  async end(): Promise<void> {
    this.term.end({ kind: 'shutdown' });
    await this.ended;
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
      mirror: { get: () => undefined },
      commits: { commit: () => Promise.resolve({ kind: 'applied', revision: 1 }) },
      term: this.term,
      machineTypes: () => types,
      isStoreReachable: () => this.isStoreReachable,
      leasedMachines: () => this.leased,
    };
  }
}

test('waiting work is scaled out for, and the waiting slots of its block are known', async (t) => {
  const running = new RunningAutoscaler(t, { isFirstTerm: true });
  await running.evaluateAt(1);
  assert.deepEqual(running.rented, ['m0']);
  assert.deepEqual([...running.autoscaler.inventory.unassigned.keys()], ['m0']);
  const waiting = [0, 1].map((block) => running.autoscaler.waitingSlots(block, leasedMachine('m0')));
  assert.deepEqual(waiting, [0, 8]);
  await running.end();
});

// Guards against machines that are rented twice: what the last leader rented may not be listed yet.
test('a leader that is not the first rents nothing until the lag of the list has passed', async (t) => {
  const running = new RunningAutoscaler(t, { isFirstTerm: false });
  await running.evaluateAt(4000);
  assert.deepEqual(running.rented, []);
  await running.evaluateAt(4001);
  assert.deepEqual(running.rented, ['m0']);
  await running.end();
});

// Guards against rentals by a leader whose term may be over.
test('nothing is rented while the store does not answer', async (t) => {
  const running = new RunningAutoscaler(t, { isFirstTerm: true });
  running.isStoreReachable = false;
  await running.evaluateAt(1);
  assert.deepEqual(running.rented, []);
  running.isStoreReachable = true;
  await running.evaluateAt(2);
  assert.deepEqual(running.rented, ['m0']);
  await running.end();
});

test('a machine that nothing needs for a boot time is drained, and released once its record says so', async (t) => {
  const running = new RunningAutoscaler(t, { isFirstTerm: true });
  running.leased.set('m9', leasedMachine('m9'));
  running.jobIndex.applyChanges([{ key: jobKey('req-1'), value: undefined, version: 2, deleted: true }]);
  await running.evaluateAt(1);
  await running.evaluateAt(60_000);
  assert.deepEqual([...running.autoscaler.inventory.toDrain], ['m9']);
  assert.deepEqual(running.released, []);
  running.leased.set('m9', leasedMachine('m9', { draining: true }));
  await running.evaluateAt(60_001);
  assert.deepEqual(running.released, ['m9']);
  await running.end();
});
