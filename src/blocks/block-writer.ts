/**
 * Writes the record of a block, and the pages that list the machines of a large block. A block is a set of
 * machines with the tasks placed on them, leased to one controller. Commits that concern the block are
 * conditioned on the version of its record.
 */
import type { Settings } from '../settings/settings.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { CommitOutcome } from '../store/transactions.js';
import {
  type BlockRecord,
  blockRecord,
  pagedBlockRecord,
  tokenFromCommitRevision,
} from '../wire/block-records.js';
import { jsonSizeBytes } from '../wire/codec.js';
import { blockKey } from '../wire/keys.js';
import type { Condition } from '../wire/state.js';
import type { BlockRegistry } from './block-registry.js';
import {
  assignPages,
  changedPages,
  machinePageBytes,
  type PageChange,
  pageConditions,
  pageWrite,
} from './machine-pages.js';

/** The result of a write of a block, which may consist of several commits. */
export interface BlockWriteResult {
  /** The outcome of the final commit that was attempted. */
  outcome: CommitOutcome;
  /** The version of the block's record on which the final commit was conditioned. */
  version: number;
}

/** The dependencies of a block writer. */
export interface BlockWriterPorts {
  settings: Pick<Settings, 'state'>;
  registry: Pick<BlockRegistry, 'blockVersion' | 'storedBlock' | 'isClusterUpgraded'>;
  commits: Pick<CommitQueue, 'commit'>;
}

/** A requested write of a block. */
interface BlockWrite {
  block: number;
  next: BlockRecord;
  /** Version of the block's record that the write replaces. */
  version: number;
  /** Conditions of every commit of the write, in addition to the version of the record. */
  guards: Condition[];
}

/**
 * One commit of a block write in the paged layout. A block write consists of several commits if more pages
 * change than fit into one transaction.
 */
interface PageCommit {
  conditions: Condition[];
  changes: PageChange[];
  /** The block record to write in the same commit; undefined if this commit must not write the record. */
  record: BlockRecord | undefined;
}

/**
 * Maximum size of a block record that lists the machines, as a fraction of the size limit of a store value.
 * If the record would be larger, the machines are written to pages.
 */
const maxInlineRecordRatio = 1 / 2;

/**
 * Writes blocks in one of two formats. Earlier versions of the program read only records that list all
 * machines of the block. The writer therefore writes such records until every controller has run with this
 * version. After that, it lists the machines in the record only if the record is small, and otherwise writes
 * them to pages.
 *
 * If more pages change than fit into a transaction, the block is written in several commits. Each commit is
 * safe by itself, because the entries of different machines do not depend on each other. If the machines of
 * the block are already on pages, each commit also gives the record a new version, so that the commits of
 * intents that are based on an earlier version conflict. An intent is a planned task attempt that has to be
 * committed to the ledger before its start command is sent.
 *
 * The pages of a block are not valid while its record still lists the machines. When a block is converted to
 * the paged layout, the pages are written first. They become valid with the commit that removes the machines
 * from the record.
 */
export class BlockWriter {
  constructor(private readonly ports: BlockWriterPorts) {}

  /**
   * Writes the block on condition that its version in the store is still the version in the replica. Settles
   * when the outcome of the final commit is known. A write in several commits ends at the first commit that
   * is not applied.
   *
   * @param block number of the block
   * @param next the record to write
   * @param guards additional conditions of every commit
   */
  async write(block: number, next: BlockRecord, guards: Condition[] = []): Promise<BlockWriteResult> {
    const { registry, commits } = this.ports;
    const version = registry.blockVersion(block);
    if (this.needsPages(block, next)) return this.writePages({ block, next, version, guards });
    const key = blockKey(block);
    const outcome = await commits.commit(
      [...guards, { key, version }],
      [{ put: key, value: blockRecord(next) }],
    );
    return { outcome, version };
  }

  /**
   * Whether the machines of the block must be written to pages. A block whose machines are already on pages
   * keeps this layout, because the controller that wrote the pages had checked that all controllers can read
   * them.
   */
  private needsPages(block: number, next: BlockRecord): boolean {
    const { registry, settings } = this.ports;
    if (registry.storedBlock(block)?.isInline === false) return true;
    if (!registry.isClusterUpgraded) return false;
    return jsonSizeBytes(blockRecord(next)) > settings.state.valueBytes * maxInlineRecordRatio;
  }

  private async writePages({ block, next, guards, ...start }: BlockWrite): Promise<BlockWriteResult> {
    const { settings, registry } = this.ports;
    const stored = registry.storedBlock(block);
    const wasInline = stored?.isInline === true;
    const pages = assignPages(next.machines, machinePageBytes(settings));
    const changes = changedPages(stored, pages);
    const pageVersions = new Map(stored?.pageVersions);
    // One operation of each transaction is reserved for the block record.
    const pagesPerCommit = settings.state.txnOps - 1;
    let record = next;
    let { version } = start;
    for (let written = 0; ; written += pagesPerCommit) {
      const step = changes.slice(written, written + pagesPerCommit);
      const isLast = written + pagesPerCommit >= changes.length;
      // If the stored record lists the machines, only the final commit may write the record. That commit
      // makes all pages valid, so it is conditioned on the versions of all pages.
      const writesRecord = isLast || !wasInline;
      const conditionedPages = isLast && wasInline ? pages.keys() : step.map(({ page }) => page);
      const outcome = await this.commitPages(block, {
        conditions: [
          ...guards,
          { key: blockKey(block), version },
          ...pageConditions(block, pageVersions, conditionedPages),
        ],
        changes: step,
        record: writesRecord ? record : undefined,
      });
      if (outcome.kind !== 'applied' || isLast) return { outcome, version };
      for (const { page } of step) pageVersions.set(page, outcome.revision);
      if (!writesRecord) continue;
      version = outcome.revision;
      record = withFencingToken(record, version);
    }
  }

  private commitPages(block: number, { conditions, changes, record }: PageCommit): Promise<CommitOutcome> {
    const writes = changes.map((change) => pageWrite(block, change));
    if (record) writes.push({ put: blockKey(block), value: pagedBlockRecord(record) });
    return this.ports.commits.commit(conditions, writes);
  }
}

/**
 * If the write leases the block, the new fencing tokens are the revision of the first commit that writes the
 * record. Later commits of the same write store that revision, so that they do not raise the fencing tokens
 * again.
 */
function withFencingToken(record: BlockRecord, firstRevision: number): BlockRecord {
  return record.leaseFencingToken === tokenFromCommitRevision
    ? { ...record, leaseFencingToken: firstRevision }
    : record;
}
