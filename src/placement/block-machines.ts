/**
 * Tracks the machines of one block in the controller that owns the block. A block is a set of machines, with
 * the tasks placed on them, that is leased to one controller.
 */
import type { Clock } from '../base/clock.js';
import { ExpiringNameSet } from '../base/expiring-name-set.js';
import type { BlockRecord } from '../wire/block-records.js';
import { MachineState } from './machine-state.js';
import type { TeamUsage } from './team-usage.js';

/**
 * The machines of one block. The set is updated from the block's record, in which the leader lists the
 * machines. Machines that the cloud has confirmed as terminated are remembered for a retention time.
 */
export class BlockMachines {
  readonly byId = new Map<string, MachineState>();
  /**
   * Ids of terminated machines. An outdated block record may still list such a machine, and a delayed
   * heartbeat of the machine may still arrive.
   */
  private readonly terminated: ExpiringNameSet;
  /**
   * Machines whose latest heartbeat reported orphaned tasks, i.e. tasks that are not assigned to the machine.
   * The resources of orphaned tasks count as usage of the tasks' teams.
   */
  private readonly machinesWithOrphans = new Set<MachineState>();

  /**
   * `terminatedRetentionMs`: how long the id of a terminated machine is remembered. The leader must remove
   * the machine from the block's record within this time, because a machine that the record still lists
   * afterwards is added to the block again.
   */
  constructor(
    private readonly clock: Clock,
    terminatedRetentionMs: number,
  ) {
    this.terminated = new ExpiringNameSet(clock, terminatedRetentionMs);
  }

  /**
   * Adds and updates the machines that the block's record lists. The leader removes a machine from the record
   * only if the machine is empty. If tasks are nevertheless assigned to a removed machine, the machine is
   * drained and the tasks stay assigned until the cloud confirms that the machine is terminated.
   */
  applyRecord({ machines }: BlockRecord): void {
    const listedIds = new Set(machines.map(({ id }) => id));
    for (const leased of machines) {
      if (this.terminated.has(leased.id)) continue;
      const machine = this.ensure(leased.id);
      machine.info = { id: leased.id, type: leased.type, zone: leased.zone, spot: leased.spot };
      machine.rentedAt = leased.rentedAt;
      machine.draining = leased.draining;
      machine.setFencingToken(leased.fencingToken);
    }
    for (const machine of this.byId.values()) {
      if (listedIds.has(machine.id)) continue;
      if (machine.tasks.size === 0) this.remove(machine.id);
      else machine.draining = true;
    }
  }

  /**
   * Returns the machine with this id. Adds the machine if the block does not contain it yet.
   */
  ensure(id: string): MachineState {
    let machine = this.byId.get(id);
    if (!machine) {
      machine = new MachineState(id, this.clock());
      this.byId.set(id, machine);
    }
    return machine;
  }

  /** Removes a machine that the cloud has confirmed as terminated, and remembers its id. */
  removeTerminated(id: string): void {
    this.terminated.add(id);
    this.remove(id);
  }

  /** Whether the cloud has confirmed, within the retention time, that the machine is terminated. */
  isTerminated(id: string): boolean {
    return this.terminated.has(id);
  }

  /** Returns the ids of machines that were confirmed as terminated at or after `time` (monotonic, in ms). */
  terminatedSince(time: number): string[] {
    return this.terminated.addedSince(time);
  }

  /** Returns the ids of machines whose first heartbeat was received at or after `time` (monotonic, in ms). */
  bootedSince(time: number): string[] {
    return [...this.byId.values()]
      .filter((machine) => machine.hasSentHeartbeat && machine.firstHeartbeatAt >= time)
      .map(({ id }) => id);
  }

  /** Updates the set of machines with orphaned tasks after a heartbeat of this machine. */
  trackOrphans(machine: MachineState): void {
    if (machine.orphanedTasks.length > 0) this.machinesWithOrphans.add(machine);
    else this.machinesWithOrphans.delete(machine);
  }

  /** Adds the resources of the orphaned tasks on all machines to the usage of the tasks' teams. */
  addOrphanUsage(usage: TeamUsage): void {
    for (const machine of this.machinesWithOrphans) {
      for (const { team, need } of machine.orphanedTasks) if (team !== undefined) usage.add(team, need);
    }
  }

  private remove(id: string): void {
    const machine = this.byId.get(id);
    if (machine) this.machinesWithOrphans.delete(machine);
    this.byId.delete(id);
  }
}
