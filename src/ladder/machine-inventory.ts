/**
 * The leader's inventory of machines: records which machines are rented, are to be drained, or are
 * terminated.
 */
import type { Clock } from '../base/clock.js';
import { ExpiringNameSet } from '../base/expiring-name-set.js';
import type { CloudMachine } from '../model/types.js';
import type { Settings } from '../settings/settings.js';
import type { LeasedMachine } from '../wire/block-records.js';
import { MissingMachineDetector } from './missing-machine-detector.js';

/** The parts of the controller that the inventory uses. */
export interface MachineInventoryPorts {
  clock: Clock;
  wallClock: () => number;
  settings: Pick<Settings, 'cloud'>;
  /** Returns the machines of all blocks as recorded in the store, by id. */
  leasedMachines: () => ReadonlyMap<string, LeasedMachine>;
}

/**
 * Ids of terminated machines are retained for this many times the lag of the machine list, but at least for
 * `minTerminatedRetentionMs`.
 */
const terminatedRetentionLags = 20;
const minTerminatedRetentionMs = 60_000;

/**
 * Combines the cloud's machine list, the machines of the blocks in the store, and the machines that this
 * leader has rented and released. A machine is leased if it belongs to a block, because the block is leased
 * to a controller. Ids of terminated machines are retained for a while, because the machine list and the
 * blocks may still contain these machines.
 */
export class MachineInventory {
  /** Machines that were rented or found in the machine list and do not belong to a block yet, by id. */
  readonly unassigned = new Map<string, LeasedMachine>();
  /** Ids of machines that are known to be terminated. */
  readonly terminated: ExpiringNameSet;
  /** Ids of machines to drain and release. No more tasks are to be placed on these machines. */
  readonly toDrain = new Set<string>();
  /**
   * Ids of machines that failed or are no longer listed. The cloud has probably terminated these machines. A
   * successful release request proves the termination.
   */
  readonly presumedTerminated = new Set<string>();
  /** Ids of machines with a release request in progress. */
  private readonly releasing = new Set<string>();
  private readonly missingMachines: MissingMachineDetector;

  constructor(private readonly ports: MachineInventoryPorts) {
    const { listLagMs } = ports.settings.cloud;
    const terminatedRetentionMs = Math.max(minTerminatedRetentionMs, listLagMs * terminatedRetentionLags);
    this.terminated = new ExpiringNameSet(ports.clock, terminatedRetentionMs);
    this.missingMachines = new MissingMachineDetector(listLagMs);
  }

  /** Monotonic time in ms at which the latest machine list was applied; -Infinity before the first list. */
  get lastListAt(): number {
    return this.missingMachines.lastListAt;
  }

  /**
   * Applies a machine list of the cloud. Listed machines that are in no block become unassigned. Machines
   * that have been missing from the list for too long, or are listed as failed, are presumed terminated.
   */
  applyMachineList(machines: CloudMachine[]): void {
    const leased = this.ports.leasedMachines();
    const notTerminated = machines.filter(({ id }) => !this.terminated.has(id));
    for (const machine of notTerminated) this.applyListedMachine(machine, leased);
    const expected = [...leased.keys()].filter((id) => !this.terminated.has(id));
    const listed = notTerminated.map(({ id }) => id);
    for (const id of this.missingMachines.recordList(this.ports.clock(), listed, expected)) {
      if (!this.terminated.has(id)) this.presumedTerminated.add(id);
    }
  }

  /** Returns all leased or unassigned machines that are not known to be terminated, by id. */
  currentMachines(): Map<string, LeasedMachine> {
    const machines = new Map([...this.ports.leasedMachines(), ...this.unassigned]);
    for (const id of machines.keys()) if (this.terminated.has(id)) machines.delete(id);
    return machines;
  }

  /** Removes machines from `unassigned` that belong to a block by now. */
  removeAssigned(): void {
    const leased = this.ports.leasedMachines();
    for (const id of this.unassigned.keys()) if (leased.has(id)) this.unassigned.delete(id);
  }

  /** Adds machines that were just rented to `unassigned`. */
  addRented(ids: Iterable<string>, attributes: Pick<LeasedMachine, 'type' | 'zone' | 'spot'>): void {
    for (const id of ids) this.unassigned.set(id, unassignedMachine(id, attributes, this.ports.wallClock()));
  }

  /** Whether no more tasks are to be placed on the machine. */
  isDraining(id: string): boolean {
    return this.toDrain.has(id) || this.presumedTerminated.has(id);
  }

  /**
   * Whether the drain of a machine can be cancelled, which requires that the machine is not presumed
   * terminated and that no release request for it is in progress.
   */
  canCancelDrain(id: string): boolean {
    return !this.presumedTerminated.has(id) && !this.releasing.has(id);
  }

  /** Marks the machine to be drained and released. */
  drain(id: string): void {
    this.toDrain.add(id);
  }

  /** Removes the drain mark, so that the machine stays in use. */
  cancelDrain(id: string): void {
    this.toDrain.delete(id);
  }

  /**
   * Returns the ids of the draining machines that run no tasks and may be released. A leased machine is due
   * only after its record in the store is marked draining, because the owner of its block then places no more
   * tasks on it. When this mark becomes visible to the leader, the leader's job index already includes all
   * tasks that the owner committed before the mark.
   */
  dueForRelease(isBusy: (id: string) => boolean): string[] {
    const leased = this.ports.leasedMachines();
    return [...this.toDrain, ...this.presumedTerminated].filter((id) => {
      const isMarkedDraining = leased.get(id)?.draining ?? true;
      return isMarkedDraining && !isBusy(id);
    });
  }

  /**
   * Runs `release`. Until its promise settles, the drain of these machines cannot be cancelled. Rejects if
   * `release` rejects.
   */
  async whileReleasing<T>(ids: string[], release: () => Promise<T>): Promise<T> {
    for (const id of ids) this.releasing.add(id);
    try {
      return await release();
    } finally {
      for (const id of ids) this.releasing.delete(id);
    }
  }

  /**
   * Records that these machines are terminated, because the leader or the owner of their block has released
   * them.
   */
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
    // A machine that is listed but otherwise unknown was rented by an earlier leader, or by a request that
    // the cloud executed late. The machine is used like any other machine.
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
