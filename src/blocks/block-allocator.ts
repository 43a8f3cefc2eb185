/**
 * The leader's loop that assigns owners, machines and quota shares to blocks, and dispatches jobs to blocks.
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
  /** Machines that are to be released: no further tasks may be placed on them. */
  readonly toDrain: ReadonlySet<string>;
  /** Machines that the cloud no longer lists and that are not yet proven to be terminated. */
  readonly presumedTerminated: ReadonlySet<string>;
  /** How many slots the block's waiting tasks need on machines of the same kind as this machine. */
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
  /** How long quota shares are kept, unless waiting tasks exceed the quota share of their block. */
  quotaSharePeriodMs: number;
  /** Identifies this incarnation of the controller process. */
  incarnation: string;
}

const pollIntervalMs = 200;
/**
 * How long changes of blocks that are not urgent are batched, in heartbeat intervals. Batches are longer if
 * the machines of a block are on pages, because each write of the block then also changes pages.
 */
const batchingHeartbeats = { inline: 1 / 2, paged: 1 };

/**
 * Assigns blocks and dispatches jobs for one term. Each round starts only after the replica of the store has
 * reached the last commits of the allocator itself.
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
   * Runs until the term ends. Pauses while the store fails or the replica has not reached the allocator's
   * last commits.
   */
  async run(): Promise<void> {
    const { signal } = this.ports.term;
    while (!signal.aborted) {
      await sleep(pollIntervalMs, signal);
      if (this.mayDecide()) await this.runRound();
    }
  }

  private async runRound(): Promise<void> {
    await this.assignBlocks();
    await nextEventLoopIteration();
    if (this.isReplicaCurrent()) this.dispatchedRevision = await this.dispatcher.runRound();
  }

  private mayDecide(): boolean {
    const { term, store } = this.ports;
    return !term.signal.aborted && !store.failing && this.isReplicaCurrent();
  }

  /**
   * Whether the replica has reached every commit before this term, and every commit of this allocator since
   * the term began.
   */
  private isReplicaCurrent(): boolean {
    const { term, replica } = this.ports;
    const revisions = [term.fencingToken, this.leases.committedRevision, this.dispatchedRevision];
    return replica.revision >= Math.max(...revisions);
  }

  private async assignBlocks(): Promise<void> {
    const { settings, registry, clock } = this.ports;
    if (await this.leases.supersedeUnknownCommits()) return;
    // There must be no `await` between here and the commits: each commit is conditioned on the current
    // version of the block, and its record must be built from that same version.
    const blocks = registry.blocks();
    const members = this.members.update();
    // Changes that are not urgent are batched: each new version of a block makes the intent commits that the
    // owner has in flight conflict.
    const isUrgent = blocks.size < settings.controllers || this.hasDeadOwner(blocks);
    if (!isUrgent && clock() - this.blocksAssignedAt < this.batchingMs(blocks)) return;
    this.blocksAssignedAt = clock();
    const next = this.nextBlocks(blocks, members);
    // Each block is a commit operation of its own, since several full records together would exceed the size
    // limit of a transaction. Each operation is safe if another one fails: no machine and no part of a team's
    // limit is assigned to a block while another block still has it.
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
