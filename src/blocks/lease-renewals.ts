/**
 * Renews the leases of this controller's blocks after a restart of the process, or to change the layout of a
 * block's ledger. A block is a set of machines with the tasks placed on them, leased to one controller. The
 * ledger of a block records which of its tasks are assigned to machines or done.
 */
import type { Log } from '../base/log.js';
import type { Settings } from '../settings/settings.js';
import type { CommitOutcome } from '../store/transactions.js';
import type { BlockRecord } from '../wire/block-records.js';
import { leaseBlock } from './block-assignment.js';
import type { BlockWriter } from './block-writer.js';

/** The dependencies of lease renewals. */
export interface LeaseRenewalsPorts {
  log: Log;
  settings: Pick<Settings, 'label' | 'zone'>;
  /** Identifies this incarnation of the controller process. */
  incarnation: string;
  writer: Pick<BlockWriter, 'write'>;
}

/**
 * Why a lease is renewed.
 *
 * `new-incarnation`: the block is leased to an earlier incarnation of this controller. The latest heartbeats
 * were kept only in the memory of the earlier incarnation, and transactions that the earlier incarnation sent
 * may still be in flight.
 *
 * `new-layout`: the ledger of the block is to be written in another layout, and nothing may be committed in
 * the old layout after the renewal.
 *
 * In both cases the machines get new fencing tokens, which invalidate the earlier fencing tokens. The block
 * gets a new version, so transactions that are still in flight conflict.
 */
export type RenewalReason = 'new-incarnation' | 'new-layout';

/**
 * Renews the leases of blocks. At most one renewal may be in flight at a time. Records the store revision of
 * the latest applied renewal of each block.
 */
export class LeaseRenewals {
  private isInFlight = false;
  private readonly renewalRevisions = new Map<number, number>();
  private readonly layoutRenewalRevisions = new Map<number, number>();

  constructor(private readonly ports: LeaseRenewalsPorts) {}

  /**
   * Whether the renewal of any lease is in flight. Callers must not start another renewal before that renewal
   * has settled.
   */
  get isRenewing(): boolean {
    return this.isInFlight;
  }

  /**
   * Store revision of the latest applied renewal of the block's lease by this process; undefined if this
   * process has not renewed the lease.
   */
  renewalRevision(block: number): number | undefined {
    return this.renewalRevisions.get(block);
  }

  /** Same as `renewalRevision`, but only for renewals with the reason `new-layout`. */
  layoutRenewalRevision(block: number): number | undefined {
    return this.layoutRenewalRevisions.get(block);
  }

  /**
   * Renews the lease of the block. Does not modify `record`. The caller receives the new record through the
   * replica of the store. Settles when the outcome of the commit is known. The caller must retry a renewal
   * that was not applied.
   */
  async renew(block: number, record: BlockRecord, reason: RenewalReason): Promise<void> {
    const { settings, incarnation, log, writer } = this.ports;
    this.isInFlight = true;
    try {
      const renewed = { ...record, machines: record.machines.map((machine) => ({ ...machine })) };
      leaseBlock(renewed, { label: settings.label, incarnation, zone: settings.zone });
      const { outcome } = await writer.write(block, renewed);
      if (outcome.kind === 'applied') {
        this.renewalRevisions.set(block, outcome.revision);
        if (reason === 'new-layout') this.layoutRenewalRevisions.set(block, outcome.revision);
      }
      log.info(
        { event: 'lease-renewed', block, reason, outcome: outcome.kind, ...revisionOf(outcome) },
        'renewal of a block lease by its owner finished; if not applied, the owner retries the renewal',
      );
    } finally {
      this.isInFlight = false;
    }
  }
}

function revisionOf(outcome: CommitOutcome): { revision?: number } {
  return outcome.kind === 'applied' ? { revision: outcome.revision } : {};
}
