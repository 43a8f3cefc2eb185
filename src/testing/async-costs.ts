/** Counts what a piece of work leaves to the event loop, for tests that bound the cost of hot paths. */
import { AsyncResource, createHook, executionAsyncId } from 'node:async_hooks';

/** What was created by the work, and by everything that followed from it. */
export interface AsyncCosts {
  /** Promises, those of `await` and `then` among them. */
  promises: number;
  /** Timers of any kind. */
  timers: number;
  /** Callbacks that the event loop ran: continuations of promises, timers, immediates and ticks. */
  turns: number;
}

/** Kinds of resources that are timers; `Immediate` and `TickObject` show as turns. */
const timerKinds = new Set(['Timeout', 'Timer']);

/**
 * Runs `work` and counts the asynchronous resources that descend from it until `settled` has resolved. What other code does
 * meanwhile is left out, so the figures are exact and the same on every run.
 */
export async function countAsyncCosts(
  work: () => void,
  settled: () => Promise<void> = () => Promise.resolve(),
): Promise<AsyncCosts> {
  const costs: AsyncCosts = { promises: 0, timers: 0, turns: 0 };
  const scope = new AsyncResource('COUNTED');
  const descendants = new Set([scope.asyncId()]);
  const hook = createHook({
    init(id, kind) {
      if (!descendants.has(executionAsyncId())) return;
      descendants.add(id);
      if (kind === 'PROMISE') costs.promises++;
      if (timerKinds.has(kind)) costs.timers++;
    },
    before(id) {
      if (id !== scope.asyncId() && descendants.has(id)) costs.turns++;
    },
  });
  hook.enable();
  try {
    scope.runInAsyncScope(work);
    await settled();
  } finally {
    hook.disable();
  }
  return costs;
}
