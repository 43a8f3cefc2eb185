/** The leader's commits of block records, and what follows where the result of a commit is unknown. */
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
  /** Revision of the commit that began the term: a condition of everything that the leader commits. */
  readonly fencingToken: number;
  /** Fires when the term ends. */
  readonly signal: AbortSignal;
}

/** What the leader's writes of block records work with. */
export interface LeaseWriterPorts extends BlockWriterPorts {
  clock: Clock;
  log: Log;
  settings: Settings;
  registry: BlockWriterPorts['registry'] & Pick<BlockRegistry, 'blocks'>;
  term: LeaderTerm;
}

/** Pause after a commit of unknown result, as a ratio of the heartbeat interval. */
const unknownResultPauseRatio = 1 / 4;

/** Writes block records, as long as the writer leads and the block is as the replica of the store has it. */
export class LeaseWriter {
  private lastAppliedRevision = 0;
  /** Blocks with a commit of unknown result, and the version that it was conditioned on. */
  private readonly unknownCommitVersions = new Map<number, number>();
  private readonly writer: BlockWriter;

  constructor(private readonly ports: LeaseWriterPorts) {
    this.writer = new BlockWriter(ports);
  }

  /**
   * The highest store revision of its commits, which the replica has to reach before the next decision; 0:
   * none yet.
   */
  get committedRevision(): number {
    return this.lastAppliedRevision;
  }

  /**
   * A commit of unknown result may yet be executed: what it gives to a block must not be given to another
   * meanwhile. So such blocks are first written as they stand, under the same version, after which the late
   * commit conflicts. Returns whether there were any: nothing else may be written in this round then.
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
   * Settles when the commit is decided or its result is known to be unknown. A commit that was not applied is
   * left to the next round. `current`: the record that `next` is based on, if the block has one.
   */
  async write(block: number, current: BlockRecord | undefined, next: BlockRecord): Promise<void> {
    const { settings, log, clock, term } = this.ports;
    const isLeader = { key: leaderKey, version: term.fencingToken };
    const { outcome, version } = await this.writer.write(block, next, [isLeader]);
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
        log.error({ event: 'block-refused', block, machines: next.machines.length }, 'block record refused');
        return;
      case 'conflict':
      case 'refused':
        log.debug({ event: 'lease-failed', block, outcome, at: clock() }, 'block not leased');
    }
  }

  private logOwnerChange(block: number, current: BlockRecord | undefined, next: BlockRecord): void {
    if (current?.owner === next.owner) return;
    const machines = next.machines.length;
    this.ports.log.info(
      { event: 'block-leased', block, owner: next.owner, before: current?.owner, machines },
      'block leased',
    );
  }
}
