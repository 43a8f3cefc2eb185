/** Checks a submitted job against the settings and the machine types. Does not access the store. */
import { type JobSpec, type MachineType, withinLimit } from '../model/types.js';
import type { Team } from '../settings/settings.js';
import { jsonSizeBytes } from '../wire/codec.js';
import { jobRecord, reservedTaskRangesBytes } from '../wire/job-records.js';

/**
 * Returns the reason for refusing a job whose record would exceed `valueBytes`, the store's limit on the size
 * of a value; undefined if the record fits.
 */
export function tooLargeReason(job: JobSpec, valueBytes: number): string | undefined {
  const bytes = jsonSizeBytes(jobRecord({ spec: job, taskRanges: [] })) + reservedTaskRangesBytes;
  return bytes > valueBytes ? 'the description of the job is too large' : undefined;
}

/**
 * Returns the reason why a well-formed job can never run with the limits of its team and the machine types;
 * undefined if the job can run.
 */
export function impossibleReason(
  job: JobSpec,
  types: Iterable<MachineType>,
  teams: ReadonlyMap<string, Team>,
): string | undefined {
  const team = teams.get(job.team);
  if (!team) return 'unknown team';
  if (!withinLimit(0, job.cpus, team.cpusMax)) return "one task needs more CPUs than the team's limit";
  if (!withinLimit(0, job.accelerators, team.acceleratorsMax)) {
    return "one task needs more accelerators than the team's limit";
  }
  const fitsSomeType = [...types].some(
    (type) =>
      (job.machineTypes === null || job.machineTypes.includes(type.name)) &&
      (job.zone === null || type.zones.includes(job.zone)) &&
      job.cpus <= type.cpus &&
      job.accelerators <= type.accelerators &&
      job.memoryGb <= type.memoryGb,
  );
  return fitsSomeType ? undefined : 'a task fits no allowed machine type';
}
