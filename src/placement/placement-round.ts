/**
 * Chooses machines for waiting tasks in a placement round, i.e. one pass over the waiting jobs and the usable
 * machines of a block. A block is a set of machines that is leased to one controller.
 */
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
  /** All machines of the block, or some of them if `isPartial` is true. */
  machines: Iterable<MachineState>;
  /** Machine types of the block's usable spot machines, including spot machines without free resources. */
  spotTypes: ReadonlySet<string>;
  /**
   * Whether `machines` contains only some of the block's machines. Colocated jobs and jobs that are spread
   * over zones are placed only in rounds over all machines.
   */
  isPartial: boolean;
  /** The machine types of the cloud, by name. */
  machineTypes: ReadonlyMap<string, MachineType>;
  /**
   * Returns the team with its limits reduced to this block's share. Undefined if the team is not in the
   * settings.
   */
  teamOf: (name: string) => Team | undefined;
  /** Returns the current usage of all teams. The round adds the tasks it places to the returned object. */
  teamUsage: () => TeamUsage;
  /** Maximum number of tasks to place. It bounds the number of commits that record the placed tasks. */
  maxTasks: number;
  /** Whether tasks may be placed on the machine. */
  isUsable: (machine: MachineState) => boolean;
}

/** A task with the machine that the round has chosen for it. */
export interface Placement {
  task: Task;
  machine: MachineState;
}

/**
 * A machine on which the round may place tasks, with its free resources after the placements made so far.
 */
interface Candidate {
  readonly machine: MachineState;
  readonly free: Resources;
}

type PlaceableJob = JobState & { readonly spec: JobSpec };

/**
 * Places waiting tasks by first-fit: in the order of the jobs, each task is placed on the first suitable
 * machine with enough free resources. The tasks are marked as assigned to their machines. The caller has to
 * add each returned task to `MachineState.tasks` of its machine.
 */
export function placeTasks(round: PlacementRound): Placement[] {
  const jobs = round.jobs.filter((job) => isPlaceable(job, round));
  // A round runs for nearly every heartbeat, and in most rounds no job can be placed.
  if (jobs.length === 0) return [];
  const minNeed = smallestNeed(jobs.map((job) => job.need));
  // `round.machines` may be an iterator, which can be consumed only once, but the machines are needed again.
  const machines = [...round.machines];
  const candidates = findCandidates(round, machines, minNeed);
  if (candidates.length === 0) return [];
  return new TaskPlacer(round, machines, candidates).placeAll(jobs, minNeed);
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
 * Returns the minimum of each resource over all needs. A machine without room for this minimum has no room
 * for any of the tasks.
 */
function smallestNeed(needs: Resources[]): Resources {
  return {
    cpus: Math.min(...needs.map((need) => need.cpus)),
    accelerators: Math.min(...needs.map((need) => need.accelerators)),
    memoryGb: Math.min(...needs.map((need) => need.memoryGb)),
  };
}

/** Returns the usable machines with free resources of at least `minNeed`, sorted by id. */
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

class TaskPlacer {
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
      // Removing full machines keeps the round short if the queue is long and few machines have room.
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
      // If a machine does not suit one task of the job, it does not suit the job's next task either, because
      // no resources are freed during a round. So the search continues from the previous index.
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
    // If the block has usable spot machines that suit the job, a job that may use spot machines is not placed
    // on regular machines, even if the spot machines are full. This keeps the regular machines free for jobs
    // that may not use spot machines.
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
 * Sorts machines by how soon they can start a task with this image. Machines that have the image in their
 * cache come first, because they need not fetch it. Of two machines that are equal in this respect, a machine
 * whose heartbeat response is held open comes first, because it can receive the start command immediately.
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
 * Returns the index of the first candidate at or after `start` that suits the next task of the job. Returns
 * the number of candidates if no such candidate exists.
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

/**
 * Whether the zone of the candidate is allowed for the next task of the job. At most half of the tasks of a
 * spread job, rounded up, may be in one zone. All tasks of a colocated job must be in the same zone.
 */
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
 * Whether the zones of the job's tasks constrain each other, because the job is colocated or spread over
 * zones. A job that appears only in the ledger has no spec, so no constraint is known.
 */
function isJobZoneConstrained({ spec }: JobState): boolean {
  return spec !== undefined && isZoneConstrained(spec);
}

/**
 * Counts the job's tasks that are, may be or are about to be on the machines, by zone. Returns an empty map
 * if the job has no zone constraint.
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

/** Counts the job's tasks that are or may be in the zone, including tasks on machines of unknown zone. */
function countInZone(tasksByZone: ReadonlyMap<string, number>, zone: string): number {
  return (tasksByZone.get(zone) ?? 0) + (tasksByZone.get(unknownZone) ?? 0);
}

function addToZone(tasksByZone: Map<string, number>, zone: string, count: number): void {
  tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + count);
}
