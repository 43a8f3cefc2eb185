/** The leader's inventory of machines: what is rented, what is to be drained, and what is terminated. */
import type { Clock } from '../base/clock.js';
import { RecentNames } from '../base/recent-names.js';
import type { CloudMachine } from '../model/types.js';
import type { Settings } from '../settings/settings.js';
import type { LeasedMachine } from '../wire/block-records.js';
import { MissingMachineDetector } from './missing-machine-detector.js';

/** What the inventory uses of the controller. */
export interface MachineInventoryPorts {
  clock: Clock;
  wallClock: () => number;
  settings: Pick<Settings, 'cloud'>;
  /** All machines of all blocks, as the store has them. */
  leasedMachines: () => ReadonlyMap<string, LeasedMachine>;
}

/** Terminated machines are remembered for this many times the lag of the cloud's list, and for the minimum below. */
const terminatedMemoryLags = 20;
const minTerminatedMemoryMs = 60_000;

/**
 * Combines the cloud's list of machines, the leases in the store and what the leader itself has rented and released.
 * Terminated machines stay known for a while, since the list and the blocks may still name them.
 */
export class MachineInventory {
  /** Rented or found in the list, and leased to no block yet. */
  readonly unassigned = new Map<string, LeasedMachine>();
  /** Known to be terminated. */
  readonly terminated: RecentNames;
  /** To be drained and released: nothing more is to be placed on them. */
  readonly toDrain = new Set<string>();
  /** Failed, or no longer listed: most likely terminated by the cloud, which a release will confirm. */
  readonly presumedTerminated = new Set<string>();
  /** A release is under way. */
  private readonly releasing = new Set<string>();
  private readonly missingMachines: MissingMachineDetector;

  constructor(private readonly ports: MachineInventoryPorts) {
    const { listLagMs } = ports.settings.cloud;
    const terminatedMemoryMs = Math.max(minTerminatedMemoryMs, listLagMs * terminatedMemoryLags);
    this.terminated = new RecentNames(ports.clock, terminatedMemoryMs);
    this.missingMachines = new MissingMachineDetector(listLagMs);
  }

  /** When the cloud's list was last applied, in monotonic ms; -Infinity before the first. */
  get lastListAt(): number {
    return this.missingMachines.lastListAt;
  }

  /** Takes the next list of the cloud: what is new on it is unassigned, what is missing from it presumed terminated. */
  applyMachineList(machines: CloudMachine[]): void {
    const leased = this.ports.leasedMachines();
    const known = machines.filter(({ id }) => !this.terminated.has(id));
    for (const machine of known) this.applyListedMachine(machine, leased);
    const expected = [...leased.keys()].filter((id) => !this.terminated.has(id));
    const listed = known.map(({ id }) => id);
    for (const id of this.missingMachines.recordList(this.ports.clock(), listed, expected)) {
      if (!this.terminated.has(id)) this.presumedTerminated.add(id);
    }
  }

  /** All machines that are leased or unassigned, without those that are terminated. */
  currentMachines(): Map<string, LeasedMachine> {
    const machines = new Map([...this.ports.leasedMachines(), ...this.unassigned]);
    for (const id of machines.keys()) if (this.terminated.has(id)) machines.delete(id);
    return machines;
  }

  /** Takes machines out of the unassigned ones that a block has by now. */
  dropAssigned(): void {
    const leased = this.ports.leasedMachines();
    for (const id of this.unassigned.keys()) if (leased.has(id)) this.unassigned.delete(id);
  }

  /** Adds machines that were just rented. */
  addRented(ids: Iterable<string>, kind: Pick<LeasedMachine, 'type' | 'zone' | 'spot'>): void {
    for (const id of ids) this.unassigned.set(id, unassignedMachine(id, kind, this.ports.wallClock()));
  }

  /** True where nothing more is to be placed on the machine. */
  isDraining(id: string): boolean {
    return this.toDrain.has(id) || this.presumedTerminated.has(id);
  }

  /** True while a draining machine can still be kept: it is there, and its release has not begun. */
  canKeep(id: string): boolean {
    return !this.presumedTerminated.has(id) && !this.releasing.has(id);
  }

  /** Marks the machine to be drained and released. */
  drain(id: string): void {
    this.toDrain.add(id);
  }

  /** Takes the mark of a draining machine back. */
  keep(id: string): void {
    this.toDrain.delete(id);
  }

  /**
   * Draining machines that are empty and may be released. A block's owner places nothing on a machine that its record
   * calls draining, and what it had committed before that record is in the job index by the time the record is: so a
   * leased machine is due only once its record says so.
   */
  dueForRelease(isBusy: (id: string) => boolean): string[] {
    const leased = this.ports.leasedMachines();
    return [...this.toDrain, ...this.presumedTerminated].filter((id) => {
      const isMarked = leased.get(id)?.draining ?? true;
      return isMarked && !isBusy(id);
    });
  }

  /** Runs a release of these machines; none of them can be kept meanwhile. Fails as the release does. */
  async whileReleasing<T>(ids: string[], release: () => Promise<T>): Promise<T> {
    for (const id of ids) this.releasing.add(id);
    try {
      return await release();
    } finally {
      for (const id of ids) this.releasing.delete(id);
    }
  }

  /** Notes that these machines are terminated: the leader has released them, or the owner of their block has. */
  markTerminated(ids: Iterable<string>): void {
    for (const id of ids) {
      this.terminated.add(id);
      this.toDrain.delete(id);
      this.presumedTerminated.delete(id);
      this.unassigned.delete(id);
    }
  }

  private applyListedMachine(machine: CloudMachine, leased: ReadonlyMap<string, LeasedMachine>): void {
    const { id, ageS, state } = machine;
    this.presumedTerminated.delete(id);
    // Rented by an earlier leader, or by a request that was carried out late: it is used like any other.
    if (!leased.has(id) && !this.unassigned.has(id)) {
      this.unassigned.set(id, unassignedMachine(id, machine, this.ports.wallClock() - ageS * 1000));
    }
    if (state === 'failed') this.presumedTerminated.add(id);
  }
}

function unassignedMachine(
  id: string,
  { type, zone, spot }: Pick<LeasedMachine, 'type' | 'zone' | 'spot'>,
  rentedAt: number,
): LeasedMachine {
  return { id, fencingToken: 0, type, zone, spot, draining: false, rentedAt };
}
