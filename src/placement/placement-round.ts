import { type JobSpec, type MachineType, type Resources, fits, withinLimit } from '../model/types.js';
import type { Team } from '../settings/settings.js';
import type { MachineState } from '../workers/machine-state.js';
import type { JobState, Task } from './job-state.js';

export interface PlacementFacts {
  now: number;
  /** With waiting tasks, in the order of work. */
  jobs: JobState[];
  machines: Iterable<MachineState>;
  /** Types of which the block has cheap machines, with room or without. */
  cheap: ReadonlySet<string>;
  /** A round for some of the block's machines only: jobs whose tasks depend on each other's zones wait for a whole one. */
  partial: boolean;
  types: ReadonlyMap<string, MachineType>;
  /** The team with what this block may use of its limits. */
  team: (name: string) => Team | undefined;
  usage: () => Usage;
  /** How many tasks may be placed at most: what one round of commits can carry. */
  most: number;
  usable: (machine: MachineState) => boolean;
}

export interface Choice {
  task: Task;
  machine: MachineState;
}

/** What the tasks of each team take at the moment, in every state in which they may be on a machine. */
export class Usage {
  private readonly used = new Map<string, { cpus: number; accelerators: number }>();

  of(team: string): { cpus: number; accelerators: number } {
    let entry = this.used.get(team);
    if (!entry) {
      entry = { cpus: 0, accelerators: 0 };
      this.used.set(team, entry);
    }
    return entry;
  }

  add(team: string, need: Resources, times = 1): void {
    const entry = this.of(team);
    entry.cpus += need.cpus * times;
    entry.accelerators += need.accelerators * times;
  }

  /** The team uses more than its limit. */
  exceeds(team: Team | undefined): boolean {
    if (!team) return false;
    const used = this.of(team.name);
    return (
      !withinLimit(used.cpus, 0, team.cpusMax) || !withinLimit(used.accelerators, 0, team.acceleratorsMax)
    );
  }

  admits(team: Team | undefined, need: Resources): boolean {
    if (!team) return false;
    const used = this.of(team.name);
    return (
      withinLimit(used.cpus, need.cpus, team.cpusMax) &&
      withinLimit(used.accelerators, need.accelerators, team.acceleratorsMax)
    );
  }
}

interface MachineRoom {
  machine: MachineState;
  free: Resources;
}

/** First-fit: each waiting task, in the order of work, goes to the first machine that has room for it. */
export function placeTasks(facts: PlacementFacts): Choice[] {
  const choices: Choice[] = [];
  const waiting = facts.jobs
    .filter(
      (job) =>
        job.waiting > 0 &&
        !job.ending &&
        !(facts.partial && isBound(job)) &&
        job.retryAt <= facts.now &&
        job.version !== job.rejected,
    )
    .map((job) => ({ job, spec: job.spec }))
    .filter((entry): entry is { job: JobState; spec: JobSpec } => entry.spec !== undefined);
  // Most rounds have nothing to place, and there is one for nearly every report.
  if (waiting.length === 0) return choices;
  const least = leastOf(waiting.map(({ job }) => job.need));
  // They are walked more than once, and an iterator is spent after the first time.
  const machines = [...facts.machines];
  const usable = machines
    .filter(facts.usable)
    .map((machine) => ({ machine, type: facts.types.get(machine.place.type) }))
    .filter((m): m is { machine: MachineState; type: MachineType } => m.type !== undefined);
  let rooms = usable
    .map((m) => ({ ...m, free: m.machine.free(m.type) }))
    .filter(({ free }) => fits(least, free))
    .sort((a, b) => (a.machine.id < b.machine.id ? -1 : 1));
  if (rooms.length === 0) return choices;
  const usage = facts.usage();
  for (const { job, spec } of waiting) {
    const team = facts.team(job.team);
    if (!usage.admits(team, job.need)) continue;
    const zones = zonesInUse(job, machines);
    const half = Math.ceil(spec.tasks / 2);
    let candidates = rooms.filter(
      ({ machine }) =>
        (spec.types === null || spec.types.includes(machine.place.type)) &&
        (spec.zone === null || spec.zone === machine.place.zone) &&
        (spec.spot || !machine.place.spot),
    );
    // Work that may use cheap machines leaves ordinary ones to work that may not, as long as there are cheap ones, even
    // if all of them are full.
    const cheap = [...facts.cheap].some((type) => spec.types === null || spec.types.includes(type));
    if (spec.spot && cheap) candidates = candidates.filter(({ machine }) => machine.place.spot);
    candidates = quickestFirst(candidates, spec.image);
    const placedBefore = choices.length;
    let left = job.waiting;
    let at = 0;
    while (left > 0 && choices.length < facts.most && usage.admits(team, job.need)) {
      const suits = ({ machine, free }: MachineRoom): boolean =>
        fits(job.need, free) &&
        (!spec.spread || inZone(zones, machine.place.zone) < half) &&
        (!spec.oneZone || zones.size === 0 || zones.has(machine.place.zone));
      // What does not suit one task of the job does not suit its next: nothing frees up within a round.
      while (at < candidates.length && !suits(candidates[at] as MachineRoom)) at++;
      const room = candidates[at];
      const task = room && job.next();
      if (!room || !task) break;
      job.place(task, room.machine.id, facts.now);
      room.free.cpus -= job.need.cpus;
      room.free.accelerators -= job.need.accelerators;
      room.free.memoryGb -= job.need.memoryGb;
      usage.add(job.team, job.need);
      zones.set(room.machine.place.zone, (zones.get(room.machine.place.zone) ?? 0) + 1);
      choices.push({ task, machine: room.machine });
      left--;
    }
    if (choices.length >= facts.most) break;
    // With what is full left out, a long queue beside little room is soon gone through.
    if (choices.length > placedBefore) rooms = rooms.filter(({ free }) => fits(least, free));
    if (rooms.length === 0) break;
  }
  return choices;
}

/** A machine that has the image need not fetch it; one whose answer is held hears of the task at once. */
function quickestFirst<R extends MachineRoom>(rooms: R[], image: string): R[] {
  const ranked: R[][] = [[], [], [], []];
  for (const room of rooms) {
    const { images, wake } = room.machine;
    ranked[(images.has(image) ? 0 : 2) + (wake ? 0 : 1)]?.push(room);
  }
  return ranked.flat();
}

function isBound(job: JobState): boolean {
  return job.spec !== undefined && (job.spec.oneZone || job.spec.spread);
}

/** What has no room for this has none for any of them. */
function leastOf(needs: Resources[]): Resources {
  return {
    cpus: Math.min(...needs.map((need) => need.cpus)),
    accelerators: Math.min(...needs.map((need) => need.accelerators)),
    memoryGb: Math.min(...needs.map((need) => need.memoryGb)),
  };
}

/** A machine that a ledger names and no block's record does may be anywhere. */
const unknownZone = '';

/** Tasks of the job that are or may be on machines, by zone. */
function zonesInUse(job: JobState, machines: MachineState[]): Map<string, number> {
  const zones = new Map<string, number>();
  if (!isBound(job)) return zones;
  for (const { place, tasks, strays } of machines) {
    let here = strays.filter(({ task }) => task.job === job.id).length;
    for (const task of tasks.values()) if (task.job === job) here++;
    if (here > 0) zones.set(place.zone, (zones.get(place.zone) ?? 0) + here);
  }
  return zones;
}

function inZone(zones: ReadonlyMap<string, number>, zone: string): number {
  return (zones.get(zone) ?? 0) + (zones.get(unknownZone) ?? 0);
}
