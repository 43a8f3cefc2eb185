import assert from 'node:assert/strict';
import { test } from 'node:test';

import { type JobSpec, taskKey } from '../model/types.js';
import { machineType } from '../testing/cloud-standin.js';
import { jobSpec } from '../testing/job-specs.js';
import { createJobState, createMachineState } from '../testing/job-states.js';
import { testSettings } from '../testing/settings.js';
import { parseMachineTypes } from '../wire/cloud.js';
import type { JobState } from './job-state.js';
import type { MachineState } from './machine-state.js';
import { type Placement, type PlacementRound, placeTasks } from './placement-round.js';
import { TeamUsage } from './team-usage.js';

/**
 * Runs a placement round over the given machines. All of them are usable, and the round is not partial,
 * unless `overrides` specifies otherwise.
 */
function runRound(
  jobs: JobState[],
  machines: Iterable<MachineState>,
  overrides: Partial<PlacementRound> = {},
): Placement[] {
  return placeTasks({
    now: 0,
    jobs,
    machines,
    spotTypes: new Set<string>(),
    isPartial: false,
    machineTypes: new Map(parseMachineTypes({ hulls: [machineType] }).map((type) => [type.name, type])),
    teamOf: (name) => testSettings().teams.get(name),
    teamUsage: () => new TeamUsage(),
    maxTasks: 10,
    isUsable: () => true,
    ...overrides,
  });
}

// If a job that may use spot machines were placed on a regular machine as soon as all spot machines are full,
// it would fill the regular machines, although it could have waited for a spot machine.
test('jobs that may use spot machines are not placed on regular machines while there is a spot machine, even a full one', () => {
  const machines = [createMachineState('m1', { spot: true }), createMachineState('m2')];
  const job = createJobState({ ...jobSpec('req-1', { tasks: 6 }), spot: true });
  const place = (): string[] => {
    const spotTypes = new Set(machines.some((machine) => machine.info.spot) ? ['c8'] : []);
    const placements = runRound([job], machines, { spotTypes, maxTasks: 9 });
    for (const { task, machine } of placements) machine.tasks.set(`${task.job.id}/${task.index}`, task);
    return placements.map(({ machine }) => machine.id);
  };
  assert.deepEqual(place(), ['m1', 'm1', 'm1', 'm1']);
  assert.deepEqual(place(), []);
  machines.shift();
  assert.deepEqual(place(), ['m2', 'm2']);
});

// A machine without room for a task of one job may have room for a task of a smaller job. If the round
// dropped this machine from its candidates after the larger job, the smaller job would not be placed.
test('a placement round places a smaller job if a larger job before it found no room, and skips teams at their limit', () => {
  const jobs = [
    { ...jobSpec('req-1', { tasks: 1 }), cpus: 6, team: 'blue' },
    { ...jobSpec('req-2', { tasks: 1 }), cpus: 6, team: 'blue' },
    { ...jobSpec('req-3', { tasks: 1 }), cpus: 1, team: 'red' },
    { ...jobSpec('req-4', { tasks: 1 }), cpus: 1, team: 'blue' },
  ].map((spec) => createJobState(spec));
  const usage = new TeamUsage();
  usage.add('red', { cpus: 32, accelerators: 0, memoryGb: 0 });
  const placements = runRound(jobs, [createMachineState('m1')], { maxTasks: 9, teamUsage: () => usage });
  assert.deepEqual(
    placements.map(({ task }) => task.job.id),
    ['req-1', 'req-4'],
  );
});

// The round iterates over the block's machines twice: to find candidates, and to count the job's placed tasks
// by zone. If the second iteration used an iterator that the first one has consumed, it would find no placed
// tasks. The round would then place tasks of a colocated job outside the zone of the job's other tasks.
test('a placement round places tasks of colocated and spread jobs only in zones that their placed tasks allow', () => {
  const zonesOf = (overrides: Partial<JobSpec>, placedOn: string[]): string[] => {
    const job = createJobState({ ...jobSpec('req-1', { tasks: 4 }), ...overrides });
    const machines = new Map(
      ['a', 'b', ''].map((zone) => [`m-${zone}`, createMachineState(`m-${zone}`, { zone })]),
    );
    for (const id of placedOn) {
      const task = job.nextWaitingTask();
      assert.ok(task);
      job.placeTask(task, id, 0);
      machines.get(id)?.tasks.set(taskKey({ job: job.id, index: task.index }), task);
    }
    const placements = runRound([job], machines.values(), {
      teamOf: () => testSettings().teams.get('blue'),
      // No tasks are placed on a machine whose zone is unknown.
      isUsable: (machine) => machine.info.zone !== '',
    });
    return placements.map(({ machine }) => machine.info.zone);
  };
  assert.deepEqual(zonesOf({ colocated: true }, ['m-b']), ['b', 'b', 'b']);
  assert.deepEqual(zonesOf({ spread: true }, ['m-a', 'm-a']), ['b', 'b']);
  // The zone of the placed task is unknown, so the task may be in either zone.
  assert.deepEqual(zonesOf({ spread: true }, ['m-']), ['a', 'b']);
  assert.deepEqual(zonesOf({ colocated: true }, ['m-']), []);
});
