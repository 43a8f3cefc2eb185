/**
 * Starts a block when it is leased to this controller, and stops the block when the lease ends. The leases
 * are read from the replica of the store. A block is a set of machines with the tasks placed on them.
 */
import { logUnexpectedFailure } from '../base/unexpected-failures.js';
import type { BlockState } from '../placement/block-state.js';
import { type LedgerLayout, ledgerLayout } from '../placement/ledger-layout.js';
import type { MachineState } from '../placement/machine-state.js';
import type { Scheduler } from '../placement/scheduler.js';
import type { BlockRecord } from '../wire/block-records.js';
import type { Change } from '../wire/state.js';
import type { BlockRegistry } from './block-registry.js';
import { BlockWriter } from './block-writer.js';
import { LeaseRenewals, type RenewalReason } from './lease-renewals.js';
import { OwnedBlock, type OwnedBlockPorts } from './owned-block.js';

/** The dependencies of the owned blocks of one controller. */
export interface OwnedBlocksPorts extends OwnedBlockPorts {
  registry: BlockRegistry;
  /**
   * Identifies this incarnation of the controller process. A lease to an earlier incarnation must be renewed
   * before the block is used.
   */
  incarnation: string;
  /** Time in ms since the replica of the store was last known to contain all changes of the store. */
  replicaAgeMs: () => number;
  /** Fires when the controller stops. */
  signal: AbortSignal;
}

/** A machine of an owned block, with the state and the scheduler of the block. */
export interface OwnedMachine {
  blockState: BlockState;
  scheduler: Scheduler;
  machine: MachineState;
}

/** The blocks that are leased to this controller, each with its state, scheduler and health monitor. */
export class OwnedBlocks {
  private readonly owned = new Map<number, OwnedBlock>();
  private readonly renewals: LeaseRenewals;

  constructor(private readonly ports: OwnedBlocksPorts) {
    this.renewals = new LeaseRenewals({ ...ports, writer: new BlockWriter(ports) });
    // A controller that is stopping receives no more heartbeats. The health monitors are therefore stopped
    // when the signal fires, so that they do not release machines because of missing heartbeats.
    ports.signal.addEventListener('abort', () => this.stopAll(), { once: true });
  }

  /** The states of all blocks that this controller currently owns. */
  blockStates(): BlockState[] {
    return [...this.owned.values()].map((owned) => owned.blockState);
  }

  /**
   * Finds a machine by its id in the blocks that this controller owns. Returns undefined if no owned block
   * contains the machine, or if the machine does not have a fencing token yet.
   */
  findMachine(id: string): OwnedMachine | undefined {
    for (const { blockState, scheduler } of this.owned.values()) {
      const machine = blockState.machines.get(id);
      if (machine && machine.fencingToken > 0) return { blockState, scheduler, machine };
    }
    return undefined;
  }

  /**
   * Must be called after every batch of changes of the replica. Starts blocks whose lease to this controller
   * has begun, and stops blocks whose lease to this controller has ended. Starts lease renewals that are
   * necessary, and applies the changes to the states of the owned blocks.
   */
  applyChanges(changes: Change[]): void {
    const { registry, settings, signal } = this.ports;
    if (signal.aborted) return;
    const blocks = registry.blocks();
    const layout = ledgerLayout(settings, registry.isClusterUpgraded);
    for (const owned of this.owned.values()) {
      if (this.mustStop(owned, blocks.get(owned.block), layout)) this.stopBlock(owned);
      else if (owned.blockState.applyChanges(changes)) owned.scheduler.requestRound();
    }
    for (const [block, record] of blocks) {
      if (record.owner === settings.label) this.applyLease(block, record, layout);
    }
  }

  /**
   * Whether the block must be stopped because its lease to this incarnation has ended, or because its ledger
   * layout is outdated and the replica has received the renewal of the lease for the new layout. After such a
   * renewal the machines have new fencing tokens and the block has a new version, so commits in flight
   * conflict. The block is then stopped and started again, in the same way as after a restart of the process.
   */
  private mustStop(owned: OwnedBlock, record: BlockRecord | undefined, layout: LedgerLayout): boolean {
    const { settings, incarnation, registry } = this.ports;
    if (record?.owner !== settings.label || record.incarnation !== incarnation) return true;
    const renewalRevision = this.renewals.layoutRenewalRevision(owned.block);
    return (
      hasOutdatedLayout(owned, layout) &&
      renewalRevision !== undefined &&
      registry.blockVersion(owned.block) >= renewalRevision
    );
  }

  /**
   * Handles the record of a block that is leased to this controller. Starts a renewal of the lease if
   * necessary. Starts or updates the block if the block can be used under the current lease.
   */
  private applyLease(block: number, record: BlockRecord, layout: LedgerLayout): void {
    const { renewals } = this;
    const reason = this.renewalReason(block, record, layout);
    const isRenewed = reason === 'new-layout' && renewals.layoutRenewalRevision(block) !== undefined;
    if (reason !== undefined && !isRenewed && !renewals.isRenewing) this.renewLease(block, record, reason);
    if (reason === 'new-incarnation') return;
    // A block in the old layout must not use the version that the renewal creates. With that version, the
    // commits of the block would no longer conflict, but nothing may be committed in the old layout after the
    // renewal.
    if (reason === 'new-layout' && renewals.isRenewing) return;
    const version = this.ports.registry.blockVersion(block);
    // If the replica has not received the latest renewal yet, the record still contains the fencing tokens
    // from before the renewal.
    if (version < (renewals.renewalRevision(block) ?? 0)) return;
    const { blockState, scheduler } = this.owned.get(block) ?? this.startBlock(block, layout);
    if (blockState.version === version) return;
    blockState.applyBlockRecord(record, version);
    scheduler.requestRound();
  }

  /**
   * Starts a renewal of the lease without waiting for the outcome. If the renewal rejects, the error is
   * unexpected. The error is logged and thrown again, and ends the process as an unhandled rejection.
   */
  private renewLease(block: number, record: BlockRecord, reason: RenewalReason): void {
    this.renewals.renew(block, record, reason).catch((error: unknown) => {
      logUnexpectedFailure(this.ports.log, 'lease-renewal', error);
      throw error;
    });
  }

  /** Why the lease of the block must be renewed; undefined if no renewal is necessary. */
  private renewalReason(block: number, record: BlockRecord, layout: LedgerLayout): RenewalReason | undefined {
    if (record.incarnation !== this.ports.incarnation) return 'new-incarnation';
    return hasOutdatedLayout(this.owned.get(block), layout) ? 'new-layout' : undefined;
  }

  private startBlock(block: number, layout: LedgerLayout): OwnedBlock {
    const owned = new OwnedBlock(block, layout, this.ports);
    this.owned.set(block, owned);
    const { log, registry, replica, replicaAgeMs } = this.ports;
    log.info(
      {
        event: 'lease-started',
        block,
        jobs: owned.blockState.jobs.size,
        chunkTasks: layout.chunkTasks,
        leaseRevision: registry.blockVersion(block),
        revision: replica.revision,
        replicaAgeMs: Math.round(replicaAgeMs()),
      },
      'lease of a block to this controller started; scheduling its tasks',
    );
    return owned;
  }

  private stopBlock(owned: OwnedBlock): void {
    owned.stop();
    this.owned.delete(owned.block);
    this.ports.log.info(
      { event: 'lease-ended', block: owned.block },
      'lease of a block to this controller ended; scheduler and health monitor of the block stopped',
    );
  }

  private stopAll(): void {
    for (const owned of this.owned.values()) this.stopBlock(owned);
  }
}

function hasOutdatedLayout(owned: OwnedBlock | undefined, layout: LedgerLayout): boolean {
  return owned !== undefined && owned.layout.chunkTasks !== layout.chunkTasks;
}
