/** Chooses machines for waiting tasks. */
import { fits, isZoneConstrained, type JobSpec, type MachineType, type Resources } from '../model/types.js';
import type { Team } from '../settings/settings.js';
import type { JobState, Task } from './job-state.js';
import { type MachineState, unknownZone } from './machine-state.js';
import type { TeamUsage } from './team-usage.js';

/** What one round starts from. */
export interface PlacementRound {
  /** Steady time in ms. */
  now: number;
  /** Jobs with waiting tasks, those first that are to start first. */
  jobs: JobState[];
  machines: Iterable<MachineState>;
  /** Types of which the block has usable spot machines, with room or without. */
  spotTypes: ReadonlySet<string>;
  /** A round over some of the block's machines only: jobs whose tasks depend on each other's zones wait for a whole one. */
  isPartial: boolean;
  machineTypes: ReadonlyMap<string, MachineType>;
  /** The team with what this block may use of its limits. */
  teamOf: (name: string) => Team | undefined;
  /** What teams use at present; the round adds what it places. */
  teamUsage: () => TeamUsage;
  /** How many tasks may be placed at most: what one round of commits can carry. */
  maxTasks: number;
  isUsable: (machine: MachineState) => boolean;
}

/** A machine chosen for a task. */
export interface Placement {
  task: Task;
  machine: MachineState;
}

/** A machine that tasks may be placed on, and what is left of it at this point of the round. */
interface Candidate {
  readonly machine: MachineState;
  readonly free: Resources;
}

type PlaceableJob = JobState & { readonly spec: JobSpec };

/**
 * First-fit: each waiting task, in the order of the jobs, goes to the first machine that has room for it. The tasks are marked
 * as placed on their machines; the caller has to count them among those of the machines.
 */
export function placeTasks(round: PlacementRound): Placement[] {
  const jobs = round.jobs.filter((job) => isPlaceable(job, round));
  // Most rounds have nothing to place, and there is one for nearly every heartbeat.
  if (jobs.length === 0) return [];
  const minNeed = smallestNeed(jobs.map((job) => job.need));
  // They are walked more than once, and an iterator is spent after the first time.
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

/** A machine without room for this has none for any of them. */
function smallestNeed(needs: Resources[]): Resources {
  return {
    cpus: Math.min(...needs.map((need) => need.cpus)),
    accelerators: Math.min(...needs.map((need) => need.accelerators)),
    memoryGb: Math.min(...needs.map((need) => need.memoryGb)),
  };
}

/** Usable machines with room for the smallest task, by name. */
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
      if (this.isFull) break;
      // With what is full left out, a long queue beside little room is soon gone through.
      if (this.placements.length > placedBefore)
        this.candidates = this.candidates.filter(({ free }) => fits(minNeed, free));
      if (this.candidates.length === 0) break;
    }
    return this.placements;
  }

  private get isFull(): boolean {
    return this.placements.length >= this.round.maxTasks;
  }

  private placeJob(job: PlaceableJob): void {
    const team = this.round.teamOf(job.team);
    if (!this.usage.admits(team, job.need)) return;
    const tasksByZone = countTasksByZone(job, this.machines);
    const candidates = fastestStartFirst(this.candidatesFor(job.spec), job.spec.image);
    let waiting = job.waitingCount;
    let next = 0;
    while (waiting > 0 && !this.isFull && this.usage.admits(team, job.need)) {
      // What does not suit one task of the job does not suit its next: nothing frees up within a round.
      next = indexOfSuitable(candidates, next, job, tasksByZone);
      const candidate = candidates[next];
      const task = candidate && job.nextWaitingTask();
      if (!task) break;
      this.place(task, candidate);
      addTo(tasksByZone, candidate.machine.info.zone, 1);
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
    // Work that may use spot machines leaves ordinary ones to work that may not, as long as there are spot ones, even
    // if all of them are full.
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

/** A machine that has the image need not fetch it; one whose response is held hears of the task at once. */
function fastestStartFirst(candidates: Candidate[], image: string): Candidate[] {
  const ranked: Candidate[][] = [[], [], [], []];
  for (const candidate of candidates) {
    const { cachedImages, sendHeldResponse } = candidate.machine;
    ranked[(cachedImages.has(image) ? 0 : 2) + (sendHeldResponse ? 0 : 1)]?.push(candidate);
  }
  return ranked.flat();
}

/** The first candidate from `start` on that suits the next task of the job; none does beyond the last. */
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

/** A job that only the ledger names has no spec, and so no constraint that is known. */
function isJobZoneConstrained({ spec }: JobState): boolean {
  return spec !== undefined && isZoneConstrained(spec);
}

/** Tasks of the job that are or may be on machines, by zone; not counted where zones do not matter to it. */
function countTasksByZone(job: JobState, machines: MachineState[]): Map<string, number> {
  const tasksByZone = new Map<string, number>();
  if (!isJobZoneConstrained(job)) return tasksByZone;
  for (const { info, tasks, orphanedTasks } of machines) {
    let count = orphanedTasks.filter(({ task }) => task.job === job.id).length;
    for (const task of tasks.values()) if (task.job === job) count++;
    if (count > 0) addTo(tasksByZone, info.zone, count);
  }
  return tasksByZone;
}

function countInZone(tasksByZone: ReadonlyMap<string, number>, zone: string): number {
  return (tasksByZone.get(zone) ?? 0) + (tasksByZone.get(unknownZone) ?? 0);
}

function addTo(tasksByZone: Map<string, number>, zone: string, count: number): void {
  tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + count);
}
