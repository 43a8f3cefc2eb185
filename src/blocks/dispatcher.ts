import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { Term } from '../leadership/term.js';
import type { MachineType } from '../model/types.js';
import { type Census, type CensusJob, needOf } from '../placement/census.js';
import type { OrderOfWork } from '../placement/order.js';
import { Usage } from '../placement/plan.js';
import type { Settings } from '../settings/settings.js';
import type { CommitStage } from '../store/commit-stage.js';
import type { Mirror } from '../store/mirror.js';
import { type LeasedMachine, type Part, jobKey, jobRecord, leadKey } from '../wire/records.js';
import { restore, takeBack } from './rebalance.js';
import type { Registry } from './registry.js';
import { type Room, Rooms, bound, undealt, undealtTasks } from './rooms.js';

export interface DealingPorts {
  clock: Clock;
  log: Log;
  settings: Settings;
  commits: CommitStage;
  mirror: Mirror;
  census: Census;
  registry: Registry;
  term: Term;
  order: OrderOfWork;
  wallClock: () => number;
  types: () => ReadonlyMap<string, MachineType>;
  /** See the blocks' rooms. */
  lookahead: number;
  up: (machine: LeasedMachine) => boolean;
}

/** What is left over is dealt again after this part of a report interval. */
const dealReports = 0.5;
/**
 * Tasks that wait in a block without room for so many report intervals, while another has some, are taken back and dealt
 * again. Sooner than that most of them start where they are.
 */
const stuckReports = 4;
/** Jobs dealt at a time, as a share of the changes that the store takes in a second or a transaction. */
const dealShare = 0.35;

/** The leader's dealing of jobs to blocks: of what no block has, and of what waits in one while another has room. */
export class Dealing {
  private dealtAt = -Infinity;
  private rebalancedAt = -Infinity;
  /** Jobs that had tasks left when last there was dealing. */
  private leftOver: ReadonlySet<string> = new Set();
  /** Since when jobs, by block, have waited there beside room elsewhere. */
  private stuckSince: ReadonlyMap<string, number> = new Map();
  /** The copy must have reached this revision before we build on it again. */
  private committed = 0;

  constructor(private readonly ports: DealingPorts) {}

  /** Returns the revision of the last commit. */
  async look(): Promise<number> {
    await this.dealJobs();
    if (this.ports.mirror.revision >= this.committed) await this.rebalance();
    return this.committed;
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
      if (!usage.admits(settings.teams.get(job.spec.team), needOf(job.spec))) continue;
      for (const { block, count } of census.waiting(job)) {
        if (block === undefined) continue;
        const room = rooms.of(job.spec);
        const tasks = movable(room, block, count);
        if (tasks === 0) continue;
        const key = `${block}/${job.id}`;
        const since = this.stuckSince.get(key) ?? now;
        stuck.set(key, since);
        if (now - since < settings.reportMs * stuckReports || recalls.length >= this.mostDeals) continue;
        const parts = this.without(job, block, tasks);
        if (!parts) continue;
        for (const other of room) {
          if (other.block !== block) rooms.take(job.spec, other.block, clamp(other.free, tasks));
        }
        stuck.delete(key);
        recalls.push(this.place(job, parts));
        break;
      }
    }
    this.stuckSince = stuck;
    await Promise.all(recalls);
  }

  /** Tasks that depend on each other's zones stay with one block, so all of them go or none. */
  private without(job: CensusJob, block: number, tasks: number): Part[] | undefined {
    const { census } = this.ports;
    const { spec, parts, id } = job;
    if (!bound(spec)) return takeBack(parts, block, census.entries(id), tasks);
    const { done, active } = census.progress(id);
    return done + active > 0 ? undefined : takeBack(parts, block, census.entries(id), spec.tasks);
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
    const { commits, log, term } = this.ports;
    const outcome = await commits.commit(
      [
        { key: leadKey, version: term.token },
        { key: jobKey(job.id), version: job.version },
      ],
      [{ put: jobKey(job.id), value: jobRecord({ spec: job.spec, parts }) }],
    );
    if (outcome.kind === 'applied') this.committed = Math.max(this.committed, outcome.revision);
    log.debug({ event: 'job-dealt', job: job.id, parts, outcome: outcome.kind }, 'job dealt to blocks');
  }
}

/** How many of a job's tasks that wait in a block have no room there and some in others. */
function movable(room: Room[], block: number, waiting: number): number {
  const own = room.find((r) => r.block === block);
  // A block whose owner is gone has none.
  const over = own ? clamp(-own.free, waiting) : waiting;
  const elsewhere = room.reduce((sum, r) => sum + (r === own ? 0 : Math.max(0, r.free)), 0);
  return Math.min(over, elsewhere);
}

function clamp(value: number, most: number): number {
  return Math.max(0, Math.min(most, value));
}
