/** Submissions of users for tests, and the jobs that they request. */
import { machineType } from './cloud-standin.js';
import type { JobRequest } from './history.js';

/** The body of a submission, in the form of the users' API. */
export type Submission = Record<string, unknown>;

/** Returns the body of a submission for team `red`, in the form of the users' API. */
export function submission(id: string, tasks: number, change: Submission = {}): Submission {
  return {
    id,
    jobclass: 'batch',
    owner: 'red',
    shape: 'sweep',
    urgency: 'standard',
    pieces: tasks,
    cpus: 2.5,
    accelerators: 0,
    memoryGb: 4.5,
    bundle: 'img-1',
    pullGb: 0.5,
    hulls: null,
    berth: null,
    together: false,
    apart: false,
    loaners: false,
    expectS: 1.5,
    savepointS: 0,
    stowS: 0,
    dueS: null,
    ...change,
  };
}

const submissionFields = Object.keys(submission('', 0));

/**
 * Returns the job that a submission requests, or undefined if the submission lacks a field or requests more
 * CPUs than a machine has.
 */
export function requestOf(job: Submission): JobRequest | undefined {
  const isComplete = submissionFields.every((field) => field in job);
  if (!isComplete || Number(job['cpus']) > machineType.cpus) return undefined;
  return {
    team: String(job['owner']),
    tasks: Number(job['pieces']),
    cpus: Number(job['cpus']),
    machineTypes: job['hulls'] as string[] | null,
    zone: job['berth'] as string | null,
    colocated: job['together'] === true,
    spread: job['apart'] === true,
    spot: job['loaners'] === true,
    dependencies: (job['moorings'] ?? []) as string[],
  };
}
