/** The leader's loop that assigns owners, machines and quota shares to blocks, and dispatches jobs to them. */
import { type Clock, sleep } from '../base/clock.js';
import { nextTurn } from '../base/turns.js';
import type { JobIndex } from '../placement/job-index.js';
import type { Settings } from '../settings/settings.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { BlockRecord, LeasedMachine } from '../wire/block-records.js';
import { assignBlocks, type MachineSet } from './block-assignment.js';
import type { BlockRegistry } from './block-registry.js';
import { Dispatcher, type DispatcherPorts } from './dispatcher.js';
import { type LeaderTerm, LeaseWriter } from './lease-writer.js';
import { LiveMembers } from './live-members.js';
import { QuotaShareAllocator } from './quota-share-allocator.js';

/** What the leader knows of rented machines beside the blocks' records. */
export interface RentedMachines {
  /** Machines that belong to no block yet, by id. */
  readonly unassigned: ReadonlyMap<string, LeasedMachine>;
  /** Machines that are proven terminated. */
  readonly terminated: MachineSet;
  /** Machines that are to be released: nothing more may be placed on them. */
  readonly toDrain: ReadonlySet<string>;
  /** Machines that are no longer listed by the cloud, and not yet proven terminated. */
  readonly presumedTerminated: ReadonlySet<string>;
  /** Slots that wait in the block for machines like this one. */
  waitingSlots(block: number, machine: LeasedMachine): number;
}

/** What the allocator works with during one term of leadership. */
export interface BlockAllocatorPorts extends DispatcherPorts {
  clock: Clock;
  settings: Settings;
  commits: CommitQueue;
  jobIndex: JobIndex;
  registry: BlockRegistry;
  term: LeaderTerm;
  store: { readonly failing: boolean };
  rentedMachines: RentedMachines;
  /** Quota shares are kept for this long, unless work waits for want of a share. */
  quotaSharePeriodMs: number;
  /** Identifies this run of the controller process. */
  incarnation: string;
}

const pollIntervalMs = 200;
/**
 * How long changes of blocks that are not urgent are gathered, in heartbeat intervals. A block whose machines are on pages
 * costs a change of each page as well.
 */
const batchingHeartbeats = { inline: 1 / 2, paged: 1 };

/** Assigns blocks and dispatches jobs for one term. Each round builds on a replica that has its own last commits. */
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

  /** Runs until the term ends. Pauses while the store fails or the replica lacks the last commits. */
  async run(): Promise<void> {
    const { signal } = this.ports.term;
    while (!signal.aborted) {
      await sleep(pollIntervalMs, signal);
      if (this.mayDecide()) await this.runRound();
    }
  }

  private async runRound(): Promise<void> {
    await this.assignBlocks();
    await nextTurn();
    if (this.isReplicaCurrent()) this.dispatchedRevision = await this.dispatcher.runRound();
  }

  private mayDecide(): boolean {
    const { term, store } = this.ports;
    return !term.signal.aborted && !store.failing && this.isReplicaCurrent();
  }

  /** The replica has everything that was committed before this term, and by this allocator since. */
  private isReplicaCurrent(): boolean {
    const { term, mirror } = this.ports;
    const revisions = [term.fencingToken, this.leases.committedRevision, this.dispatchedRevision];
    return mirror.revision >= Math.max(...revisions);
  }

  private async assignBlocks(): Promise<void> {
    const { settings, registry, clock } = this.ports;
    if (await this.leases.supersedeUncertain()) return;
    // From here to the commits nothing is awaited: the records that they build on are those of the versions they name.
    const blocks = registry.blocks();
    const members = this.members.update();
    // The rest is batched: every new version of a block makes the intents that its owner has in flight conflict.
    const isUrgent = blocks.size < settings.controllers || this.hasDeadOwner(blocks);
    if (!isUrgent && clock() - this.blocksAssignedAt < this.batchingMs(blocks)) return;
    this.blocksAssignedAt = clock();
    const next = this.nextBlocks(blocks, members);
    // One operation a block: several full records together would exceed a transaction. Each is safe without the others,
    // since no machine and no part of a limit is given away that another block still has.
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
