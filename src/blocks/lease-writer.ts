/**
 * Commits block records on behalf of the leader, and supersedes commits whose outcome is unknown. A block is
 * a set of machines with the tasks placed on them, leased to one controller. Its record stores the lease.
 */
import { type Clock, sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { Settings } from '../settings/settings.js';
import type { BlockRecord } from '../wire/block-records.js';
import { leaderKey } from '../wire/keys.js';
import { unownedBlock } from './block-assignment.js';
import type { BlockRegistry } from './block-registry.js';
import { BlockWriter, type BlockWriterPorts } from './block-writer.js';

/** The term of the leader that assigns blocks and dispatches jobs. */
export interface LeaderTerm {
  /**
   * Store revision of the commit that began the term by writing the leader key. Every commit of the leader is
   * conditioned on the leader key still having this version.
   */
  readonly fencingToken: number;
  /** Fires when the term ends. */
  readonly signal: AbortSignal;
}

/** The dependencies of a lease writer. */
export interface LeaseWriterPorts extends BlockWriterPorts {
  clock: Clock;
  log: Log;
  settings: Settings;
  registry: BlockWriterPorts['registry'] & Pick<BlockRegistry, 'blocks'>;
  term: LeaderTerm;
}

/** Pause after a commit whose outcome is unknown, as a fraction of the heartbeat interval. */
const unknownResultPauseRatio = 1 / 4;

/**
 * Writes block records. A write is applied only if this controller still leads and the version of the block
 * in the store is still the version in the replica.
 */
export class LeaseWriter {
  private lastAppliedRevision = 0;
  /**
   * The blocks with a commit whose outcome is unknown, each with the version of the block on which that
   * commit was conditioned.
   */
  private readonly unknownCommitVersions = new Map<number, number>();
  private readonly writer: BlockWriter;

  constructor(private readonly ports: LeaseWriterPorts) {
    this.writer = new BlockWriter(ports);
  }

  /**
   * Highest store revision among the applied commits of this writer; 0 if no commit has been applied. The
   * replica of the store must have received this revision before the leader assigns blocks or dispatches jobs
   * again.
   */
  get committedRevision(): number {
    return this.lastAppliedRevision;
  }

  /**
   * Supersedes commits whose outcome is unknown. The state service may still apply such a commit, so the
   * machines and quota shares that the commit assigns to a block must not be assigned to another block. This
   * method therefore writes the unchanged record of the block on condition of the same version. After this
   * write has been applied, the earlier commit conflicts. Returns whether there were commits to supersede. If
   * so, the caller must not write anything else in this round.
   */
  async supersedeUnknownCommits(): Promise<boolean> {
    const { registry } = this.ports;
    const blocks = registry.blocks();
    for (const [block, version] of this.unknownCommitVersions) {
      if (registry.blockVersion(block) !== version) this.unknownCommitVersions.delete(block);
    }
    const unresolvedBlocks = [...this.unknownCommitVersions.keys()];
    await Promise.all(
      unresolvedBlocks.map((block) =>
        this.write(block, blocks.get(block), blocks.get(block) ?? unownedBlock()),
      ),
    );
    return unresolvedBlocks.length > 0;
  }

  /**
   * Writes `next` as the record of the block. Settles after the commit, or after an additional pause if the
   * outcome of the commit is unknown. A commit that was not applied is not retried, because the next round
   * computes the record again.
   *
   * @param block number of the block
   * @param current the record on which `next` is based; undefined if the block has no record
   * @param next the record to write
   */
  async write(block: number, current: BlockRecord | undefined, next: BlockRecord): Promise<void> {
    const { settings, log, clock, term } = this.ports;
    const leaderCondition = { key: leaderKey, version: term.fencingToken };
    const { outcome, version } = await this.writer.write(block, next, [leaderCondition]);
    switch (outcome.kind) {
      case 'applied':
        this.lastAppliedRevision = Math.max(this.lastAppliedRevision, outcome.revision);
        this.logOwnerChange(block, current, next);
        return;
      case 'unknown':
        this.unknownCommitVersions.set(block, version);
        await sleep(settings.heartbeatIntervalMs * unknownResultPauseRatio, term.signal);
        return;
      case 'malformed':
        log.error(
          { event: 'block-refused', block, machines: next.machines.length },
          'state service refused the block record as malformed; the leader retries in a later round',
        );
        return;
      case 'conflict':
      case 'refused':
        log.debug(
          { event: 'lease-failed', block, outcome, at: clock() },
          'block record not written; the leader computes the record again in the next round',
        );
    }
  }

  private logOwnerChange(block: number, current: BlockRecord | undefined, next: BlockRecord): void {
    if (current?.owner === next.owner) return;
    const machines = next.machines.length;
    this.ports.log.info(
      { event: 'block-leased', block, owner: next.owner, before: current?.owner, machines },
      'block leased to a new owner',
    );
  }
}
