/**
 * Distributes the machines of a large block over pages, and creates the conditions and writes of these pages.
 * A block is a set of machines that is leased to one controller, and a page is a store value that lists some
 * of these machines.
 */
import { groupBy } from '../base/group-by.js';
import type { Settings } from '../settings/settings.js';
import { type LeasedMachine, machineGroupKey, machineGroups } from '../wire/block-records.js';
import { jsonSizeBytes } from '../wire/codec.js';
import { machinesKey } from '../wire/keys.js';
import { type Condition, maxTransactionBytes, type Write } from '../wire/state.js';
import type { StoredBlock } from './block-registry.js';

/** The new content of one page. A page without machines is deleted. */
export interface PageChange {
  page: number;
  machines: LeasedMachine[];
}

interface Page {
  bytes: number;
  kinds: Set<string>;
  machines: LeasedMachine[];
}

/** Maximum number of digits of a fencing token or of a timestamp. */
const maxNumberDigits = 16;
/** Number of numeric values that a page stores for each machine, in addition to the id of the machine. */
const numbersPerMachine = 2;

/**
 * Maximum size of the list of machines on one page, in bytes. This is the size limit of a store value, or
 * less if a transaction with the maximum number of operations would otherwise exceed the size limit of a
 * transaction.
 */
export function machinePageBytes({ state }: Pick<Settings, 'state'>): number {
  return Math.min(state.valueBytes, Math.floor(maxTransactionBytes / state.txnOps));
}

/**
 * Assigns each machine to a page, and returns the machines by page number. A machine that already has a page
 * stays on it, so that a change of few machines changes few pages. A new machine is assigned to the first
 * page on which it fits within `pageBytes`.
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
 * Returns the pages that differ from the stored pages. A page on which only fencing tokens differ is not
 * included, because the block record contains a minimum fencing token that applies to all machines on the
 * pages of the block.
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
 * Returns the conditions that the pages still have the given versions. `versions`: store revisions by page
 * number; a page without an entry must not exist.
 */
export function pageConditions(
  block: number,
  versions: ReadonlyMap<number, number>,
  pages: Iterable<number>,
): Condition[] {
  return [...pages].map((page) => ({ key: machinesKey(block, page), version: versions.get(page) ?? 0 }));
}

/** Returns the write that stores the change of the page. */
export function pageWrite(block: number, { page, machines }: PageChange): Write {
  const key = machinesKey(block, page);
  return machines.length > 0 ? { put: key, value: machineGroups(machines) } : { drop: key };
}

function addToPage(pages: Map<number, Page>, number: number, machine: LeasedMachine): void {
  const page = pages.get(number) ?? { bytes: 0, kinds: new Set<string>(), machines: [] };
  page.bytes += addedBytes(page, machine);
  page.kinds.add(machineGroupKey(machine));
  page.machines.push(machine);
  pages.set(number, page);
}

function isFull(page: Page | undefined, machine: LeasedMachine, pageBytes: number): boolean {
  return page !== undefined && page.bytes + addedBytes(page, machine) > pageBytes;
}

/**
 * Number of bytes that the machine adds to the page. The names of the machine type and zone are stored only
 * once for all machines of one kind.
 */
function addedBytes(page: Page, machine: LeasedMachine): number {
  const entryBytes = machine.id.length + maxNumberDigits * numbersPerMachine;
  if (page.kinds.has(machineGroupKey(machine))) return entryBytes;
  const [group] = machineGroups([{ ...machine, fencingToken: 0 }]);
  return entryBytes + jsonSizeBytes(group);
}

function haveSameMachines(a: LeasedMachine[], b: LeasedMachine[]): boolean {
  if (a.length !== b.length) return false;
  const draining = new Map(a.map((machine) => [machine.id, machine.draining]));
  return b.every((machine) => draining.get(machine.id) === machine.draining);
}
