/** Blocks, machines and live controllers as this controller's replica of the store has them. */
import type { Mirror } from '../store/mirror.js';
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
  /** Identifies the run of its process. */
  incarnation: string;
  zone: string;
}

/** A block as the replica of the store has it. */
export interface StoredBlock {
  record: BlockRecord;
  /** Store revision of the last change of the record. */
  version: number;
  /** Its record names the machines itself, as earlier versions of the program write it. */
  isInline: boolean;
  /** Store revisions of the pages of its machines, by number; pages count only where the record names no machines itself. */
  pageVersions: ReadonlyMap<number, number>;
}

/** The machines of all blocks, by id. */
type MachineOwners = Map<string, { machine: LeasedMachine; owner: string }>;

type ParsedBlock = Omit<StoredBlock, 'pageVersions'> & { pageVersions: Map<number, number> };

const blockPrefix = 'block/';
const alivePrefix = 'alive/';

/** Who owns which block, and which controllers are alive. Parses a record or a page only when it has changed. */
export class BlockRegistry {
  private readonly parsedBlocks = new Map<number, ParsedBlock>();
  /** With the versions of the blocks that the map was made from. */
  private machineOwners: { blockVersions: string; byId: MachineOwners } | undefined;
  private knownUpgraded = false;

  /** `labels`: of all controllers of the settings. */
  constructor(
    private readonly mirror: Mirror,
    private readonly labels: string[] = [],
  ) {}

  /** Every controller of the settings has run with the current format; none comes back with an earlier one after that. */
  get isClusterUpgraded(): boolean {
    this.knownUpgraded ||=
      this.mirror.ready &&
      this.labels.every((label) => parseFormat(this.mirror.get(formatKey(label))?.value) >= currentFormat);
    return this.knownUpgraded;
  }

  /** The records of all blocks. They are shared: callers copy what they change. */
  blocks(): Map<number, BlockRecord> {
    const blocks = new Map<number, BlockRecord>();
    for (const [key, entry] of this.mirror.entriesWithPrefix(blockPrefix)) {
      const block = Number(key.slice(blockPrefix.length));
      const stored = this.parseStored(block, entry);
      if (stored) blocks.set(block, stored.record);
    }
    return blocks;
  }

  /** The block with what a write of it has to be conditioned on; undefined if it has no record. */
  storedBlock(block: number): StoredBlock | undefined {
    const entry = this.mirror.get(blockKey(block));
    return entry && this.parseStored(block, entry);
  }

  /** Store revision of the last change of the block's record; 0 if it has none. */
  blockVersion(block: number): number {
    return this.mirror.version(blockKey(block));
  }

  /** The controllers whose lease of the state service has not expired. */
  liveMembers(): Member[] {
    const members: Member[] = [];
    for (const [key, entry] of this.mirror.entriesWithPrefix(alivePrefix)) {
      const alive = parseAlive(entry.value);
      if (alive) members.push({ label: key.slice(alivePrefix.length), ...alive });
    }
    return members;
  }

  /** The controller with this label is alive. */
  isAlive(label: string): boolean {
    return this.mirror.get(aliveKey(label)) !== undefined;
  }

  /** The machines of all blocks by id. */
  leasedMachines(): Map<string, LeasedMachine> {
    return new Map([...this.ownersById()].map(([id, { machine }]) => [id, machine]));
  }

  /** Label of the controller that the machine is to send its heartbeats to; undefined for a machine in no block. */
  ownerOf(machine: string): string | undefined {
    return this.ownersById().get(machine)?.owner;
  }

  /** No page changes without its block's record, but for pages that are being prepared and do not count yet. */
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
    return machinePages(block, this.mirror.entriesWithPrefix(machinesPrefix(block)));
  }

  /** Walking all machines is worth it only when a block has changed, which few changes of the replica are about. */
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
