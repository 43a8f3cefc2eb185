/** Reads blocks, machines and live controllers from this controller's replica of the store. */
import type { StoreReplica } from '../store/store-replica.js';
import {
  type BlockRecord,
  hasInlineMachines,
  type LeasedMachine,
  machinePages,
  parseBlock,
} from '../wire/block-records.js';
import { currentFormat, parseAlive, parseFormat } from '../wire/controller-records.js';
import { aliveKey, blockKey, formatKey, machinesPrefix, type StoredValue } from '../wire/keys.js';

/** A controller that is alive. */
export interface Member {
  label: string;
  /** Identifies the incarnation of the controller's process. */
  incarnation: string;
  zone: string;
}

/** A block as stored in the replica of the store. */
export interface StoredBlock {
  record: BlockRecord;
  /** Store revision of the last change of the record. */
  version: number;
  /**
   * Whether the record lists the machines itself, which is the format that earlier versions of the program
   * write.
   */
  isInline: boolean;
  /**
   * Store revision of each page of the block's machines, by page number. Pages are valid only if the record
   * does not list the machines itself.
   */
  pageVersions: ReadonlyMap<number, number>;
}

/** The machines of all blocks with the label of the block's owner, by machine id. */
type MachineOwners = Map<string, { machine: LeasedMachine; owner: string }>;

type ParsedBlock = Omit<StoredBlock, 'pageVersions'> & { pageVersions: Map<number, number> };

const blockPrefix = 'block/';
const alivePrefix = 'alive/';

/**
 * Provides the block records, the live controllers and the owner of each machine. Parses a record or a page
 * only after it has changed.
 */
export class BlockRegistry {
  private readonly parsedBlocks = new Map<number, ParsedBlock>();
  /** Cached map of machines, with the versions of the blocks from which it was built. */
  private machineOwners: { blockVersions: string; byId: MachineOwners } | undefined;
  private knownUpgraded = false;

  /** `labels`: the labels of all controllers in the settings. */
  constructor(
    private readonly replica: StoreReplica,
    private readonly labels: string[] = [],
  ) {}

  /**
   * Whether every controller in the settings has run with the current record format. After that, no
   * controller returns to an earlier format.
   */
  get isClusterUpgraded(): boolean {
    this.knownUpgraded ||=
      this.replica.ready &&
      this.labels.every((label) => parseFormat(this.replica.get(formatKey(label))?.value) >= currentFormat);
    return this.knownUpgraded;
  }

  /**
   * The records of all blocks. The records are shared: a caller must copy a record before it changes the
   * record.
   */
  blocks(): Map<number, BlockRecord> {
    const blocks = new Map<number, BlockRecord>();
    for (const [key, entry] of this.replica.entriesWithPrefix(blockPrefix)) {
      const block = Number(key.slice(blockPrefix.length));
      const stored = this.parseStored(block, entry);
      if (stored) blocks.set(block, stored.record);
    }
    return blocks;
  }

  /**
   * The block with the versions that a write of the block must be conditioned on; undefined if the block has
   * no record.
   */
  storedBlock(block: number): StoredBlock | undefined {
    const entry = this.replica.get(blockKey(block));
    return entry && this.parseStored(block, entry);
  }

  /** Store revision of the last change of the block's record; 0 if the block has no record. */
  blockVersion(block: number): number {
    return this.replica.version(blockKey(block));
  }

  /** The controllers whose lease at the state service has not expired, as far as the replica has it. */
  liveMembers(): Member[] {
    const members: Member[] = [];
    for (const [key, entry] of this.replica.entriesWithPrefix(alivePrefix)) {
      const alive = parseAlive(entry.value);
      if (alive) members.push({ label: key.slice(alivePrefix.length), ...alive });
    }
    return members;
  }

  /** Whether the controller with this label is alive. */
  isAlive(label: string): boolean {
    return this.replica.get(aliveKey(label)) !== undefined;
  }

  /** The machines of all blocks, by machine id. */
  leasedMachines(): Map<string, LeasedMachine> {
    return new Map([...this.ownersById()].map(([id, { machine }]) => [id, machine]));
  }

  /**
   * Label of the controller to which the machine must send its heartbeats; undefined if the machine is in no
   * block.
   */
  ownerOfMachine(machine: string): string | undefined {
    return this.ownersById().get(machine)?.owner;
  }

  /**
   * Parses the block, or returns the cached result while the version of the record is unchanged. That version
   * is enough to check: a valid page changes only together with the record, and pages that are being prepared
   * are not valid yet.
   */
  private parseStored(block: number, entry: StoredValue): StoredBlock | undefined {
    const known = this.parsedBlocks.get(block);
    if (known?.version === entry.version && !known.isInline) return known;
    const pages = this.pagesOf(block);
    const versions = new Map([...pages].map(([page, { version }]) => [page, version]));
    if (known?.version === entry.version) {
      known.pageVersions = versions;
      return known;
    }
    const record = parseBlock(entry.value, entry.version, pages);
    if (!record) return undefined;
    const isInline = hasInlineMachines(entry.value);
    const stored = { record, version: entry.version, isInline, pageVersions: versions };
    this.parsedBlocks.set(block, stored);
    return stored;
  }

  private pagesOf(block: number): Map<number, StoredValue> {
    return machinePages(block, this.replica.entriesWithPrefix(machinesPrefix(block)));
  }

  /**
   * The machines of all blocks, cached until the version of a block changes. Few changes of the replica
   * concern blocks, so iterating over all machines on every change would be wasteful.
   */
  private ownersById(): MachineOwners {
    const blocks = this.blocks();
    const blockVersions = [...blocks.keys()].map((block) => `${block}:${this.blockVersion(block)}`).join(' ');
    if (this.machineOwners?.blockVersions === blockVersions) return this.machineOwners.byId;
    const byId: MachineOwners = new Map();
    for (const { machines, owner } of blocks.values()) {
      for (const machine of machines) byId.set(machine.id, { machine, owner });
    }
    this.machineOwners = { blockVersions, byId };
    return byId;
  }
}
