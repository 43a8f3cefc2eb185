/** Creates specifications of jobs for tests. */
import type { JobSpec } from '../model/types.js';

/**
 * Creates a job of team `red`, which has a quota. Each of its four tasks needs 2 CPUs, i.e. two slots of a
 * machine with 8 CPUs. `change` replaces any of these properties.
 */
export function jobSpec(id: string, change: Partial<JobSpec> = {}): JobSpec {
  return {
    id,
    jobClass: 'x',
    team: 'red',
    urgency: 'standard',
    tasks: 4,
    cpus: 2,
    accelerators: 0,
    memoryGb: 2,
    image: 'i',
    imageGb: 1,
    machineTypes: null,
    zone: null,
    colocated: false,
    spread: false,
    spot: false,
    estimatedRunS: 10,
    checkpointIntervalS: 0,
    checkpointSaveS: 0,
    deadlineS: null,
    acceptedAt: 0,
    ...change,
  };
}
