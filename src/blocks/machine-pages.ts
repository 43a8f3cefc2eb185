/**
 * The machines of a large block on pages of their own: which page names which machine, and how pages are
 * written.
 */
import { groupBy } from '../base/group-by.js';
import type { Settings } from '../settings/settings.js';
import { type LeasedMachine, machineGroups, machineKind } from '../wire/block-records.js';
import { sizeOf } from '../wire/codec.js';
import { machinesKey } from '../wire/keys.js';
import { type Condition, maxTransactionBytes, type Write } from '../wire/state.js';
import type { StoredBlock } from './block-registry.js';

/** A change of one page; without machines the page is deleted. */
export interface PageChange {
  page: number;
  machines: LeasedMachine[];
}

interface Page {
  bytes: number;
  kinds: Set<string>;
  machines: LeasedMachine[];
}

/** Digits that a fencing token, or a time of day, may take. */
const numberDigits = 16;
/** Numbers that a page has beside the id of a machine. */
const numbersPerMachine = 2;

/** How many bytes the machines of a page may take: several pages fit a transaction together. */
export function machinePageBytes({ state }: Pick<Settings, 'state'>): number {
  return Math.min(state.valueBytes, Math.floor(maxTransactionBytes / state.txnOps));
}

/**
 * Gives every machine a page. A machine stays on the page that it has, so that a change of few machines
 * changes few pages; new ones go to the first page with room for `pageBytes`.
 */
export function assignPages(
  machines: Iterable<LeasedMachine>,
  pageBytes: number,
): Map<number, LeasedMachine[]> {
  const pages = new Map<number, Page>();
  const unassigned: LeasedMachine[] = [];
  for (const machine of machines) {
    if (machine.page === undefined) unassigned.push(machine);
    else addToPage(pages, machine.page, machine);
  }
  let page = 0;
  for (const machine of unassigned) {
    while (isFull(pages.get(page), machine, pageBytes)) page++;
    addToPage(pages, page, machine);
  }
  return new Map([...pages].map(([number, { machines: onPage }]) => [number, onPage]));
}

/**
 * The pages that differ from what is stored. Fencing tokens alone change no page: the block's record raises
 * them for all its machines.
 */
export function changedPages(
  stored: StoredBlock | undefined,
  next: ReadonlyMap<number, LeasedMachine[]>,
): PageChange[] {
  const storedMachines = stored?.isInline === false ? stored.record.machines : [];
  const before = groupBy(storedMachines, ({ page }) => page ?? 0);
  const changes = [...next]
    .filter(([page, machines]) => !haveSameMachines(before.get(page) ?? [], machines))
    .map(([page, machines]) => ({ page, machines }));
  for (const page of stored?.pageVersions.keys() ?? []) {
    if (!next.has(page)) changes.push({ page, machines: [] });
  }
  return changes;
}

/**
 * The pages are as the writer knows them. `versions`: by page; a page that is missing there must not exist.
 */
export function pageConditions(
  block: number,
  versions: ReadonlyMap<number, number>,
  pages: Iterable<number>,
): Condition[] {
  return [...pages].map((page) => ({ key: machinesKey(block, page), version: versions.get(page) ?? 0 }));
}

/** The write that makes the change. */
export function pageWrite(block: number, { page, machines }: PageChange): Write {
  const key = machinesKey(block, page);
  return machines.length > 0 ? { put: key, value: machineGroups(machines) } : { drop: key };
}

function addToPage(pages: Map<number, Page>, number: number, machine: LeasedMachine): void {
  const page = pages.get(number) ?? { bytes: 0, kinds: new Set<string>(), machines: [] };
  page.bytes += addedBytes(page, machine);
  page.kinds.add(machineKind(machine));
  page.machines.push(machine);
  pages.set(number, page);
}

function isFull(page: Page | undefined, machine: LeasedMachine, pageBytes: number): boolean {
  return page !== undefined && page.bytes + addedBytes(page, machine) > pageBytes;
}

/** Machines of one kind share the names of their type and zone. */
function addedBytes(page: Page, machine: LeasedMachine): number {
  const entryBytes = machine.id.length + numberDigits * numbersPerMachine;
  if (page.kinds.has(machineKind(machine))) return entryBytes;
  const [group] = machineGroups([{ ...machine, fencingToken: 0 }]);
  return entryBytes + sizeOf(group);
}

function haveSameMachines(a: LeasedMachine[], b: LeasedMachine[]): boolean {
  if (a.length !== b.length) return false;
  const draining = new Map(a.map((machine) => [machine.id, machine.draining]));
  return b.every((machine) => draining.get(machine.id) === machine.draining);
}
