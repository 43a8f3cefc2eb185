import { type JobSpec, type MachineType, type Resources, fits, withinLimit } from '../model/types.js';
import type { Team } from '../settings/settings.js';
import type { MachineState } from './machine-state.js';
import type { JobState, Task } from './job-state.js';

export interface PlacementRound {
  now: number;
  /** With waiting tasks, in the order of work. */
  jobs: JobState[];
  machines: Iterable<MachineState>;
  /** Types of which the block has cheap machines, with room or without. */
  spotTypes: ReadonlySet<string>;
  /** A round for some of the block's machines only: jobs whose tasks depend on each other's zones wait for a whole one. */
  isPartial: boolean;
  machineTypes: ReadonlyMap<string, MachineType>;
  /** The team with what this block may use of its limits. */
  teamOf: (name: string) => Team | undefined;
  teamUsage: () => TeamUsage;
  /** How many tasks may be placed at most: what one round of commits can carry. */
  maxTasks: number;
  isUsable: (machine: MachineState) => boolean;
}

export interface Placement {
  task: Task;
  machine: MachineState;
}

/** What the tasks of each team take at the moment, in every state in which they may be on a machine. */
export class TeamUsage {
  private readonly usageByTeam = new Map<string, { cpus: number; accelerators: number }>();

  usedBy(team: string): { cpus: number; accelerators: number } {
    let entry = this.usageByTeam.get(team);
    if (!entry) {
      entry = { cpus: 0, accelerators: 0 };
      this.usageByTeam.set(team, entry);
    }
    return entry;
  }

  add(team: string, need: Resources, count = 1): void {
    const entry = this.usedBy(team);
    entry.cpus += need.cpus * count;
    entry.accelerators += need.accelerators * count;
  }

  /** The team uses more than its limit. */
  exceedsLimit(team: Team | undefined): boolean {
    if (!team) return false;
    const used = this.usedBy(team.name);
    return (
      !withinLimit(used.cpus, 0, team.cpusMax) || !withinLimit(used.accelerators, 0, team.acceleratorsMax)
    );
  }

  admits(team: Team | undefined, need: Resources): boolean {
    if (!team) return false;
    const used = this.usedBy(team.name);
    return (
      withinLimit(used.cpus, need.cpus, team.cpusMax) &&
      withinLimit(used.accelerators, need.accelerators, team.acceleratorsMax)
    );
  }
}

interface Candidate {
  machine: MachineState;
  free: Resources;
}

/** First-fit: each waiting task, in the order of work, goes to the first machine that has room for it. */
export function placeTasks(round: PlacementRound): Placement[] {
  const choices: Placement[] = [];
  const waiting = round.jobs
    .filter(
      (job) =>
        job.waitingCount > 0 &&
        !job.isCommittingOutcome &&
        !(round.isPartial && isZoneConstrained(job)) &&
        job.retryAt <= round.now &&
        job.version !== job.rejectedVersion,
    )
    .map((job) => ({ job, spec: job.spec }))
    .filter((entry): entry is { job: JobState; spec: JobSpec } => entry.spec !== undefined);
  // Most rounds have nothing to place, and there is one for nearly every report.
  if (waiting.length === 0) return choices;
  const least = smallestNeed(waiting.map(({ job }) => job.need));
  // They are walked more than once, and an iterator is spent after the first time.
  const machines = [...round.machines];
  const usable = machines
    .filter(round.isUsable)
    .map((machine) => ({ machine, type: round.machineTypes.get(machine.info.type) }))
    .filter((m): m is { machine: MachineState; type: MachineType } => m.type !== undefined);
  let rooms = usable
    .map((m) => ({ ...m, free: m.machine.freeResources(m.type) }))
    .filter(({ free }) => fits(least, free))
    .sort((a, b) => (a.machine.id < b.machine.id ? -1 : 1));
  if (rooms.length === 0) return choices;
  const usage = round.teamUsage();
  for (const { job, spec } of waiting) {
    const team = round.teamOf(job.team);
    if (!usage.admits(team, job.need)) continue;
    const zones = countTasksByZone(job, machines);
    const half = Math.ceil(spec.tasks / 2);
    let candidates = rooms.filter(
      ({ machine }) =>
        (spec.machineTypes === null || spec.machineTypes.includes(machine.info.type)) &&
        (spec.zone === null || spec.zone === machine.info.zone) &&
        (spec.spot || !machine.info.spot),
    );
    // Work that may use cheap machines leaves ordinary ones to work that may not, as long as there are cheap ones, even
    // if all of them are full.
    const cheap = [...round.spotTypes].some(
      (type) => spec.machineTypes === null || spec.machineTypes.includes(type),
    );
    if (spec.spot && cheap) candidates = candidates.filter(({ machine }) => machine.info.spot);
    candidates = fastestStartFirst(candidates, spec.image);
    const placedBefore = choices.length;
    let left = job.waitingCount;
    let at = 0;
    while (left > 0 && choices.length < round.maxTasks && usage.admits(team, job.need)) {
      const suits = ({ machine, free }: Candidate): boolean =>
        fits(job.need, free) &&
        (!spec.spread || countInZone(zones, machine.info.zone) < half) &&
        (!spec.colocated || zones.size === 0 || zones.has(machine.info.zone));
      // What does not suit one task of the job does not suit its next: nothing frees up within a round.
      while (at < candidates.length && !suits(candidates[at] as Candidate)) at++;
      const room = candidates[at];
      const task = room && job.nextWaitingTask();
      if (!room || !task) break;
      job.placeTask(task, room.machine.id, round.now);
      room.free.cpus -= job.need.cpus;
      room.free.accelerators -= job.need.accelerators;
      room.free.memoryGb -= job.need.memoryGb;
      usage.add(job.team, job.need);
      zones.set(room.machine.info.zone, (zones.get(room.machine.info.zone) ?? 0) + 1);
      choices.push({ task, machine: room.machine });
      left--;
    }
    if (choices.length >= round.maxTasks) break;
    // With what is full left out, a long queue beside little room is soon gone through.
    if (choices.length > placedBefore) rooms = rooms.filter(({ free }) => fits(least, free));
    if (rooms.length === 0) break;
  }
  return choices;
}

/** A machine that has the image need not fetch it; one whose answer is held hears of the task at once. */
function fastestStartFirst<R extends Candidate>(rooms: R[], image: string): R[] {
  const ranked: R[][] = [[], [], [], []];
  for (const room of rooms) {
    const { cachedImages, sendHeldResponse } = room.machine;
    ranked[(cachedImages.has(image) ? 0 : 2) + (sendHeldResponse ? 0 : 1)]?.push(room);
  }
  return ranked.flat();
}

function isZoneConstrained(job: JobState): boolean {
  return job.spec !== undefined && (job.spec.colocated || job.spec.spread);
}

/** What has no room for this has none for any of them. */
function smallestNeed(needs: Resources[]): Resources {
  return {
    cpus: Math.min(...needs.map((need) => need.cpus)),
    accelerators: Math.min(...needs.map((need) => need.accelerators)),
    memoryGb: Math.min(...needs.map((need) => need.memoryGb)),
  };
}

/** A machine that a ledger names and no block's record does may be anywhere. */
const unknownZone = '';

/** Tasks of the job that are or may be on machines, by zone. */
function countTasksByZone(job: JobState, machines: MachineState[]): Map<string, number> {
  const zones = new Map<string, number>();
  if (!isZoneConstrained(job)) return zones;
  for (const { info, tasks, orphanedTasks } of machines) {
    let here = orphanedTasks.filter(({ task }) => task.job === job.id).length;
    for (const task of tasks.values()) if (task.job === job) here++;
    if (here > 0) zones.set(info.zone, (zones.get(info.zone) ?? 0) + here);
  }
  return zones;
}

function countInZone(zones: ReadonlyMap<string, number>, zone: string): number {
  return (zones.get(zone) ?? 0) + (zones.get(unknownZone) ?? 0);
}
