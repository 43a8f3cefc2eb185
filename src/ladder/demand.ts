import { type MachineType, type Resources, withinLimit } from '../model/types.js';
import type { JobState } from '../placement/job-state.js';
import { byOrderOfWork, type Usage } from '../placement/plan.js';
import type { Team } from '../settings/settings.js';
import type { MachineState } from '../workers/machine-state.js';
import { type LadderShape, slotsOf, slotsPerMachine } from './ladder.js';

/** All machines of one type and kind: each such pool has a ladder of its own. */
export interface Pool {
  key: string;
  type: MachineType;
  spot: boolean;
  /** Up or booting, and not on its way out. */
  machines: MachineState[];
  draining: MachineState[];
  /** The cloud refuses more of it, in every zone, for now. */
  exhausted: boolean;
  counted: number;
}

export function poolKey(type: string, spot: boolean): string {
  return `${type}/${spot ? 'spot' : 'ordinary'}`;
}

export function buildPools(
  types: Iterable<MachineType>,
  machines: Iterable<MachineState>,
  exhausted: (type: MachineType, spot: boolean) => boolean,
): Map<string, Pool> {
  const pools = new Map<string, Pool>();
  for (const type of types) {
    for (const spot of [false, true]) {
      const key = poolKey(type.name, spot);
      pools.set(key, {
        key,
        type,
        spot,
        machines: [],
        draining: [],
        exhausted: exhausted(type, spot),
        counted: 0,
      });
    }
  }
  for (const machine of machines) {
    const pool = pools.get(poolKey(machine.place.type, machine.place.spot));
    if (!pool || machine.status === 'releasing' || machine.faulty || machine.notice !== null) continue;
    (machine.draining ? pool.draining : pool.machines).push(machine);
  }
  return pools;
}

/** Pools that may serve the job, cheapest first. Cheap machines leave ordinary ones to work that needs them. */
export function poolsFor(job: JobState, pools: Iterable<Pool>): Pool[] {
  const { spec } = job;
  if (!spec) return [];
  const eligible = [...pools].filter(
    (pool) =>
      (spec.spot || !pool.spot) &&
      (spec.types === null || spec.types.includes(pool.type.name)) &&
      (spec.zone === null || pool.type.zones.includes(spec.zone)) &&
      spec.cpus <= pool.type.cpus &&
      spec.memoryGb <= pool.type.memoryGb &&
      spec.accelerators <= pool.type.accelerators,
  );
  const cost = (pool: Pool): number => {
    const price = pool.spot ? pool.type.spotPrice : pool.type.price;
    return price * Math.max(spec.cpus / pool.type.cpus, spec.memoryGb / pool.type.memoryGb);
  };
  const spot = eligible.filter((pool) => pool.spot);
  const dry = spot.every((pool) => pool.exhausted && pool.machines.length === 0);
  const chosen = spec.spot && !dry ? spot : eligible;
  return chosen.sort((a, b) => cost(a) - cost(b) || (a.key < b.key ? -1 : 1));
}

export interface DemandFacts {
  jobs: Iterable<JobState>;
  machines: ReadonlyMap<string, MachineState>;
  pools: ReadonlyMap<string, Pool>;
  teams: ReadonlyMap<string, Team>;
  usage: Usage;
  shape: LadderShape;
}

/** Fills in each pool's counted slots: tasks on machines, and waiting ones that their team's limit admits. */
export function countDemand(facts: DemandFacts): void {
  const { pools, shape } = facts;
  const jobs = [...facts.jobs];
  for (const job of jobs) {
    for (const task of job.tasks.values()) {
      const machine = task.phase === 'waiting' ? undefined : facts.machines.get(task.machine);
      const pool = machine && pools.get(poolKey(machine.place.type, machine.place.spot));
      if (pool) pool.counted += slotsOf(job.need, pool.type, shape);
    }
  }
  for (const job of jobs.filter((j) => j.waiting > 0).sort(byOrderOfWork)) {
    let left = admitted(job, facts);
    facts.usage.add(job.team, job.need, left);
    const choices = poolsFor(job, pools.values());
    for (const pool of choices) {
      const each = slotsOf(job.need, pool.type, shape);
      const room = pool.exhausted
        ? Math.max(0, pool.machines.length * slotsPerMachine(shape) - pool.counted)
        : Infinity;
      const last = pool === choices.at(-1);
      // What no pool has room for still counts somewhere, so that the ladder does not give back under it.
      const take = last ? left : Math.min(left, Math.floor(room / each));
      pool.counted += take * each;
      left -= take;
      if (left === 0) break;
    }
  }
}

function admitted(job: JobState, facts: DemandFacts): number {
  const team = facts.teams.get(job.team);
  if (!team) return 0;
  const used = facts.usage.of(team.name);
  const { cpus, accelerators } = job.need;
  let count = job.waiting;
  if (!withinLimit(used.cpus, cpus * count, team.cpusMax)) count = roomFor(team.cpusMax - used.cpus, cpus);
  if (!withinLimit(used.accelerators, accelerators * count, team.acceleratorsMax)) {
    count = Math.min(count, roomFor(team.acceleratorsMax - used.accelerators, accelerators));
  }
  return count;
}

function roomFor(free: number, each: Resources['cpus']): number {
  return each > 0 ? Math.max(0, Math.floor(free / each)) : 0;
}
