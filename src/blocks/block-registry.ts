/**
 * Reads blocks, machines and live controllers from this controller's replica of the store. A block is a set
 * of machines with the tasks placed on them, leased to one controller.
 */
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
  /** Identifies the current incarnation of the controller process. */
  incarnation: string;
  zone: string;
}

/** A block as stored in the replica of the store. */
export interface StoredBlock {
  record: BlockRecord;
  /** Store revision of the latest change of the record. */
  version: number;
  /**
   * Whether the machines are listed in the block record itself, which is the format that earlier versions of
   * the program write. If false, the machines are listed on pages.
   */
  isInline: boolean;
  /**
   * Store revision of the latest change of each page that lists machines of the block, by page number. The
   * pages are valid only if `isInline` is false.
   */
  pageVersions: ReadonlyMap<number, number>;
}

/** The machines of all blocks, each with the label of the controller that owns its block, by machine id. */
type MachineOwners = Map<string, { machine: LeasedMachine; owner: string }>;

type ParsedBlock = Omit<StoredBlock, 'pageVersions'> & { pageVersions: Map<number, number> };

const blockPrefix = 'block/';
const alivePrefix = 'alive/';

/**
 * Provides the block records, the live controllers and the owner of each machine. Parses a block again only
 * after its record has changed.
 */
export class BlockRegistry {
  private readonly parsedBlocks = new Map<number, ParsedBlock>();
  /** The cached machine owners, with the versions of the blocks from which they were computed. */
  private machineOwners: { blockVersions: string; byId: MachineOwners } | undefined;
  private knownUpgraded = false;

  /** `labels`: the labels of all controllers in the settings. */
  constructor(
    private readonly replica: StoreReplica,
    private readonly labels: string[] = [],
  ) {}

  /**
   * Whether every controller in the settings has run a version of the program that supports the current
   * record format. Once true, the value stays true, because no controller returns to an earlier format.
   */
  get isClusterUpgraded(): boolean {
    this.knownUpgraded ||=
      this.replica.ready &&
      this.labels.every((label) => parseFormat(this.replica.get(formatKey(label))?.value) >= currentFormat);
    return this.knownUpgraded;
  }

  /**
   * The records of all blocks, by block number. The records are cached and shared, so a caller must copy a
   * record before changing it.
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

  /** Store revision of the latest change of the block's record; 0 if the block has no record. */
  blockVersion(block: number): number {
    return this.replica.version(blockKey(block));
  }

  /**
   * The controllers whose alive key is in the replica. The alive key of a controller is deleted when the
   * lease of the controller at the state service expires.
   */
  liveMembers(): Member[] {
    const members: Member[] = [];
    for (const [key, entry] of this.replica.entriesWithPrefix(alivePrefix)) {
      const alive = parseAlive(entry.value);
      if (alive) members.push({ label: key.slice(alivePrefix.length), ...alive });
    }
    return members;
  }

  /** Whether the alive key of the controller with this label is in the replica. */
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
   * Parses the record and the pages of the block, or returns the cached block if the version of the record
   * has not changed. The versions of the pages need not be compared, because a valid page changes only
   * together with the record. While the record still lists the machines, the pages are not valid, and only
   * their versions are updated.
   */
  private parseStored(block: number, entry: StoredValue): StoredBlock | undefined {
    const cached = this.parsedBlocks.get(block);
    if (cached?.version === entry.version && !cached.isInline) return cached;
    const pages = this.pagesOf(block);
    const versions = new Map([...pages].map(([page, { version }]) => [page, version]));
    if (cached?.version === entry.version) {
      cached.pageVersions = versions;
      return cached;
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
   * Returns the machine owners, which are cached until the version of a block changes. Most changes of the
   * replica do not concern blocks, so iterating over all machines after every change would be wasteful.
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
