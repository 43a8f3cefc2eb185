/** Waits for the commits that decide which tasks may start. */
import { type Clock, timer } from '../base/clock.js';
import type { Task } from './job-state.js';
import type { RecordingPage } from './task-recorder.js';

/**
 * Settles once the commits under way have decided which of the tasks being placed may start, or after
 * `withinMs`.
 */
export async function waitForIntentCommits(
  tasks: () => Iterable<Task>,
  withinMs: number,
  clock: Clock,
): Promise<void> {
  const deadline = clock() + withinMs;
  let pages = pagesOfPlacingTasks(tasks());
  if (pages.size === 0) return;
  const timeUp = timer(withinMs);
  for (; pages.size > 0 && clock() < deadline; pages = pagesOfPlacingTasks(tasks())) {
    // A page that is not being committed cannot be committed now, because the store has another version of
    // the block's record. Resolving that takes longer than this function may wait, so it waits for the
    // time-out.
    const commits = [...pages].filter((page) => page.isCommitting).map((page) => page.commit);
    await (commits.length > 0 ? Promise.race([timeUp.expired, Promise.all(commits)]) : timeUp.expired);
  }
  timeUp.cancel();
}

function pagesOfPlacingTasks(tasks: Iterable<Task>): Set<RecordingPage> {
  const placing = [...tasks].filter((task) => task.phase === 'placing');
  return new Set(placing.flatMap((task) => task.job.recorder.pageOf(task.index) ?? []));
}
