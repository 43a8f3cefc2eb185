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
  type Part,
  type Shares,
  blockKey,
  jobKey,
  jobRecord,
  leadKey,
  tasksPerPage,
} from '../wire/records.js';
import type { Condition } from '../wire/state.js';
import { Rooms, bound } from './rooms.js';
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
  /** See the blocks' rooms. */
  lookahead: number;
}

const tickMs = 200;

/** The leader's leasing of machines, of shares of the teams' limits, and of jobs too big for one block. */
export class Landlord {
  /** The copy must have reached this revision before we build on it again. */
  private committed = 0;
  private sharesAt = -Infinity;
  private readonly aliveSince = new Map<string, number>();
  private takenBackAt = 0;

  constructor(private readonly ports: LandlordPorts) {}

  async run(): Promise<void> {
    const { term, store, mirror } = this.ports;
    while (!term.signal.aborted) {
      await sleep(tickMs, term.signal);
      if (term.signal.aborted || store.failing || mirror.revision < Math.max(term.token, this.committed))
        continue;
      await this.leaseBlocks();
      if (mirror.revision >= this.committed) await this.dealJobs();
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

  /** Deals out what no block has yet, in the order of work, and takes back what waits where it cannot start. */
  private async dealJobs(): Promise<void> {
    const { census, clock, registry, types, lookahead, settings } = this.ports;
    const alive = (label: string): boolean => registry.isAlive(label);
    const rooms = new Rooms({ blocks: registry.blocks(), alive, types: types(), census, lookahead });
    const perPage = tasksPerPage(settings.state.valueBytes);
    const jobs = [...census.jobs.values()].sort((a, b) => byOrderOfWork(a.spec, b.spec));
    const deals: Promise<void>[] = [];
    for (const job of jobs) {
      if (deals.length >= settings.state.txnOps / 2) break;
      if (census.waiting(job)[0]?.block !== undefined) continue;
      const parts = census.waiting(job).length > 0 ? rooms.deal(job.spec, job.parts) : undefined;
      if (parts) deals.push(this.place(job, parts, []));
    }
    if (deals.length === 0 && clock() - this.takenBackAt > settings.reportMs) {
      this.takenBackAt = clock();
      const taken = this.takeBack(jobs, rooms, perPage);
      if (taken) deals.push(this.place(taken.job, taken.parts, taken.pages));
    }
    await Promise.all(deals);
  }

  /** One range whose block is full while another has room, less its tasks that never started. */
  private takeBack(
    jobs: CensusJob[],
    rooms: Rooms,
    perPage: number,
  ): { job: CensusJob; parts: Part[]; pages: Condition[] } | undefined {
    for (const job of jobs) {
      if (bound(job.spec)) continue;
      const now = rooms.of(job.spec);
      if (!now.some((room) => room.free > 0)) continue;
      for (const [i, range] of job.parts.entries()) {
        const room = now.find((r) => r.block === range.block);
        if (room && room.free > 0) continue;
        const { count, pages } = this.ports.census.untouched(job, range, perPage);
        if (count === 0) continue;
        const kept = { ...range, count: range.count - count };
        const parts = job.parts.map((part, j) => (j === i ? kept : part)).filter((part) => part.count > 0);
        return { job, parts, pages };
      }
    }
    return undefined;
  }

  /** Conditioned on the pages that say what has not started: whatever its owner commits meanwhile wins. */
  private async place(job: CensusJob, parts: Part[], pages: Condition[]): Promise<void> {
    const { commits, log } = this.ports;
    const outcome = await commits.commit(
      [this.lead, { key: jobKey(job.id), version: job.version }, ...pages],
      [{ put: jobKey(job.id), value: jobRecord({ spec: job.spec, parts }) }],
    );
    if (outcome.kind === 'applied') this.committed = Math.max(this.committed, outcome.revision);
    log.debug({ event: 'job-dealt', job: job.id, parts, outcome: outcome.kind }, 'job dealt to blocks');
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
