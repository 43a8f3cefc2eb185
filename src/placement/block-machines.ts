/** The machines of one block, as seen by the controller that owns the block. */
import type { Clock } from '../base/clock.js';
import { ExpiringNameSet } from '../base/expiring-name-set.js';
import type { BlockRecord } from '../wire/block-records.js';
import { MachineState } from './machine-state.js';
import type { TeamUsage } from './team-usage.js';

/** Applies the block's record to the block's machines, and remembers machines that are proven terminated. */
export class BlockMachines {
  readonly byId = new Map<string, MachineState>();
  /** Terminated machines, including those that the block's record or a delayed heartbeat still names. */
  private readonly terminated: ExpiringNameSet;
  /**
   * Machines that run orphaned tasks, i.e. tasks not assigned to them. These tasks still count as usage of
   * their teams.
   */
  private readonly machinesWithOrphans = new Set<MachineState>();

  /**
   * `terminatedRetentionMs`: how long a terminated machine is remembered. It has to be long enough for the
   * leader to remove the machine from the block's record.
   */
  constructor(
    private readonly clock: Clock,
    terminatedRetentionMs: number,
  ) {
    this.terminated = new ExpiringNameSet(clock, terminatedRetentionMs);
  }

  /**
   * Applies the block's list of machines. The leader removes only empty machines from a block. If a removed
   * machine still has tasks, these tasks stay assigned to it until the cloud proves that the machine is gone.
   */
  applyRecord({ machines }: BlockRecord): void {
    const listed = new Set(machines.map(({ id }) => id));
    for (const leased of machines) {
      if (this.terminated.has(leased.id)) continue;
      const machine = this.ensure(leased.id);
      machine.info = { id: leased.id, type: leased.type, zone: leased.zone, spot: leased.spot };
      machine.rentedAt = leased.rentedAt;
      machine.draining = leased.draining;
      machine.setFencingToken(leased.fencingToken);
    }
    for (const machine of this.byId.values()) {
      if (listed.has(machine.id)) continue;
      if (machine.tasks.size === 0) this.remove(machine.id);
      else machine.draining = true;
    }
  }

  /**
   * Returns the machine with this id, and adds it if neither the block's record nor the ledger has named it
   * before.
   */
  ensure(id: string): MachineState {
    let machine = this.byId.get(id);
    if (!machine) {
      machine = new MachineState(id, this.clock());
      this.byId.set(id, machine);
    }
    return machine;
  }

  /** Removes a machine that the cloud has proven to be gone, and remembers it as terminated. */
  removeTerminated(id: string): void {
    this.terminated.add(id);
    this.remove(id);
  }

  /** Whether the cloud has proven within the retention time that the machine is gone. */
  isTerminated(id: string): boolean {
    return this.terminated.has(id);
  }

  /** Machines proven terminated at or after `time`, in ms of monotonic time. */
  terminatedSince(time: number): string[] {
    return this.terminated.addedSince(time);
  }

  /** Machines whose first heartbeat was received at or after `time`, in ms of monotonic time. */
  upSince(time: number): string[] {
    return [...this.byId.values()]
      .filter((machine) => machine.hasSentHeartbeat && machine.firstHeartbeatAt >= time)
      .map(({ id }) => id);
  }

  /** Records whether the machine's latest heartbeat reported orphaned tasks. */
  trackOrphans(machine: MachineState): void {
    if (machine.orphanedTasks.length > 0) this.machinesWithOrphans.add(machine);
    else this.machinesWithOrphans.delete(machine);
  }

  /** Adds the resources of orphaned tasks to the usage of their teams. */
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
