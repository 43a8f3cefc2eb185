import type { Mirror } from '../store/mirror.js';
import {
  type BlockRecord,
  type LeasedMachine,
  machinePages,
  namesItsMachines,
  parseBlock,
} from '../wire/block-records.js';
import { currentFormat, parseAlive, parseFormat } from '../wire/controller-records.js';
import { type StoredValue, blockKey, formatKey, machinesPrefix } from '../wire/keys.js';
import type { Member } from './leasing.js';

/** A block as the copy of the store has it. */
export interface StoredBlock {
  record: BlockRecord;
  version: number;
  /** Its record names the machines itself, as earlier versions write it. */
  inline: boolean;
  /** Versions of the pages of its machines, by number; they count only where the record names none itself. */
  pages: ReadonlyMap<number, number>;
}

type ParsedBlock = Omit<StoredBlock, 'pages'> & { pages: Map<number, number> };

/** Who holds which block, and which controllers are alive, as far as this controller's copy of the store knows. */
export class Registry {
  private readonly parsed = new Map<number, ParsedBlock>();
  private machineOwners = new Map<string, { block: number; machine: LeasedMachine; owner: string }>();
  private ownersAt = '';
  private allUpgraded = false;

  /** `labels`: all controllers of the settings. */
  constructor(
    private readonly mirror: Mirror,
    private readonly labels: string[] = [],
  ) {}

  /** Every controller of the settings has run with this format, and none comes back with an earlier one after that. */
  get upgraded(): boolean {
    this.allUpgraded ||=
      this.mirror.ready &&
      this.labels.every((label) => parseFormat(this.mirror.get(formatKey(label))?.value) >= currentFormat);
    return this.allUpgraded;
  }

  blocks(): Map<number, BlockRecord> {
    const blocks = new Map<number, BlockRecord>();
    for (const [key, entry] of this.mirror.entriesWithPrefix('block/')) {
      const block = Number(key.slice('block/'.length));
      const stored = this.parse(block, entry);
      if (stored) blocks.set(block, stored.record);
    }
    return blocks;
  }

  stored(block: number): StoredBlock | undefined {
    const entry = this.mirror.get(blockKey(block));
    return entry && this.parse(block, entry);
  }

  /** No page changes without its block's record, but for pages that are being prepared and do not count yet. */
  private parse(block: number, entry: StoredValue): StoredBlock | undefined {
    const known = this.parsed.get(block);
    if (known?.version === entry.version && !known.inline) return known;
    const pages = this.pagesOf(block);
    const versions = new Map([...pages].map(([page, { version }]) => [page, version]));
    if (known?.version === entry.version) {
      known.pages = versions;
      return known;
    }
    const record = parseBlock(entry.value, entry.version, pages);
    if (!record) return undefined;
    const inline = namesItsMachines(entry.value);
    const stored = { record, version: entry.version, inline, pages: versions };
    this.parsed.set(block, stored);
    return stored;
  }

  private pagesOf(block: number): Map<number, StoredValue> {
    return machinePages(block, this.mirror.entriesWithPrefix(machinesPrefix(block)));
  }

  version(block: number): number {
    return this.mirror.version(blockKey(block));
  }

  alive(): Member[] {
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

  machines(): Map<string, LeasedMachine> {
    return new Map([...this.owners()].map(([id, entry]) => [id, entry.machine]));
  }

  /** The controller that a machine is to report to. */
  ownerOf(machine: string): string | undefined {
    return this.owners().get(machine)?.owner;
  }

  private owners(): Map<string, { block: number; machine: LeasedMachine; owner: string }> {
    const blocks = this.blocks();
    // Walking all machines is worth it only when a block has changed, which few changes of the copy are about.
    const at = [...blocks.keys()].map((block) => `${block}:${this.version(block)}`).join(' ');
    if (this.ownersAt !== at) {
      this.ownersAt = at;
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
