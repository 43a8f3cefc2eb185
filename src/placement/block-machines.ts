/** The machines of one block, as its owner knows them. */
import type { Clock } from '../base/clock.js';
import { RecentNames } from '../base/recent-names.js';
import type { BlockRecord } from '../wire/block-records.js';
import { MachineState } from './machine-state.js';
import type { TeamUsage } from './team-usage.js';

/** Follows the block's record, and remembers machines that are proven terminated. */
export class BlockMachines {
  readonly byId = new Map<string, MachineState>();
  /** Terminated machines, however long the block's record or a late heartbeat still names them. */
  private readonly terminated: RecentNames;
  /** Machines with tasks that they should not have: their teams are charged for them all the same. */
  private readonly withOrphans = new Set<MachineState>();

  /** `rememberTerminatedMs`: long enough for the leader to take a terminated machine out of the block's record. */
  constructor(
    private readonly clock: Clock,
    rememberTerminatedMs: number,
  ) {
    this.terminated = new RecentNames(clock, rememberTerminatedMs);
  }

  /**
   * Takes over which machines the block has. A machine is taken out of a block only when it is empty; should it not be, its
   * tasks keep their place until the cloud proves them gone.
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
      if (machine.tasks.size === 0) this.forget(machine.id);
      else machine.draining = true;
    }
  }

  /** The machine with this name; one that neither the record nor a ledger has named yet is added. */
  ensure(id: string): MachineState {
    let machine = this.byId.get(id);
    if (!machine) {
      machine = new MachineState(id, this.clock());
      this.byId.set(id, machine);
    }
    return machine;
  }

  /** Forgets a machine of which the cloud has proven that it is gone, and remembers that it is. */
  removeTerminated(id: string): void {
    this.terminated.add(id);
    this.forget(id);
  }

  /** Whether the cloud has lately proven the machine gone. */
  isTerminated(id: string): boolean {
    return this.terminated.has(id);
  }

  /** Machines proven gone since this steady time. */
  terminatedSince(time: number): string[] {
    return this.terminated.since(time);
  }

  /** Machines whose first heartbeat came since this steady time. */
  upSince(time: number): string[] {
    return [...this.byId.values()]
      .filter((machine) => machine.hasSentHeartbeat && machine.firstHeartbeatAt >= time)
      .map(({ id }) => id);
  }

  /** Notes whether the machine's last heartbeat named tasks that it should not have. */
  noteOrphans(machine: MachineState): void {
    if (machine.orphanedTasks.length > 0) this.withOrphans.add(machine);
    else this.withOrphans.delete(machine);
  }

  /** Adds what those tasks take of the limits of their teams. */
  addOrphanUsage(usage: TeamUsage): void {
    for (const machine of this.withOrphans) {
      for (const { team, need } of machine.orphanedTasks) if (team !== undefined) usage.add(team, need);
    }
  }

  private forget(id: string): void {
    const machine = this.byId.get(id);
    if (machine) this.withOrphans.delete(machine);
    this.byId.delete(id);
  }
}
