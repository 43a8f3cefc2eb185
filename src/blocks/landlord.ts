import type { Clock } from '../base/clock.js';
import { sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { Fleet } from '../ladder/fleet.js';
import type { Term } from '../leadership/term.js';
import type { MachineType } from '../model/types.js';
import { type Census, type CensusJob, needOf } from '../placement/census.js';
import type { OrderOfWork } from '../placement/order.js';
import { Usage } from '../placement/plan.js';
import type { Settings, Team } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitStage } from '../store/commit-stage.js';
import type { Mirror } from '../store/mirror.js';
import {
  type BlockRecord,
  type LeasedMachine,
  type Part,
  type Shares,
  blockKey,
  blockRecord,
  jobKey,
  jobRecord,
  leadKey,
} from '../wire/records.js';
import type { Condition } from '../wire/state.js';
import { restore, takeBack } from './rebalance.js';
import { Rooms, bound, undealt, undealtTasks } from './rooms.js';
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
  order: OrderOfWork;
  wallClock: () => number;
  types: () => ReadonlyMap<string, MachineType>;
  periodMs: number;
  boot: string;
  /** See the blocks' rooms. */
  lookahead: number;
  up: (machine: LeasedMachine) => boolean;
}

const tickMs = 200;
/** What is left over is dealt again after this part of a report interval. */
const dealReports = 0.5;
/**
 * Tasks that wait in a block without room for so many report intervals, while another has some, are taken back and dealt
 * again. Sooner than that most of them start where they are.
 */
const stuckReports = 4;
/** Jobs dealt at a time, as a share of the changes that the store takes in a second or a transaction. */
const dealShare = 0.35;

/** The leader's leasing of machines, of shares of the teams' limits, and of jobs too big for one block. */
export class Landlord {
  /** The copy must have reached this revision before we build on it again. */
  private committed = 0;
  private sharesAt = -Infinity;
  private leasedAt = -Infinity;
  private dealtAt = -Infinity;
  private rebalancedAt = -Infinity;
  /** Jobs that had tasks left when last there was dealing. */
  private leftOver: ReadonlySet<string> = new Set();
  /** Blocks with a lease of unknown fate, and the version that it was conditioned on. */
  private readonly uncertain = new Map<number, number>();
  /** Since when jobs, by block, have waited there beside room elsewhere. */
  private stuckSince: ReadonlyMap<string, number> = new Map();
  private readonly aliveSince = new Map<string, number>();

  constructor(private readonly ports: LandlordPorts) {}

  async run(): Promise<void> {
    const { term, store, mirror } = this.ports;
    while (!term.signal.aborted) {
      await sleep(tickMs, term.signal);
      if (term.signal.aborted || store.failing || mirror.revision < Math.max(term.token, this.committed))
        continue;
      await this.leaseBlocks();
      if (mirror.revision >= this.committed) await this.dealJobs();
      if (mirror.revision >= this.committed) await this.rebalance();
    }
  }

  private get lead(): Condition {
    return { key: leadKey, version: this.ports.term.token };
  }

  private async leaseBlocks(): Promise<void> {
    const { settings, registry, census, fleet, clock } = this.ports;
    const blocks = registry.blocks();
    if (await this.settleUncertain(blocks)) return;
    const alive = this.alive();
    // What does not press is gathered: every new version of a block fails the intents that its owner has under way.
    const pressing = blocks.size < settings.controllers || this.ownersChange(blocks);
    if (!pressing && clock() - this.leasedAt < settings.reportMs / 2) return;
    this.leasedAt = clock();
    const next = nextBlocks({
      count: settings.controllers,
      blocks,
      alive,
      settled: new Set(alive.map((m) => m.label).filter((label) => this.settled(label))),
      fresh: [...fleet.fresh.values()],
      gone: fleet.gone,
      busy: census.loads(),
      unwanted: new Set([...fleet.unwanted, ...fleet.lost]),
      waiting: (block, machine) => fleet.waiting(block, machine),
      shares: this.shares(blocks),
    });
    if (next.size === 0) return;
    // One operation a block: several full records together would be more than a transaction holds. Each is safe without
    // the others, since no machine and no part of a limit is given away that another block still has.
    await Promise.all([...next].map(([block, record]) => this.leaseBlock(block, blocks.get(block), record)));
  }

  /**
   * A lease whose fate is unknown may yet be carried out: what it gives to a block must not be given to another
   * meanwhile. So such blocks are first written as they stand, which leaves the late one without its version.
   */
  private async settleUncertain(blocks: ReadonlyMap<number, BlockRecord>): Promise<boolean> {
    const { registry } = this.ports;
    for (const [block, version] of this.uncertain) {
      if (registry.version(block) !== version) this.uncertain.delete(block);
    }
    const open = [...this.uncertain.keys()];
    await Promise.all(
      open.map((block) => this.leaseBlock(block, blocks.get(block), blocks.get(block) ?? emptyBlock())),
    );
    return open.length > 0;
  }

  private async leaseBlock(
    block: number,
    before: BlockRecord | undefined,
    record: BlockRecord,
  ): Promise<void> {
    const { settings, registry, commits, log, clock, term } = this.ports;
    const outcome = await commits.commit(
      [this.lead, { key: blockKey(block), version: registry.version(block) }],
      [{ put: blockKey(block), value: blockRecord(record) }],
    );
    if (outcome.kind === 'applied') {
      this.committed = Math.max(this.committed, outcome.revision);
      this.logOwner(block, before, record);
    } else if (outcome.kind === 'unknown') {
      this.uncertain.set(block, registry.version(block));
      await sleep(settings.reportMs / 4, term.signal);
    } else if (outcome.kind === 'malformed') {
      log.error({ event: 'block-refused', block, machines: record.machines.length }, 'block record refused');
    } else log.debug({ event: 'lease-failed', block, outcome, at: clock() }, 'block not leased');
  }

  private ownersChange(blocks: ReadonlyMap<number, BlockRecord>): boolean {
    return [...blocks.values()].some((record) => !this.ports.registry.isAlive(record.owner));
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
    const limited = [...settings.teams.values()].some((team) => team.cpusMax > 0 || team.acceleratorsMax > 0);
    if (!limited) return new Map();
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
    const { census, order, wallClock } = this.ports;
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
    for (const job of census.inOrder(order, wallClock())) {
      for (const { block, count } of census.waiting(job)) {
        if (block !== undefined && count > 0) {
          of(block, job.spec.team).waiting.push({ need: needOf(job.spec), count });
        }
      }
    }
    return of;
  }

  /** Deals out what no block has yet, in the order of work. */
  private async dealJobs(): Promise<void> {
    const { census, settings, order, wallClock, commits } = this.ports;
    const open = [...census.jobs.values()].filter((job) => undealt(job.parts, job.spec.tasks).length > 0);
    const due = this.dueForDealing(open);
    // Behind a queue of commits it would be out of date, and hold up what our own block has to start.
    if (due.length === 0 || commits.writableLength > settings.state.txnOps / 2) return;
    const rooms = this.rooms();
    rooms.deepen(open.map(({ spec, parts }) => ({ spec, tasks: undealtTasks(parts, spec.tasks) })));
    const deals: Promise<void>[] = [];
    for (const job of census.inOrder(order, wallClock(), due)) {
      if (deals.length >= this.mostDeals) break;
      const { spec, parts } = job;
      const next = restore(job, census.entries(job.id)) ?? rooms.deal(spec, parts);
      if (next) deals.push(this.place(job, next));
    }
    await Promise.all(deals);
  }

  /**
   * Takes back what has waited in a full block for long while another has room for it, a machine that its team's limit
   * admits. It is dealt anew once the copy has reached the record without it.
   */
  private async rebalance(): Promise<void> {
    const { census, clock, settings, order, wallClock } = this.ports;
    const now = clock();
    if (now - this.rebalancedAt < settings.reportMs) return;
    this.rebalancedAt = now;
    const stuck = new Map<string, number>();
    const rooms = this.rooms(0);
    const usage = new Usage();
    for (const { page } of census.activeTasks()) usage.add(page.team, needOf(page));
    const recalls: Promise<void>[] = [];
    for (const job of census.inOrder(order, wallClock())) {
      if (recalls.length >= this.mostDeals) break;
      if (!usage.admits(settings.teams.get(job.spec.team), needOf(job.spec))) continue;
      for (const { block, count } of census.waiting(job)) {
        if (block === undefined) continue;
        const room = rooms.of(job.spec);
        const over = Math.min(count, -(room.find((r) => r.block === block)?.free ?? -count));
        const elsewhere = room.reduce((sum, r) => sum + (r.block === block ? 0 : Math.max(0, r.free)), 0);
        const most = Math.min(over, elsewhere);
        if (most <= 0) continue;
        const key = `${block}/${job.id}`;
        const since = this.stuckSince.get(key) ?? now;
        stuck.set(key, since);
        if (now - since < settings.reportMs * stuckReports) continue;
        const { done, active } = census.progress(job.id);
        // Tasks that depend on each other's zones stay with one block, so all go or none.
        if (bound(job.spec) && done + active > 0) continue;
        const taken = bound(job.spec) ? job.spec.tasks : most;
        const parts = takeBack(job.parts, block, census.entries(job.id), taken);
        if (!parts) continue;
        for (const other of room) {
          if (other.block !== block)
            rooms.take(job.spec, other.block, Math.max(0, Math.min(most, other.free)));
        }
        stuck.delete(key);
        recalls.push(this.place(job, parts));
        break;
      }
    }
    this.stuckSince = stuck;
    await Promise.all(recalls);
  }

  private rooms(lookahead = this.ports.lookahead): Rooms {
    const { census, registry, types, up } = this.ports;
    const alive = (label: string): boolean => registry.isAlive(label);
    return new Rooms({ blocks: registry.blocks(), alive, types: types(), census, lookahead, up });
  }

  private get mostDeals(): number {
    const { state } = this.ports.settings;
    return Math.max(2, Math.min(state.txnOps, state.writeRps) * dealShare);
  }

  /**
   * A job that has just come is dealt at once. What was left over before waits for room, which appears a task at a time:
   * dealing each of them alone would take most of the changes that the store allows, and the blocks have work ahead.
   */
  private dueForDealing(open: CensusJob[]): CensusJob[] {
    const { clock, settings } = this.ports;
    const before = this.leftOver;
    this.leftOver = new Set(open.map((job) => job.id));
    if (clock() - this.dealtAt < settings.reportMs * dealReports) {
      return open.filter((job) => !before.has(job.id));
    }
    this.dealtAt = clock();
    return open;
  }

  private async place(job: CensusJob, parts: Part[]): Promise<void> {
    const { commits, log } = this.ports;
    const outcome = await commits.commit(
      [this.lead, { key: jobKey(job.id), version: job.version }],
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
