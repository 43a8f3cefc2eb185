/** Creates the state of jobs, machines and blocks for tests that need no scheduler. */
import type { JobSpec } from '../model/types.js';
import { BlockState } from '../placement/block-state.js';
import { type EntryLayout, JobRecorder } from '../placement/job-recorder.js';
import { JobState } from '../placement/job-state.js';
import { Ledger } from '../placement/ledger.js';
import { MachineState } from '../placement/machine-state.js';
import { machineToken, valueBytes, valueLayout } from './block-fixture.js';

/**
 * Creates a job with all tasks assigned to block 0. By default, the job has its own ledger, the record of its
 * task attempts.
 */
export function createJobState(
  spec: JobSpec,
  ledger: Ledger = new Ledger(valueBytes),
  layout: EntryLayout = valueLayout,
): JobState {
  const job = JobState.fromSpec(spec, 1, {
    block: 0,
    createRecorder: (owner) => new JobRecorder(owner, ledger, layout),
  });
  job.assignRanges([{ block: 0, first: 0, count: spec.tasks }], 1);
  return job;
}

/** Places all waiting tasks of the job on one machine. */
export function placeAll(job: JobState, machine: string): void {
  for (let task = job.nextWaitingTask(); task; task = job.nextWaitingTask()) job.placeTask(task, machine, 0);
}

/** Creates a machine of type `c8`, which has 8 CPUs. */
export function createMachineState(id: string, { zone = 'a', spot = false } = {}): MachineState {
  const machine = new MachineState(id, 0);
  machine.info = { id, type: 'c8', zone, spot };
  return machine;
}

/** Creates block 0 with the machine m1. */
export function createBlockWithMachine(clock: () => number): {
  blockState: BlockState;
  machine: MachineState;
} {
  const blockState = new BlockState({
    block: 0,
    layout: valueLayout,
    heartbeatIntervalMs: 1000,
    clock,
    teams: new Map(),
  });
  const leased = { type: 'c8', zone: 'a', spot: false, draining: false, rentedAt: 0 };
  blockState.applyBlockRecord(
    {
      owner: 'k',
      incarnation: 'b',
      quotaShares: {},
      machines: [{ id: 'm1', fencingToken: machineToken, ...leased }],
    },
    7,
  );
  return { blockState, machine: blockState.machines.get('m1') as MachineState };
}

/** Adds a job to the block and places all its tasks on the machine, as if the placements were committed. */
export function addPlacedJob(blockState: BlockState, spec: JobSpec, machine: MachineState): JobState {
  const job = createJobState(spec, blockState.ledger);
  blockState.jobs.set(job.id, job);
  placeAll(job, machine.id);
  for (const task of job.tasks.values()) {
    task.phase = 'placed';
    blockState.addTask(task, machine);
  }
  return job;
}
