/** Waiting for the commits that decide which tasks may start. */
import { type Clock, timer } from '../base/clock.js';
import type { Task } from './job-state.js';
import type { RecordingPage } from './task-recorder.js';

/** Settles once it is known which of the tasks that are being placed may start, or when the time is up. */
export async function waitForIntentCommits(
  tasks: () => Iterable<Task>,
  withinMs: number,
  clock: Clock,
): Promise<void> {
  const until = clock() + withinMs;
  let pages = pagesOfPlacingTasks(tasks());
  if (pages.size === 0) return;
  const timeUp = timer(withinMs);
  for (; pages.size > 0 && clock() < until; pages = pagesOfPlacingTasks(tasks())) {
    // A page that cannot be committed now, since the store knows the block differently, takes longer than we wait.
    const commits = [...pages].filter((page) => page.isCommitting).map((page) => page.commit);
    await (commits.length > 0 ? Promise.race([timeUp.expired, Promise.all(commits)]) : timeUp.expired);
  }
  timeUp.cancel();
}

function pagesOfPlacingTasks(tasks: Iterable<Task>): Set<RecordingPage> {
  const placing = [...tasks].filter((task) => task.phase === 'placing');
  return new Set(placing.flatMap((task) => task.job.recorder.pageOf(task.index) ?? []));
}
