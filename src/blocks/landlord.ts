import type { Clock } from '../base/clock.js';
import { sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { Fleet } from '../ladder/fleet.js';
import type { Term } from '../leadership/term.js';
import type { MachineType } from '../model/types.js';
import { type Census, type CensusJob, needOf } from '../placement/census.js';
import { byOrderOfWork } from '../placement/plan.js';
import type { Settings, Team } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitStage } from '../store/commit-stage.js';
import type { Mirror } from '../store/mirror.js';
import {
  type BlockRecord,
  type Shares,
  blockKey,
  jobKey,
  jobRecord,
  leadKey,
  runKey,
} from '../wire/records.js';
import type { Condition } from '../wire/state.js';
import { roomsFor, spread, usedByMachine } from './homing.js';
import { type Member, emptyBlock, nextBlocks } from './leasing.js';
import type { Registry } from './registry.js';
import { type TeamDemand, nextShares } from './shares.js';

export interface LandlordPorts {
  clock: Clock;
  log: Log;
  settings: Settings;
  store: StoreClient;
  commits: CommitStage;
  mirror: Mirror;
  census: Census;
  registry: Registry;
  fleet: Fleet;
  term: Term;
  types: () => ReadonlyMap<string, MachineType>;
  periodMs: number;
  boot: string;
}

const tickMs = 200;
/** Jobs of which nothing has started are placed anew at most this often, in report intervals. */
const replaceEvery = 1;

/** The leader's leasing of machines, of shares of the teams' limits, and of jobs too big for one block. */
export class Landlord {
  /** The copy must have reached this revision before we build on it again. */
  private committed = 0;
  private sharesAt = -Infinity;
  private readonly aliveSince = new Map<string, number>();
  private replacedAt = 0;

  constructor(private readonly ports: LandlordPorts) {}

  async run(): Promise<void> {
    const { term, store, mirror } = this.ports;
    while (!term.signal.aborted) {
      await sleep(tickMs, term.signal);
      if (term.signal.aborted || store.failing || mirror.revision < Math.max(term.token, this.committed))
        continue;
      await this.leaseBlocks();
      if (mirror.revision >= this.committed) await this.placeJobs();
    }
  }

  private get lead(): Condition {
    return { key: leadKey, version: this.ports.term.token };
  }

  private async leaseBlocks(): Promise<void> {
    const { settings, registry, census, fleet, commits, log, clock } = this.ports;
    const blocks = registry.blocks();
    const busy = new Set([...census.activeTasks()].map((task) => task.machine));
    const alive = this.alive();
    const next = nextBlocks({
      count: settings.controllers,
      blocks,
      alive,
      settled: new Set(alive.map((m) => m.label).filter((label) => this.settled(label))),
      fresh: [...fleet.fresh.values()],
      gone: fleet.gone,
      busy,
      unwanted: new Set([...fleet.unwanted, ...fleet.lost]),
      moves: new Map(),
      waiting: (block, machine) => fleet.waiting(block, machine),
      shares: this.shares(blocks),
    });
    if (next.size === 0) return;
    const conditions = [...next.keys()].map((block) => ({
      key: blockKey(block),
      version: registry.version(block),
    }));
    const outcome = await commits.commit(
      [this.lead, ...conditions],
      [...next].map(([block, record]) => ({ put: blockKey(block), value: record })),
    );
    if (outcome.kind === 'applied') {
      this.committed = outcome.revision;
      for (const [block, record] of next) this.logOwner(block, blocks.get(block), record);
    } else if (outcome.kind === 'unknown') await sleep(settings.reportMs / 4, this.ports.term.signal);
    else log.debug({ event: 'lease-failed', outcome, at: clock() }, 'blocks not leased');
  }

  private logOwner(block: number, before: BlockRecord | undefined, record: BlockRecord): void {
    if (before?.owner === record.owner) return;
    this.ports.log.info(
      {
        event: 'block-leased',
        block,
        owner: record.owner,
        before: before?.owner,
        machines: record.machines.length,
      },
      'block leased',
    );
  }

  private alive(): Member[] {
    const { registry, settings, clock, boot } = this.ports;
    const alive = registry.alive();
    // We are: a leader without its own key would be deposed.
    if (!alive.some((m) => m.label === settings.label))
      alive.push({ label: settings.label, boot, zone: settings.zone });
    const labels = new Set(alive.map((m) => m.label));
    for (const label of this.aliveSince.keys()) if (!labels.has(label)) this.aliveSince.delete(label);
    for (const label of labels) if (!this.aliveSince.has(label)) this.aliveSince.set(label, clock());
    return alive;
  }

  /** Back for long enough that a block given to it will not change hands again at once. */
  private settled(label: string): boolean {
    const { clock, settings } = this.ports;
    return clock() - (this.aliveSince.get(label) ?? Infinity) > settings.reportMs;
  }

  /** Shares are leased for a period, and sooner only where work waits for want of one. */
  private shares(blocks: ReadonlyMap<number, BlockRecord>): Map<number, Shares> {
    const { settings, clock, periodMs } = this.ports;
    const demand = this.teamDemand();
    const starved = [...blocks].some(([block, record]) =>
      [...settings.teams.values()].some((team) => isStarved(demand(block, team.name), record, team)),
    );
    if (!starved && clock() - this.sharesAt < periodMs) {
      return new Map([...blocks].map(([block, record]) => [block, record.shares]));
    }
    this.sharesAt = clock();
    const all = new Map<number, BlockRecord>();
    for (let block = 0; block < settings.controllers; block++) {
      all.set(block, blocks.get(block) ?? emptyBlock());
    }
    return nextShares({ teams: settings.teams.values(), blocks: all, demand });
  }

  private teamDemand(): (block: number, team: string) => TeamDemand {
    const { census } = this.ports;
    const entries = new Map<string, TeamDemand>();
    const of = (block: number, team: string): TeamDemand => {
      const key = `${block}/${team}`;
      let entry = entries.get(key);
      if (!entry) entries.set(key, (entry = { used: [0, 0], waiting: [] }));
      return entry;
    };
    for (const { page } of census.activeTasks()) {
      const { used } = of(page.block, page.team);
      used[0] += page.cpus;
      used[1] += page.accelerators;
    }
    for (const job of [...census.jobs.values()].sort((a, b) => byOrderOfWork(a.spec, b.spec))) {
      for (const { block, count } of census.waiting(job)) {
        if (block !== undefined && count > 0) {
          of(block, job.spec.team).waiting.push({ need: needOf(job.spec), count });
        }
      }
    }
    return of;
  }

  /** Places jobs that no single block had room for, and anew those that wait where others have room. */
  private async placeJobs(): Promise<void> {
    const { census, clock, settings, registry, types } = this.ports;
    const again = clock() - this.replacedAt > settings.reportMs * replaceEvery;
    if (again) this.replacedAt = clock();
    const due = [...census.jobs.values()]
      .filter((job) => job.parts.length === 0 || (again && !census.started(job.id)))
      .sort((a, b) => byOrderOfWork(a.spec, b.spec))
      .slice(0, settings.state.txnOps / 2);
    if (due.length === 0) return;
    const facts = {
      blocks: registry.blocks(),
      alive: (label: string) => registry.isAlive(label),
      types: types(),
      census,
      used: usedByMachine(census),
    };
    const moves: Promise<void>[] = [];
    for (const job of due) {
      const rooms = roomsFor(job.spec, facts);
      const free = rooms.reduce((sum, room) => sum + Math.max(0, room.free), 0);
      // Placing it anew pays only where something of it could start at once.
      const stuck = job.parts.some(
        (p) => clock() - job.seenAt > settings.reportMs && free > 0 && p.count > 0,
      );
      if (job.parts.length === 0 || stuck) moves.push(this.place(job, spread(job.spec, rooms)));
      // The rooms change with every placement; the next tick sees them as they are then.
      if (job.parts.length > 0 && stuck) break;
    }
    await Promise.all(moves);
  }

  /** Conditioned on nothing of the job having started, under its present placement. */
  private async place(job: CensusJob, parts: CensusJob['parts']): Promise<void> {
    const { commits, log } = this.ports;
    if (parts.length === 0 || JSON.stringify(parts) === JSON.stringify(job.parts)) return;
    const untouched = job.parts.map((_, part) => ({ key: runKey(job.id, part, 0), version: 0 }));
    const outcome = await commits.commit(
      [this.lead, { key: jobKey(job.id), version: job.version }, ...untouched],
      [{ put: jobKey(job.id), value: jobRecord({ spec: job.spec, parts }) }],
    );
    if (outcome.kind === 'applied') this.committed = Math.max(this.committed, outcome.revision);
    log.debug({ event: 'job-placed', job: job.id, parts, outcome: outcome.kind }, 'job placed by the leader');
  }
}

function isStarved(demand: TeamDemand, record: BlockRecord, team: Team): boolean {
  const next = demand.waiting[0];
  if (!next) return false;
  const [cpus, accelerators] = record.shares[team.name] ?? [0, 0];
  return (
    (team.cpusMax > 0 && demand.used[0] + next.need.cpus > cpus + 1e-6) ||
    (team.acceleratorsMax > 0 && demand.used[1] + next.need.accelerators > accelerators + 1e-6)
  );
}
