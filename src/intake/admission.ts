/** Checks of a submitted job that need nothing but the job, the settings and the machine types. */
import { type JobSpec, type MachineType, withinLimit } from '../model/types.js';
import type { Team } from '../settings/settings.js';
import { sizeOf } from '../wire/codec.js';
import { jobRecord, minTaskRangesBytes } from '../wire/job-records.js';

/** Why the record of a job would not fit into a stored value of `valueBytes`, or undefined where it does. */
export function tooLargeReason(job: JobSpec, valueBytes: number): string | undefined {
  const bytes = sizeOf(jobRecord({ spec: job, taskRanges: [] })) + minTaskRangesBytes;
  return bytes > valueBytes ? 'the description of the job is too large' : undefined;
}

/** Why a well-formed job can never run, by its team's quota and the machine types; undefined where it can. */
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
  const fitsSome = [...types].some(
    (type) =>
      (job.machineTypes === null || job.machineTypes.includes(type.name)) &&
      (job.zone === null || type.zones.includes(job.zone)) &&
      job.cpus <= type.cpus &&
      job.accelerators <= type.accelerators &&
      job.memoryGb <= type.memoryGb,
  );
  return fitsSome ? undefined : 'a task fits no allowed machine type';
}
