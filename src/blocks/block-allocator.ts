/**
 * Runs the leader's loop, which assigns owners, machines and quota shares to blocks and dispatches jobs to
 * blocks. A block is a set of machines with the tasks placed on them, leased to one controller. A quota share
 * is the part of a team's resource limit that one block may use.
 */
import { type Clock, sleep } from '../base/clock.js';
import { nextEventLoopIteration } from '../base/event-loop.js';
import type { JobIndex } from '../placement/job-index.js';
import type { Settings } from '../settings/settings.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { BlockRecord, LeasedMachine } from '../wire/block-records.js';
import { assignBlocks, type MachineIdSet } from './block-assignment.js';
import type { BlockRegistry } from './block-registry.js';
import { Dispatcher, type DispatcherPorts } from './dispatcher.js';
import { type LeaderTerm, LeaseWriter } from './lease-writer.js';
import { LiveMembers } from './live-members.js';
import { QuotaShareAllocator } from './quota-share-allocator.js';

/** The state of rented machines that the leader tracks in addition to the block records. */
export interface RentedMachines {
  /** Machines that have not been added to a block yet, by id. */
  readonly unassigned: ReadonlyMap<string, LeasedMachine>;
  /** Machines that are proven to be terminated. */
  readonly terminated: MachineIdSet;
  /** Machines that are to be released. No further tasks may be placed on them. */
  readonly toDrain: ReadonlySet<string>;
  /** Machines that the cloud no longer lists and that are not yet proven to be terminated. */
  readonly presumedTerminated: ReadonlySet<string>;
  /**
   * Number of slots that the block's waiting tasks need on machines of the same type and kind (spot or
   * ordinary) as `machine`. Here a slot is the unit of the ladder, a fixed share of a machine's dominant
   * resource (see `ladder/slots.ts`), and not the space for one task.
   */
  waitingSlots(block: number, machine: LeasedMachine): number;
}

/** The dependencies of the allocator during one term of leadership. */
export interface BlockAllocatorPorts extends DispatcherPorts {
  clock: Clock;
  settings: Settings;
  commits: CommitQueue;
  jobIndex: JobIndex;
  registry: BlockRegistry;
  term: LeaderTerm;
  store: { readonly failing: boolean };
  rentedMachines: RentedMachines;
  /**
   * Time in ms for which quota shares are kept. Shares are reallocated earlier if waiting tasks exceed the
   * quota share of their block.
   */
  quotaSharePeriodMs: number;
  /** Identifies this incarnation of the controller process. */
  incarnation: string;
}

const pollIntervalMs = 200;
/**
 * Minimum time between two assignments of blocks that are not urgent, in heartbeat intervals. The time is
 * longer if the machines of any block are listed on pages, which are store values separate from the block
 * record, because a write of such a block also changes pages.
 */
const batchingHeartbeats = { inline: 1 / 2, paged: 1 };

/**
 * Assigns blocks and dispatches jobs during one term of leadership. A round starts only after the replica of
 * the store has received all commits of the previous rounds.
 */
export class BlockAllocator {
  private blocksAssignedAt = -Infinity;
  private dispatchedRevision = 0;
  private readonly members: LiveMembers;
  private readonly quotaShares: QuotaShareAllocator;
  private readonly leases: LeaseWriter;
  private readonly dispatcher: Dispatcher;

  constructor(private readonly ports: BlockAllocatorPorts) {
    this.members = new LiveMembers(ports);
    this.quotaShares = new QuotaShareAllocator(ports);
    this.leases = new LeaseWriter(ports);
    this.dispatcher = new Dispatcher(ports);
  }

  /**
   * Runs rounds until the term ends. Starts no round while the store is failing, or while the replica has not
   * received all commits of the previous rounds.
   */
  async run(): Promise<void> {
    const { signal } = this.ports.term;
    while (!signal.aborted) {
      await sleep(pollIntervalMs, signal);
      if (this.canRunRound()) await this.runRound();
    }
  }

  private async runRound(): Promise<void> {
    await this.assignBlocks();
    await nextEventLoopIteration();
    if (this.isReplicaCurrent()) this.dispatchedRevision = await this.dispatcher.runRound();
  }

  private canRunRound(): boolean {
    const { term, store } = this.ports;
    return !term.signal.aborted && !store.failing && this.isReplicaCurrent();
  }

  /**
   * Whether the replica has received every commit from before this term, and every commit of this allocator
   * since the term began.
   */
  private isReplicaCurrent(): boolean {
    const { term, replica } = this.ports;
    const revisions = [term.fencingToken, this.leases.committedRevision, this.dispatchedRevision];
    return replica.revision >= Math.max(...revisions);
  }

  private async assignBlocks(): Promise<void> {
    const { settings, registry, clock } = this.ports;
    if (await this.leases.supersedeUnknownCommits()) return;
    // Do not add an `await` between this line and the commits. Each commit is conditioned on the current
    // version of its block, and the new block record must be built from that same version.
    const blocks = registry.blocks();
    const members = this.members.update();
    // Changes that are not urgent are batched. Each new version of a block causes commit conflicts for the
    // intents that the owner of the block is committing at that time. An intent is a planned task attempt
    // that has to be committed to the ledger before its start command is sent.
    const isUrgent = blocks.size < settings.controllers || this.hasDeadOwner(blocks);
    if (!isUrgent && clock() - this.blocksAssignedAt < this.batchingMs(blocks)) return;
    this.blocksAssignedAt = clock();
    const next = this.nextBlocks(blocks, members);
    // Each block is committed separately, because several records of maximum size would exceed the size limit
    // of a transaction. If one commit fails, the other commits are still safe, because a machine or a part of
    // a team's limit is assigned to a block only after it has been removed from every other block.
    await Promise.all(
      [...next].map(([block, record]) => this.leases.write(block, blocks.get(block), record)),
    );
  }

  private nextBlocks(
    blocks: ReadonlyMap<number, BlockRecord>,
    members: ReturnType<LiveMembers['update']>,
  ): Map<number, BlockRecord> {
    const { settings, jobIndex, rentedMachines } = this.ports;
    const labels = members.map((member) => member.label);
    return assignBlocks({
      blockCount: settings.controllers,
      blocks,
      liveMembers: members,
      stableMembers: new Set(labels.filter((label) => this.members.isStable(label))),
      unassignedMachines: [...rentedMachines.unassigned.values()],
      terminatedMachines: rentedMachines.terminated,
      machinesWithTasks: jobIndex.machineLoads(),
      drainingMachines: new Set([...rentedMachines.toDrain, ...rentedMachines.presumedTerminated]),
      waitingSlots: (block, machine) => rentedMachines.waitingSlots(block, machine),
      quotaShares: this.quotaShares.nextShares(blocks),
    });
  }

  private batchingMs(blocks: ReadonlyMap<number, BlockRecord>): number {
    const { registry, settings } = this.ports;
    const isPaged = [...blocks.keys()].some((block) => registry.storedBlock(block)?.isInline === false);
    const heartbeats = isPaged ? batchingHeartbeats.paged : batchingHeartbeats.inline;
    return settings.heartbeatIntervalMs * heartbeats;
  }

  private hasDeadOwner(blocks: ReadonlyMap<number, BlockRecord>): boolean {
    return [...blocks.values()].some((record) => !this.ports.registry.isAlive(record.owner));
  }
}
