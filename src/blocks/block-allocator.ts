import { sleep } from '../base/clock.js';
import { nextTurn } from '../base/turns.js';
import type { Autoscaler } from '../ladder/autoscaler.js';
import { needOf } from '../placement/job-index.js';
import type { Team } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { BlockRecord, QuotaShares } from '../wire/block-records.js';
import { leaderKey } from '../wire/keys.js';
import type { Condition } from '../wire/state.js';
import { BlockWriter } from './block-writer.js';
import { Dispatcher, type DispatcherPorts } from './dispatcher.js';
import { type Member, unownedBlock, assignBlocks } from './block-assignment.js';
import { type TeamDemand, allocateQuotaShares } from './quota-shares.js';

export interface BlockAllocatorPorts extends DispatcherPorts {
  store: StoreClient;
  autoscaler: Pick<Autoscaler, 'inventory' | 'waitingSlots'>;
  quotaSharePeriodMs: number;
  incarnation: string;
}

const pollIntervalMs = 200;
/** Changes of blocks that do not press are gathered for this part of a report interval. */
const batchingHeartbeats = { inline: 1 / 2, paged: 1 };

/** The leader's leasing of machines and of shares of the teams' limits; the dispatching of work follows it. */
export class BlockAllocator {
  /** The copy must have reached this revision before we build on it again. */
  private committedRevision = 0;
  private quotaSharesAllocatedAt = -Infinity;
  private blocksAssignedAt = -Infinity;
  /** Blocks with a lease of unknown fate, and the version that it was conditioned on. */
  private readonly uncertainLeases = new Map<number, number>();
  private readonly aliveSince = new Map<string, number>();
  private readonly dispatcher: Dispatcher;
  private readonly writer: BlockWriter;

  constructor(private readonly ports: BlockAllocatorPorts) {
    this.writer = new BlockWriter(ports);
    this.dispatcher = new Dispatcher(ports);
  }

  async run(): Promise<void> {
    const { term, store, mirror } = this.ports;
    while (!term.signal.aborted) {
      await sleep(pollIntervalMs, term.signal);
      if (
        term.signal.aborted ||
        store.failing ||
        mirror.revision < Math.max(term.fencingToken, this.committedRevision)
      )
        continue;
      await this.assignBlocks();
      await nextTurn();
      if (mirror.revision >= this.committedRevision)
        this.committedRevision = Math.max(this.committedRevision, await this.dispatcher.runRound());
    }
  }

  private get leadershipCondition(): Condition {
    return { key: leaderKey, version: this.ports.term.fencingToken };
  }

  private async assignBlocks(): Promise<void> {
    const { settings, registry, jobIndex, autoscaler, clock } = this.ports;
    const { inventory } = autoscaler;
    if (await this.supersedeUncertainLeases()) return;
    // From here to the commits nothing is awaited: the records that they build on are those of the versions they name.
    const blocks = registry.blocks();
    const alive = this.liveMembers();
    // What does not press is gathered: every new version of a block fails the intents that its owner has under way.
    const pressing = blocks.size < settings.controllers || this.hasOwnerLost(blocks);
    if (
      !pressing &&
      clock() - this.blocksAssignedAt < settings.heartbeatIntervalMs * this.batchingHeartbeats(blocks)
    )
      return;
    this.blocksAssignedAt = clock();
    const next = assignBlocks({
      blockCount: settings.controllers,
      blocks,
      liveMembers: alive,
      stableMembers: new Set(alive.map((m) => m.label).filter((label) => this.isStable(label))),
      unassignedMachines: [...inventory.unassigned.values()],
      terminatedMachines: inventory.terminated,
      machinesWithTasks: jobIndex.machineLoads(),
      drainingMachines: new Set([...inventory.toDrain, ...inventory.presumedTerminated]),
      waitingSlots: (block, machine) => autoscaler.waitingSlots(block, machine),
      quotaShares: this.quotaShares(blocks),
    });
    if (next.size === 0) return;
    // One operation a block: several full records together would be more than a transaction holds. Each is safe without
    // the others, since no machine and no part of a limit is given away that another block still has.
    await Promise.all([...next].map(([block, record]) => this.commitLease(block, blocks.get(block), record)));
  }

  /**
   * A lease whose fate is unknown may yet be carried out: what it gives to a block must not be given to another
   * meanwhile. So such blocks are first written as they stand, which leaves the late one without its version.
   */
  private async supersedeUncertainLeases(): Promise<boolean> {
    const { registry } = this.ports;
    const blocks = registry.blocks();
    for (const [block, version] of this.uncertainLeases) {
      if (registry.blockVersion(block) !== version) this.uncertainLeases.delete(block);
    }
    const open = [...this.uncertainLeases.keys()];
    await Promise.all(
      open.map((block) => this.commitLease(block, blocks.get(block), blocks.get(block) ?? unownedBlock())),
    );
    return open.length > 0;
  }

  private async commitLease(
    block: number,
    before: BlockRecord | undefined,
    record: BlockRecord,
  ): Promise<void> {
    const { settings, log, clock, term } = this.ports;
    const { outcome, version } = await this.writer.write(block, record, [this.leadershipCondition]);
    if (outcome.kind === 'applied') {
      this.committedRevision = Math.max(this.committedRevision, outcome.revision);
      this.logOwnerChange(block, before, record);
    } else if (outcome.kind === 'unknown') {
      this.uncertainLeases.set(block, version);
      await sleep(settings.heartbeatIntervalMs / 4, term.signal);
    } else if (outcome.kind === 'malformed') {
      log.error({ event: 'block-refused', block, machines: record.machines.length }, 'block record refused');
    } else log.debug({ event: 'lease-failed', block, outcome, at: clock() }, 'block not leased');
  }

  /** A lease of a block on pages takes changes of its pages as well. */
  private batchingHeartbeats(blocks: ReadonlyMap<number, BlockRecord>): number {
    const { registry } = this.ports;
    const isPaged = [...blocks.keys()].some((block) => registry.storedBlock(block)?.isInline === false);
    return isPaged ? batchingHeartbeats.paged : batchingHeartbeats.inline;
  }

  private hasOwnerLost(blocks: ReadonlyMap<number, BlockRecord>): boolean {
    return [...blocks.values()].some((record) => !this.ports.registry.isAlive(record.owner));
  }

  private logOwnerChange(block: number, before: BlockRecord | undefined, record: BlockRecord): void {
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

  private liveMembers(): Member[] {
    const { registry, settings, clock, incarnation } = this.ports;
    const alive = registry.liveMembers();
    // We are: a leader without its own key would be deposed.
    if (!alive.some((m) => m.label === settings.label))
      alive.push({ label: settings.label, incarnation, zone: settings.zone });
    const labels = new Set(alive.map((m) => m.label));
    for (const label of this.aliveSince.keys()) if (!labels.has(label)) this.aliveSince.delete(label);
    for (const label of labels) if (!this.aliveSince.has(label)) this.aliveSince.set(label, clock());
    return alive;
  }

  /** Back for long enough that a block given to it will not change hands again at once. */
  private isStable(label: string): boolean {
    const { clock, settings } = this.ports;
    return clock() - (this.aliveSince.get(label) ?? Infinity) > settings.heartbeatIntervalMs;
  }

  /** Shares are leased for a period, and sooner only where work waits for want of one. */
  private quotaShares(blocks: ReadonlyMap<number, BlockRecord>): Map<number, QuotaShares> {
    const { settings, clock, quotaSharePeriodMs } = this.ports;
    const limited = [...settings.teams.values()].some((team) => team.cpusMax > 0 || team.acceleratorsMax > 0);
    if (!limited) return new Map();
    const demand = this.teamDemand();
    const starved = [...blocks].some(([block, record]) =>
      [...settings.teams.values()].some((team) => isStarved(demand(block, team.name), record, team)),
    );
    if (!starved && clock() - this.quotaSharesAllocatedAt < quotaSharePeriodMs) {
      return new Map([...blocks].map(([block, record]) => [block, record.quotaShares]));
    }
    this.quotaSharesAllocatedAt = clock();
    const all = new Map<number, BlockRecord>();
    for (let block = 0; block < settings.controllers; block++) {
      all.set(block, blocks.get(block) ?? unownedBlock());
    }
    return allocateQuotaShares({ teams: settings.teams.values(), blocks: all, demand });
  }

  private teamDemand(): (block: number, team: string) => TeamDemand {
    const { jobIndex, order, wallClock } = this.ports;
    const entries = new Map<string, TeamDemand>();
    const of = (block: number, team: string): TeamDemand => {
      const key = `${block}/${team}`;
      let entry = entries.get(key);
      if (!entry) entries.set(key, (entry = { used: [0, 0], waiting: [] }));
      return entry;
    };
    for (const { page } of jobIndex.activeTasks()) {
      const { used } = of(page.block, page.team);
      used[0] += page.cpus;
      used[1] += page.accelerators;
    }
    for (const job of jobIndex.inQueueOrder(order, wallClock())) {
      for (const { block, count } of jobIndex.waitingByBlock(job)) {
        if (block !== undefined && count > 0) {
          of(block, job.spec.team).waiting.push({ need: needOf(job.spec), count });
        }
      }
    }
    return of;
  }
}

function isStarved(demand: TeamDemand, record: BlockRecord, team: Team): boolean {
  const next = demand.waiting[0];
  if (!next) return false;
  const [cpus, accelerators] = record.quotaShares[team.name] ?? [0, 0];
  return (
    (team.cpusMax > 0 && demand.used[0] + next.need.cpus > cpus + 1e-6) ||
    (team.acceleratorsMax > 0 && demand.used[1] + next.need.accelerators > accelerators + 1e-6)
  );
}
