/**
 * Waits for commits of intents. An intent is a task attempt that must be committed to the ledger before its
 * start command is sent to the machine.
 */
import { type Clock, timer } from '../base/clock.js';
import type { Task } from './job-state.js';
import type { RecordingPage } from './task-recorder.js';

/**
 * Waits until none of the tasks has an uncommitted intent, but not longer than `maxWaitMs` milliseconds.
 *
 * @param tasks returns the tasks to wait for; called again after each commit
 * @param maxWaitMs maximum wait in ms
 * @param clock returns monotonic time in ms
 */
export async function waitForIntentCommits(
  tasks: () => Iterable<Task>,
  maxWaitMs: number,
  clock: Clock,
): Promise<void> {
  const deadline = clock() + maxWaitMs;
  let pages = pagesOfPlacingTasks(tasks());
  if (pages.size === 0) return;
  const timeout = timer(maxWaitMs);
  for (; pages.size > 0 && clock() < deadline; pages = pagesOfPlacingTasks(tasks())) {
    // A ledger page with uncommitted intents that is not being committed cannot be committed now, for example
    // because the store contains a newer version of the block's record than this controller has read.
    // Recovering from this takes longer than the maximum wait. So if no page is being committed, wait for the
    // time-out.
    const commits = [...pages].filter((page) => page.isCommitting).map((page) => page.commit);
    await (commits.length > 0 ? Promise.race([timeout.expired, Promise.all(commits)]) : timeout.expired);
  }
  timeout.cancel();
}

function pagesOfPlacingTasks(tasks: Iterable<Task>): Set<RecordingPage> {
  const placingTasks = [...tasks].filter((task) => task.phase === 'placing');
  return new Set(placingTasks.flatMap((task) => task.job.recorder.pageOf(task.index) ?? []));
}
