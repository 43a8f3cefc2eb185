import type { Mirror } from '../store/mirror.js';
import {
  type BlockRecord,
  type LeasedMachine,
  machinePages,
  hasInlineMachines,
  parseBlock,
} from '../wire/block-records.js';
import { currentFormat, parseAlive, parseFormat } from '../wire/controller-records.js';
import { type StoredValue, blockKey, formatKey, machinesPrefix } from '../wire/keys.js';
import type { Member } from './block-assignment.js';

/** A block as the copy of the store has it. */
export interface StoredBlock {
  record: BlockRecord;
  version: number;
  /** Its record names the machines itself, as earlier versions write it. */
  isInline: boolean;
  /** Versions of the pages of its machines, by number; they count only where the record names none itself. */
  pageVersions: ReadonlyMap<number, number>;
}

type ParsedBlock = Omit<StoredBlock, 'pageVersions'> & { pageVersions: Map<number, number> };

/** Who holds which block, and which controllers are alive, as far as this controller's copy of the store knows. */
export class BlockRegistry {
  private readonly parsedBlocks = new Map<number, ParsedBlock>();
  private machineOwners = new Map<string, { block: number; machine: LeasedMachine; owner: string }>();
  private ownersBlockVersions = '';
  private knownUpgraded = false;

  /** `labels`: all controllers of the settings. */
  constructor(
    private readonly mirror: Mirror,
    private readonly labels: string[] = [],
  ) {}

  /** Every controller of the settings has run with this format, and none comes back with an earlier one after that. */
  get isClusterUpgraded(): boolean {
    this.knownUpgraded ||=
      this.mirror.ready &&
      this.labels.every((label) => parseFormat(this.mirror.get(formatKey(label))?.value) >= currentFormat);
    return this.knownUpgraded;
  }

  blocks(): Map<number, BlockRecord> {
    const blocks = new Map<number, BlockRecord>();
    for (const [key, entry] of this.mirror.entriesWithPrefix('block/')) {
      const block = Number(key.slice('block/'.length));
      const stored = this.parseStored(block, entry);
      if (stored) blocks.set(block, stored.record);
    }
    return blocks;
  }

  storedBlock(block: number): StoredBlock | undefined {
    const entry = this.mirror.get(blockKey(block));
    return entry && this.parseStored(block, entry);
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

  blockVersion(block: number): number {
    return this.mirror.version(blockKey(block));
  }

  liveMembers(): Member[] {
    const members: Member[] = [];
    for (const [key, entry] of this.mirror.entriesWithPrefix('alive/')) {
      const alive = parseAlive(entry.value);
      if (alive) members.push({ label: key.slice('alive/'.length), ...alive });
    }
    return members;
  }

  isAlive(label: string): boolean {
    return this.mirror.get(`alive/${label}`) !== undefined;
  }

  leasedMachines(): Map<string, LeasedMachine> {
    return new Map([...this.machineOwnership()].map(([id, entry]) => [id, entry.machine]));
  }

  /** The controller that a machine is to report to. */
  ownerOf(machine: string): string | undefined {
    return this.machineOwnership().get(machine)?.owner;
  }

  private machineOwnership(): Map<string, { block: number; machine: LeasedMachine; owner: string }> {
    const blocks = this.blocks();
    // Walking all machines is worth it only when a block has changed, which few changes of the copy are about.
    const at = [...blocks.keys()].map((block) => `${block}:${this.blockVersion(block)}`).join(' ');
    if (this.ownersBlockVersions !== at) {
      this.ownersBlockVersions = at;
      this.machineOwners = new Map();
      for (const [block, record] of blocks) {
        for (const machine of record.machines) {
          this.machineOwners.set(machine.id, { block, machine, owner: record.owner });
        }
      }
    }
    return this.machineOwners;
  }
}
