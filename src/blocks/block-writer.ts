/** Writes of blocks: a record that commits are conditioned on, and pages that name the machines. */
import { groupBy } from '../base/group-by.js';
import type { Settings } from '../settings/settings.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { CommitOutcome } from '../store/transactions.js';
import { sizeOf } from '../wire/codec.js';
import {
  type BlockRecord,
  type LeasedMachine,
  blockRecord,
  machineKind,
  machineGroups,
  pagedBlockRecord,
  tokenOfOwnCommit,
} from '../wire/block-records.js';
import { blockKey, machinesKey } from '../wire/keys.js';
import { type Condition, type Write, maxTransactionBytes } from '../wire/state.js';
import type { BlockRegistry, StoredBlock } from './block-registry.js';

/** A change of one page; without machines it is dropped. */
export interface PageChange {
  page: number;
  machines: LeasedMachine[];
}

/** A record that takes more than this part of a value leaves the naming of its machines to pages. */
const maxInlineRecordRatio = 1 / 2;
/** Digits that a token may take. */
const fencingTokenDigits = 16;

/** How many bytes the machines of a page may take: several pages fit a transaction together. */
export function machinePageBytes({ state }: Pick<Settings, 'state'>): number {
  return Math.min(state.valueBytes, Math.floor(maxTransactionBytes / state.txnOps));
}

/**
 * Gives every machine a page. It stays on the page that it has, so that a change of few machines changes few pages; new
 * ones go where there is room.
 */
export function assignPages(
  machines: Iterable<LeasedMachine>,
  pageBytes: number,
): Map<number, LeasedMachine[]> {
  const pages = new Map<number, { bytes: number; kinds: Set<string>; machines: LeasedMachine[] }>();
  const costOn = (page: number, machine: LeasedMachine): number => {
    const [group] = machineGroups([{ ...machine, fencingToken: 0 }]);
    const known = pages.get(page)?.kinds.has(machineKind(machine)) === true;
    const entry = machine.id.length + fencingTokenDigits * 2;
    return known ? entry : entry + sizeOf(group);
  };
  const put = (page: number, machine: LeasedMachine): void => {
    const to = pages.get(page) ?? { bytes: 0, kinds: new Set<string>(), machines: [] };
    to.bytes += costOn(page, machine);
    to.kinds.add(machineKind(machine));
    to.machines.push(machine);
    pages.set(page, to);
  };
  const unassigned: LeasedMachine[] = [];
  for (const machine of machines) {
    if (machine.page === undefined) unassigned.push(machine);
    else put(machine.page, machine);
  }
  let open = 0;
  for (const machine of unassigned) {
    while ((pages.get(open)?.bytes ?? 0) + costOn(open, machine) > pageBytes && pages.has(open)) open++;
    put(open, machine);
  }
  return new Map([...pages].map(([page, { machines: onPage }]) => [page, onPage]));
}

/** The pages that differ from what is stored. Tokens alone change no page: the block's record raises them all. */
export function changedPages(
  stored: StoredBlock | undefined,
  next: ReadonlyMap<number, LeasedMachine[]>,
): PageChange[] {
  const named = stored?.isInline === false ? stored.record.machines : [];
  const before = groupBy(named, ({ page }) => page ?? 0);
  const changes = [...next]
    .filter(([page, machines]) => !haveSameMachines(before.get(page) ?? [], machines))
    .map(([page, machines]) => ({ page, machines }));
  for (const page of stored?.pageVersions.keys() ?? [])
    if (!next.has(page)) changes.push({ page, machines: [] });
  return changes;
}

function haveSameMachines(a: LeasedMachine[], b: LeasedMachine[]): boolean {
  if (a.length !== b.length) return false;
  const leaving = new Map(a.map((machine) => [machine.id, machine.draining]));
  return b.every((machine) => leaving.get(machine.id) === machine.draining);
}

export interface BlockWriteResult {
  outcome: CommitOutcome;
  /** The version of the block's record that the last step was conditioned on. */
  version: number;
}

export interface BlockWriterPorts {
  settings: Settings;
  registry: Pick<BlockRegistry, 'blockVersion' | 'storedBlock' | 'isClusterUpgraded'>;
  commits: CommitQueue;
}

/**
 * Earlier versions read only records that name all machines, so these are written until every controller has run with this
 * one, and after that for as long as they are small. The machines of larger blocks are on pages, and a change of more pages
 * than a transaction holds is made in steps. Each step is safe by itself, since what it says of one machine does not depend
 * on another, and each has a new version of the record, so that no intent is committed on an earlier step. Pages beside a
 * record that still names the machines itself mean nothing: they are prepared first, and count from the one commit that
 * takes the machines out of the record.
 */
export class BlockWriter {
  constructor(private readonly ports: BlockWriterPorts) {}

  /** Conditioned on the block as the copy of the store has it. `guards`: what has to hold beside that. */
  async write(block: number, next: BlockRecord, guards: Condition[] = []): Promise<BlockWriteResult> {
    const { registry, commits } = this.ports;
    const unchanged: Condition = { key: blockKey(block), version: registry.blockVersion(block) };
    if (this.needsPages(block, next)) return this.writePages(block, next, unchanged, guards);
    const outcome = await commits.commit(
      [...guards, unchanged],
      [{ put: blockKey(block), value: blockRecord(next) }],
    );
    return { outcome, version: unchanged.version };
  }

  /** Once on pages, a block stays there: whoever wrote it so knew that all controllers read it. */
  private needsPages(block: number, next: BlockRecord): boolean {
    const { registry, settings } = this.ports;
    if (registry.storedBlock(block)?.isInline === false) return true;
    if (!registry.isClusterUpgraded) return false;
    return sizeOf(blockRecord(next)) > settings.state.valueBytes * maxInlineRecordRatio;
  }

  private async writePages(
    block: number,
    next: BlockRecord,
    unchanged: Condition,
    guards: Condition[],
  ): Promise<BlockWriteResult> {
    const { settings, registry, commits } = this.ports;
    const stored = registry.storedBlock(block);
    const pages = assignPages(next.machines, machinePageBytes(settings));
    const changes = changedPages(stored, pages);
    const versions = new Map(stored?.pageVersions);
    const perStep = settings.state.txnOps - 1;
    let record = next;
    let version = unchanged.version;
    for (let at = 0; ; at += perStep) {
      const step = changes.slice(at, at + perStep);
      const isLast = at + perStep >= changes.length;
      // While the record names the machines itself, only the last step may touch it.
      const touchesRecord = isLast || stored?.isInline !== true;
      const writes = step.map((change) => pageWrite(block, change));
      if (touchesRecord) writes.push({ put: blockKey(block), value: pagedBlockRecord(record) });
      const conditions = [
        ...guards,
        { key: unchanged.key, version },
        ...pageConditions(
          block,
          versions,
          stored?.isInline === true && isLast ? pages.keys() : pageNumbers(step),
        ),
      ];
      const outcome = await commits.commit(conditions, writes);
      if (outcome.kind !== 'applied' || isLast) return { outcome, version };
      for (const { page } of step) versions.set(page, outcome.revision);
      if (touchesRecord) {
        version = outcome.revision;
        // Fresh tokens come from the first step: the others must not raise them again.
        if (record.leaseFencingToken === tokenOfOwnCommit) record = { ...record, leaseFencingToken: version };
      }
    }
  }
}

function* pageNumbers(step: PageChange[]): Iterable<number> {
  for (const { page } of step) yield page;
}

function pageConditions(
  block: number,
  versions: ReadonlyMap<number, number>,
  pages: Iterable<number>,
): Condition[] {
  return [...pages].map((page) => ({ key: machinesKey(block, page), version: versions.get(page) ?? 0 }));
}

function pageWrite(block: number, { page, machines }: PageChange): Write {
  const key = machinesKey(block, page);
  return machines.length > 0 ? { put: key, value: machineGroups(machines) } : { drop: key };
}
