/** Chooses machines for waiting tasks. */
import { fits, isZoneConstrained, type JobSpec, type MachineType, type Resources } from '../model/types.js';
import type { Team } from '../settings/settings.js';
import type { JobState, Task } from './job-state.js';
import { type MachineState, unknownZone } from './machine-state.js';
import type { TeamUsage } from './team-usage.js';

/** The inputs of one placement round. */
export interface PlacementRound {
  /** Monotonic time in ms. */
  now: number;
  /** Jobs with waiting tasks, sorted by the order in which they are to start. */
  jobs: JobState[];
  machines: Iterable<MachineState>;
  /** Types of which the block has usable spot machines, whether these have free resources or not. */
  spotTypes: ReadonlySet<string>;
  /**
   * Whether the round covers only some of the block's machines. Jobs that are colocated or spread over zones
   * are placed only in rounds over all machines.
   */
  isPartial: boolean;
  machineTypes: ReadonlyMap<string, MachineType>;
  /**
   * Returns the team with its limits reduced to this block's share; undefined if the settings do not have the
   * team.
   */
  teamOf: (name: string) => Team | undefined;
  /** Returns the present usage of all teams; the round adds the tasks that it places. */
  teamUsage: () => TeamUsage;
  /** Maximum number of tasks to place: as many as one round of commits can record. */
  maxTasks: number;
  isUsable: (machine: MachineState) => boolean;
}

/** A machine chosen for a task. */
export interface Placement {
  task: Task;
  machine: MachineState;
}

/**
 * A machine that tasks may be placed on, with the resources that are still free at this point of the round.
 */
interface Candidate {
  readonly machine: MachineState;
  readonly free: Resources;
}

type PlaceableJob = JobState & { readonly spec: JobSpec };

/**
 * Places tasks by first-fit: each waiting task, in the order of the jobs, goes to the first machine with
 * enough free resources. The tasks are marked as assigned to their machines; the caller has to add them to
 * the machines' own lists of tasks.
 */
export function placeTasks(round: PlacementRound): Placement[] {
  const jobs = round.jobs.filter((job) => isPlaceable(job, round));
  // There is a round for nearly every heartbeat, and most rounds have nothing to place.
  if (jobs.length === 0) return [];
  const minNeed = smallestNeed(jobs.map((job) => job.need));
  // The machines are iterated more than once, and an iterator can be consumed only once.
  const machines = [...round.machines];
  const candidates = findCandidates(round, machines, minNeed);
  if (candidates.length === 0) return [];
  return new RoundInProgress(round, machines, candidates).placeAll(jobs, minNeed);
}

function isPlaceable(job: JobState, round: PlacementRound): job is PlaceableJob {
  return (
    job.spec !== undefined &&
    job.waitingCount > 0 &&
    !job.isCommittingOutcome &&
    !(round.isPartial && isJobZoneConstrained(job)) &&
    job.retryAt <= round.now &&
    job.version !== job.rejectedVersion
  );
}

/**
 * The minimum of each resource over all needs. A machine without room for this has no room for any of the
 * tasks.
 */
function smallestNeed(needs: Resources[]): Resources {
  return {
    cpus: Math.min(...needs.map((need) => need.cpus)),
    accelerators: Math.min(...needs.map((need) => need.accelerators)),
    memoryGb: Math.min(...needs.map((need) => need.memoryGb)),
  };
}

/** Usable machines with room for the smallest need, sorted by id. */
function findCandidates(round: PlacementRound, machines: MachineState[], minNeed: Resources): Candidate[] {
  const candidates: Candidate[] = [];
  for (const machine of machines) {
    if (!round.isUsable(machine)) continue;
    const type = round.machineTypes.get(machine.info.type);
    if (!type) continue;
    const free = machine.freeResources(type);
    if (fits(minNeed, free)) candidates.push({ machine, free });
  }
  return candidates.sort((a, b) => (a.machine.id < b.machine.id ? -1 : 1));
}

class RoundInProgress {
  private readonly placements: Placement[] = [];
  private readonly usage: TeamUsage;

  constructor(
    private readonly round: PlacementRound,
    private readonly machines: MachineState[],
    private candidates: Candidate[],
  ) {
    this.usage = round.teamUsage();
  }

  placeAll(jobs: PlaceableJob[], minNeed: Resources): Placement[] {
    for (const job of jobs) {
      const placedBefore = this.placements.length;
      this.placeJob(job);
      if (this.hasReachedTaskLimit) break;
      // Removing full machines keeps the round short when the queue is long and few machines have room.
      if (this.placements.length > placedBefore)
        this.candidates = this.candidates.filter(({ free }) => fits(minNeed, free));
      if (this.candidates.length === 0) break;
    }
    return this.placements;
  }

  private get hasReachedTaskLimit(): boolean {
    return this.placements.length >= this.round.maxTasks;
  }

  private placeJob(job: PlaceableJob): void {
    const team = this.round.teamOf(job.team);
    if (!this.usage.admits(team, job.need)) return;
    const tasksByZone = countTasksByZone(job, this.machines);
    const candidates = fastestStartFirst(this.candidatesFor(job.spec), job.spec.image);
    let waiting = job.waitingCount;
    let candidateIndex = 0;
    while (waiting > 0 && !this.hasReachedTaskLimit && this.usage.admits(team, job.need)) {
      // A machine that does not suit one task of the job does not suit the job's next task either: no
      // resources are freed within a round.
      candidateIndex = indexOfSuitable(candidates, candidateIndex, job, tasksByZone);
      const candidate = candidates[candidateIndex];
      const task = candidate && job.nextWaitingTask();
      if (!task) break;
      this.place(task, candidate);
      addToZone(tasksByZone, candidate.machine.info.zone, 1);
      waiting--;
    }
  }

  private candidatesFor(spec: JobSpec): Candidate[] {
    const { machineTypes, zone, spot } = spec;
    const candidates = this.candidates.filter(
      ({ machine: { info } }) =>
        (machineTypes === null || machineTypes.includes(info.type)) &&
        (zone === null || zone === info.zone) &&
        (spot || !info.spot),
    );
    // A job that may use spot machines is not placed on regular machines while the block has usable spot
    // machines, even if these are full. This keeps the regular machines free for jobs that may not use spot
    // machines.
    const hasSpot = [...this.round.spotTypes].some(
      (type) => machineTypes === null || machineTypes.includes(type),
    );
    return spot && hasSpot ? candidates.filter(({ machine }) => machine.info.spot) : candidates;
  }

  private place(task: Task, { machine, free }: Candidate): void {
    const { job } = task;
    job.placeTask(task, machine.id, this.round.now);
    free.cpus -= job.need.cpus;
    free.accelerators -= job.need.accelerators;
    free.memoryGb -= job.need.memoryGb;
    this.usage.add(job.team, job.need);
    this.placements.push({ task, machine });
  }
}

/**
 * Sorts machines by how fast they can start the job. A machine that has the image need not fetch it, and a
 * machine whose heartbeat response is held open receives the start command at once.
 */
function fastestStartFirst(candidates: Candidate[], image: string): Candidate[] {
  const candidatesByRank: Candidate[][] = [[], [], [], []];
  for (const candidate of candidates) {
    const { cachedImages, sendHeldResponse } = candidate.machine;
    candidatesByRank[(cachedImages.has(image) ? 0 : 2) + (sendHeldResponse ? 0 : 1)]?.push(candidate);
  }
  return candidatesByRank.flat();
}

/**
 * Index of the first candidate at or after `start` that suits the next task of the job; the number of
 * candidates if none does.
 */
function indexOfSuitable(
  candidates: Candidate[],
  start: number,
  job: PlaceableJob,
  tasksByZone: ReadonlyMap<string, number>,
): number {
  let index = start;
  for (; index < candidates.length; index++) {
    const candidate = candidates[index];
    if (candidate && fits(job.need, candidate.free) && suitsZone(job, candidate, tasksByZone)) break;
  }
  return index;
}

function suitsZone(
  { spec }: PlaceableJob,
  { machine }: Candidate,
  tasksByZone: ReadonlyMap<string, number>,
): boolean {
  const { zone } = machine.info;
  const maxInZone = Math.ceil(spec.tasks / 2);
  if (spec.spread && countInZone(tasksByZone, zone) >= maxInZone) return false;
  return !spec.colocated || tasksByZone.size === 0 || tasksByZone.has(zone);
}

/**
 * Whether the zones of the job's tasks depend on each other. A job that only the ledger names has no spec, so
 * it has no known constraint.
 */
function isJobZoneConstrained({ spec }: JobState): boolean {
  return spec !== undefined && isZoneConstrained(spec);
}

/**
 * Number of the job's tasks that are or may be on machines, by zone; empty for a job without zone constraint.
 */
function countTasksByZone(job: JobState, machines: MachineState[]): Map<string, number> {
  const tasksByZone = new Map<string, number>();
  if (!isJobZoneConstrained(job)) return tasksByZone;
  for (const { info, tasks, orphanedTasks } of machines) {
    let count = orphanedTasks.filter(({ task }) => task.job === job.id).length;
    for (const task of tasks.values()) if (task.job === job) count++;
    if (count > 0) addToZone(tasksByZone, info.zone, count);
  }
  return tasksByZone;
}

function countInZone(tasksByZone: ReadonlyMap<string, number>, zone: string): number {
  return (tasksByZone.get(zone) ?? 0) + (tasksByZone.get(unknownZone) ?? 0);
}

function addToZone(tasksByZone: Map<string, number>, zone: string, count: number): void {
  tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + count);
}
