/** The blocks that are leased to this controller: follows the leases in the replica of the store. */
import { logDefect } from '../base/defects.js';
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

/** What the blocks of one controller need from it. */
export interface OwnedBlocksPorts extends OwnedBlockPorts {
  registry: BlockRegistry;
  /** Identifies this run of the controller process: leases to earlier ones are renewed before use. */
  incarnation: string;
  /** Fires when the controller stops. */
  signal: AbortSignal;
}

/** A machine of an owned block, with the block's state and scheduler. */
export interface OwnedMachine {
  blockState: BlockState;
  scheduler: Scheduler;
  machine: MachineState;
}

/** The blocks that are leased to this controller, each with its state and its routines. */
export class OwnedBlocks {
  private readonly owned = new Map<number, OwnedBlock>();
  private readonly renewals: LeaseRenewals;

  constructor(private readonly ports: OwnedBlocksPorts) {
    this.renewals = new LeaseRenewals({ ...ports, writer: new BlockWriter(ports) });
    // A controller that is stopping must not release machines because it no longer receives their heartbeats.
    ports.signal.addEventListener('abort', () => this.stopAll(), { once: true });
  }

  /** The states of all blocks that are owned now. */
  blockStates(): BlockState[] {
    return [...this.owned.values()].map((owned) => owned.blockState);
  }

  /** The machine by its id, if a block of this controller has it with a fencing token. */
  findMachine(id: string): OwnedMachine | undefined {
    for (const { blockState, scheduler } of this.owned.values()) {
      const machine = blockState.machines.get(id);
      if (machine && machine.fencingToken > 0) return { blockState, scheduler, machine };
    }
    return undefined;
  }

  /**
   * To be called after every batch of changes of the replica: starts the blocks whose lease to this
   * controller has begun, stops those whose lease has ended, renews leases where that is due, and passes the
   * changes on to the blocks' states.
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
   * A block whose ledger layout is outdated is kept until its lease has been renewed, with new fencing tokens
   * and a version that makes commits in flight conflict. It is then stopped, and started again as after a
   * restart of the process.
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

  /** Applies the record of a block that is leased to this controller. */
  private applyLease(block: number, record: BlockRecord, layout: LedgerLayout): void {
    const { renewals } = this;
    const reason = this.renewalReason(block, record, layout);
    const isRenewed = reason === 'new-layout' && renewals.layoutRenewalRevision(block) !== undefined;
    if (reason !== undefined && !isRenewed && !renewals.isRenewing) this.renewLease(block, record, reason);
    if (reason === 'new-incarnation') return;
    // Nothing may be committed in the old layout under the version of the renewal.
    if (reason === 'new-layout' && renewals.isRenewing) return;
    const version = this.ports.registry.blockVersion(block);
    // The replica has yet to reach the renewal, and still names the fencing tokens from before it.
    if (version < (renewals.renewalRevision(block) ?? 0)) return;
    const { blockState, scheduler } = this.owned.get(block) ?? this.startBlock(block, layout);
    if (blockState.version === version) return;
    blockState.applyBlockRecord(record, version);
    scheduler.requestRound();
  }

  /**
   * Nobody waits for the renewal, so a failure that it does not account for is logged before it ends the
   * process.
   */
  private renewLease(block: number, record: BlockRecord, reason: RenewalReason): void {
    this.renewals.renew(block, record, reason).catch((error: unknown) => {
      logDefect(this.ports.log, 'lease-renewal', error);
      throw error;
    });
  }

  /** Why the block cannot be used under its present lease; undefined: it can. */
  private renewalReason(block: number, record: BlockRecord, layout: LedgerLayout): RenewalReason | undefined {
    if (record.incarnation !== this.ports.incarnation) return 'new-incarnation';
    return hasOutdatedLayout(this.owned.get(block), layout) ? 'new-layout' : undefined;
  }

  private startBlock(block: number, layout: LedgerLayout): OwnedBlock {
    const owned = new OwnedBlock(block, layout, this.ports);
    this.owned.set(block, owned);
    const jobs = owned.blockState.jobs.size;
    const { chunkTasks } = layout;
    this.ports.log.info({ event: 'lease-started', block, jobs, chunkTasks }, 'lease of the block started');
    return owned;
  }

  private stopBlock(owned: OwnedBlock): void {
    owned.stop();
    this.owned.delete(owned.block);
    this.ports.log.info({ event: 'lease-ended', block: owned.block }, 'lease of the block ended');
  }

  private stopAll(): void {
    for (const owned of this.owned.values()) this.stopBlock(owned);
  }
}

function hasOutdatedLayout(owned: OwnedBlock | undefined, layout: LedgerLayout): boolean {
  return owned !== undefined && owned.layout.chunkTasks !== layout.chunkTasks;
}
