import type { Mirror } from '../store/mirror.js';
import { type BlockRecord, type LeasedMachine, blockKey, parseAlive, parseBlock } from '../wire/records.js';
import type { Member } from './leasing.js';

interface Parsed {
  version: number;
  record: BlockRecord;
}

/** Who holds which block, and which controllers are alive, as far as this controller's copy of the store knows. */
export class Registry {
  private readonly parsed = new Map<string, Parsed>();
  private machineOwners = new Map<string, { block: number; machine: LeasedMachine; owner: string }>();
  private ownersAt = '';

  constructor(private readonly mirror: Mirror) {}

  blocks(): Map<number, BlockRecord> {
    const blocks = new Map<number, BlockRecord>();
    for (const [key, entry] of this.mirror.below('block/')) {
      let known = this.parsed.get(key);
      if (known?.version !== entry.version) {
        const record = parseBlock(entry.value, entry.version);
        if (!record) continue;
        known = { version: entry.version, record };
        this.parsed.set(key, known);
      }
      blocks.set(Number(key.slice('block/'.length)), known.record);
    }
    return blocks;
  }

  version(block: number): number {
    return this.mirror.version(blockKey(block));
  }

  alive(): Member[] {
    const members: Member[] = [];
    for (const [key, entry] of this.mirror.below('alive/')) {
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
