/**
 * Writes of blocks: a record that commits are conditioned on, and pages that name the machines of large
 * blocks.
 */
import type { Settings } from '../settings/settings.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { CommitOutcome } from '../store/transactions.js';
import { type BlockRecord, blockRecord, pagedBlockRecord, tokenOfOwnCommit } from '../wire/block-records.js';
import { sizeOf } from '../wire/codec.js';
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

/** The result of a write, which may have been made in several commits. */
export interface BlockWriteResult {
  /** Of the last commit that was tried. */
  outcome: CommitOutcome;
  /** The version of the block's record that the last commit was conditioned on. */
  version: number;
}

/** What writes of blocks work with. */
export interface BlockWriterPorts {
  settings: Pick<Settings, 'state'>;
  registry: Pick<BlockRegistry, 'blockVersion' | 'storedBlock' | 'isClusterUpgraded'>;
  commits: Pick<CommitQueue, 'commit'>;
}

/** A write of a block, as it stands when it begins. */
interface BlockWrite {
  block: number;
  next: BlockRecord;
  /** Version of the block's record that the write replaces. */
  version: number;
  /** What has to hold beside that. */
  guards: Condition[];
}

/** One commit of a write on pages. */
interface PageCommit {
  conditions: Condition[];
  changes: PageChange[];
  /** Written as well, if the commit is one that may write it. */
  record: BlockRecord | undefined;
}

/** A record that takes more than this part of a value leaves the naming of its machines to pages. */
const maxInlineRecordRatio = 1 / 2;

/**
 * Earlier versions read only records that name all machines, so these are written until every controller has
 * run with this one, and after that for as long as they are small. The machines of larger blocks are on
 * pages, and a change of more pages than a transaction holds is made in several commits. Each of these is
 * safe by itself, since what it says of one machine does not depend on another, and each has a new version of
 * the record, so that no intent is committed on an earlier one. Pages beside a record that still names the
 * machines itself mean nothing: they are prepared first, and count from the one commit that takes the
 * machines out of the record.
 */
export class BlockWriter {
  constructor(private readonly ports: BlockWriterPorts) {}

  /**
   * Writes the block on condition that it is as the replica of the store has it. Settles when the last commit
   * is decided; of a write in several commits, the first that is not applied ends it. `guards`: what has to
   * hold beside that.
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

  /** Once on pages, a block stays there: whoever wrote it so knew that all controllers read it. */
  private needsPages(block: number, next: BlockRecord): boolean {
    const { registry, settings } = this.ports;
    if (registry.storedBlock(block)?.isInline === false) return true;
    if (!registry.isClusterUpgraded) return false;
    return sizeOf(blockRecord(next)) > settings.state.valueBytes * maxInlineRecordRatio;
  }

  private async writePages({ block, next, guards, ...start }: BlockWrite): Promise<BlockWriteResult> {
    const { settings, registry } = this.ports;
    const stored = registry.storedBlock(block);
    const wasInline = stored?.isInline === true;
    const pages = assignPages(next.machines, machinePageBytes(settings));
    const changes = changedPages(stored, pages);
    const pageVersions = new Map(stored?.pageVersions);
    // One of a transaction's operations is left for the record.
    const pagesPerCommit = settings.state.txnOps - 1;
    let record = next;
    let { version } = start;
    for (let written = 0; ; written += pagesPerCommit) {
      const step = changes.slice(written, written + pagesPerCommit);
      const isLast = written + pagesPerCommit >= changes.length;
      // While the record names the machines itself, only the last commit may write it, and counts on all
      // pages.
      const writesRecord = isLast || !wasInline;
      const countedPages = isLast && wasInline ? pages.keys() : step.map(({ page }) => page);
      const outcome = await this.commitPages(block, {
        conditions: [
          ...guards,
          { key: blockKey(block), version },
          ...pageConditions(block, pageVersions, countedPages),
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
 * New fencing tokens come from the first commit that writes the record: later ones must not raise them again.
 */
function withFencingToken(record: BlockRecord, firstRevision: number): BlockRecord {
  return record.leaseFencingToken === tokenOfOwnCommit
    ? { ...record, leaseFencingToken: firstRevision }
    : record;
}
