/** Renewals of block leases by the owner itself, after its own restart or for a new layout of the ledger. */
import type { Log } from '../base/log.js';
import type { Settings } from '../settings/settings.js';
import type { BlockRecord } from '../wire/block-records.js';
import { transferBlock } from './block-assignment.js';
import type { BlockWriter } from './block-writer.js';

/** What the renewals of one controller's leases work with. */
export interface LeaseRenewalsPorts {
  log: Log;
  settings: Pick<Settings, 'label' | 'zone'>;
  /** Identifies this run of the controller process. */
  incarnation: string;
  writer: Pick<BlockWriter, 'write'>;
}

/**
 * Why a lease is renewed. `new-incarnation`: the block is leased to an earlier incarnation of this
 * controller, which knew the latest heartbeats and may have left transactions in flight. `new-layout`: the
 * block's ledger is to be written in another layout, and nothing may be committed in the old one after the
 * renewal. In both cases new fencing tokens and a new version of the block invalidate what came before.
 */
export type RenewalReason = 'new-incarnation' | 'new-layout';

/** Renews one lease at a time, and remembers at which revision each block's lease was last renewed. */
export class LeaseRenewals {
  private isInFlight = false;
  private readonly renewalRevisions = new Map<number, number>();
  private readonly layoutRenewalRevisions = new Map<number, number>();

  constructor(private readonly ports: LeaseRenewalsPorts) {}

  /** A renewal of some block is in flight; no other is started meanwhile. */
  get isRenewing(): boolean {
    return this.isInFlight;
  }

  /**
   * Store revision of the last applied renewal of the block's lease by this process; undefined: there was
   * none.
   */
  renewalRevision(block: number): number | undefined {
    return this.renewalRevisions.get(block);
  }

  /** As `renewalRevision`, for renewals because of a new layout only. */
  layoutRenewalRevision(block: number): number | undefined {
    return this.layoutRenewalRevisions.get(block);
  }

  /**
   * Renews the lease of the block, whose record stays as it is. Settles when the commit is decided; the
   * result is seen in the replica of the store, and a renewal that was not applied is left to the caller to
   * repeat.
   */
  async renew(block: number, record: BlockRecord, reason: RenewalReason): Promise<void> {
    const { settings, incarnation, log, writer } = this.ports;
    this.isInFlight = true;
    try {
      const renewed = { ...record, machines: record.machines.map((machine) => ({ ...machine })) };
      transferBlock(renewed, { label: settings.label, incarnation, zone: settings.zone });
      const { outcome } = await writer.write(block, renewed);
      if (outcome.kind === 'applied') {
        this.renewalRevisions.set(block, outcome.revision);
        if (reason === 'new-layout') this.layoutRenewalRevisions.set(block, outcome.revision);
      }
      log.info(
        { event: 'lease-renewed', block, outcome: outcome.kind },
        'owner renewed the lease of its block',
      );
    } finally {
      this.isInFlight = false;
    }
  }
}
