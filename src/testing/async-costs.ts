/**
 * Counts the promises, timers and event loop callbacks that a function causes, so that tests can limit the
 * cost of frequently executed code.
 */
import { AsyncResource, createHook, executionAsyncId } from 'node:async_hooks';

/** Numbers of asynchronous resources created by a function and by all callbacks that descend from it. */
export interface AsyncCosts {
  /** Promises, including those that `await` and `then` create. */
  promises: number;
  /** Timers of any kind. */
  timers: number;
  /** Callbacks that the event loop ran: promise continuations, timers, immediates and `process.nextTick`. */
  callbacks: number;
}

/** Resource types that are counted as timers. `Immediate` and `TickObject` count only as `callbacks`. */
const timerKinds = new Set(['Timeout', 'Timer']);

/**
 * Runs `work`, and counts the asynchronous resources that `work` and its callbacks create until the promise
 * returned by `settled` has resolved. Resources of other code are not counted, so the counts are exact and
 * are the same in every run.
 */
export async function countAsyncCosts(
  work: () => void,
  settled: () => Promise<void> = () => Promise.resolve(),
): Promise<AsyncCosts> {
  const costs: AsyncCosts = { promises: 0, timers: 0, callbacks: 0 };
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
      if (id !== scope.asyncId() && descendants.has(id)) costs.callbacks++;
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
