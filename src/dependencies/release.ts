/** Jobs that the end of another one makes ready. */
import type { JobSpec } from '../model/types.js';
import type { JobIndex } from '../placement/job-index.js';
import type { Part } from '../wire/records.js';
import { jobKey, jobRecord } from '../wire/records.js';
import type { Condition } from '../wire/state.js';

export interface Release {
  condition: Condition;
  write: { put: string; value: unknown };
}

/**
 * The records of jobs that wait for nothing but the end of this job, with the block that has room for them: written in the
 * same transaction as the end, they need not wait until the leader hears of it. What no block has room for stays the leader's
 * to dispatch.
 */
export function releasesOf(
  id: string,
  jobIndex: Pick<JobIndex, 'dependencies' | 'openJob'>,
  place: (spec: JobSpec) => Part[],
  most: number,
): Release[] {
  const releases: Release[] = [];
  for (const dependent of jobIndex.dependencies.readyAfter(id)) {
    if (releases.length >= most) break;
    const job = jobIndex.openJob(dependent);
    if (!job || job.parts.length > 0) continue;
    const parts = place(job.spec);
    if (parts.length === 0) continue;
    const key = jobKey(dependent);
    releases.push({
      condition: { key, version: job.version },
      write: { put: key, value: jobRecord({ spec: job.spec, parts }) },
    });
  }
  return releases;
}
