import type { Clock } from '../base/clock.js';
import { sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { runRoutine } from '../base/routine.js';
import { type CloudClient, releaseLimit } from '../cloud/client.js';
import type { Term } from '../leadership/term.js';
import type { CloudMachine, MachineType } from '../model/types.js';
import type { Board } from '../placement/board.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Settings } from '../settings/settings.js';
import type { MachineState } from '../workers/machine-state.js';
import { type Pool, buildPools, countDemand, poolKey } from './demand.js';
import { Ladder } from './ladder.js';
import { Refusals } from './refusals.js';
import { silentMachines } from './silence.js';

export interface FleetPorts {
  clock: Clock;
  log: Log;
  settings: Settings;
  operator: OperatorSettings;
  cloud: CloudClient;
  board: Board;
  term: Term;
  types: () => ReadonlyMap<string, MachineType>;
  /** Machines were proven gone, so their tasks wait again. */
  onFreed: () => void;
}

const tickMs = 1000;
/** A machine that is given back earlier is charged for this long all the same. */
const minimumChargeMs = 60_000;

/** The leader's renting and giving back. */
export class Fleet {
  private readonly ladder: Ladder;
  private readonly refusals: Refusals;
  private readonly listedBefore = new Set<string>();
  private readonly why = new Map<string, string>();
  private listedAt = -Infinity;

  constructor(private readonly ports: FleetPorts) {
    this.ladder = new Ladder(ports.operator.ladder);
    this.refusals = new Refusals(ports.settings.cloud.listLagMs * 2);
  }

  async run(): Promise<void> {
    const { term, log } = this.ports;
    const duties: [string, () => Promise<void>][] = [
      ['machine-list', () => this.followList()],
      ['renting', () => this.keepRenting()],
      ['releasing', () => this.keepReleasing()],
    ];
    await Promise.all(duties.map(([name, duty]) => runRoutine(name, term.signal, log, duty)));
  }

  /** Marks a machine to be released; the cloud's answer is the proof that it is gone. */
  release(machine: MachineState, why: string): void {
    if (machine.status === 'releasing') return;
    machine.status = 'releasing';
    this.why.set(machine.id, why);
  }

  private async followList(): Promise<void> {
    const { cloud, settings, term } = this.ports;
    while (!term.signal.aborted) {
      this.applyList(await cloud.listMachines());
      await sleep(Math.max(tickMs * 2, settings.cloud.listLagMs / 2), term.signal);
    }
  }

  private applyList(listed: CloudMachine[]): void {
    const { board, clock, settings } = this.ports;
    const now = clock();
    this.listedAt = now;
    const present = new Set<string>();
    for (const { id, type, zone, spot, state, ageS } of listed) {
      present.add(id);
      // The list lags: what we know to be gone may still appear.
      if (board.isGone(id)) continue;
      const machine = board.machine({ id, type, zone, spot }, now - ageS * 1000);
      machine.rentedAt = Math.min(machine.rentedAt, now - ageS * 1000);
      if (state === 'failed') this.release(machine, 'failed');
      this.listedBefore.add(id);
    }
    for (const id of this.listedBefore) {
      const machine = board.machines.get(id);
      if (!machine) this.listedBefore.delete(id);
      else if (!present.has(id) && now - machine.lastSeen > settings.reportMs * 1.6) {
        // Listed once and no longer, and silent: most likely taken. Releasing it proves it.
        this.release(machine, 'no longer listed');
      }
    }
  }

  private async keepRenting(): Promise<void> {
    const { term, clock, settings } = this.ports;
    while (!term.signal.aborted) {
      this.watchMachines();
      // What the last leader rented takes a while to be listed; renting sooner would rent it twice.
      const informed =
        clock() - term.startedAt > settings.cloud.listLagMs * 2 && this.listedAt > term.startedAt;
      if (informed && this.ports.types().size > 0) await this.step();
      await sleep(tickMs, term.signal);
    }
  }

  /** Releases machines that never come up, that have gone silent, or on which different jobs fail. */
  private watchMachines(): void {
    const { board, clock, settings, operator, types } = this.ports;
    const now = clock();
    const machines = [...board.machines.values()];
    for (const machine of machines) {
      const bootMs = (types().get(machine.place.type)?.bootS ?? 0) * 1000 * operator.workers.bootTimes;
      const late = !machine.everSeen && now - machine.rentedAt > Math.max(bootMs, settings.leaseMs);
      if (late && now - machine.lastSeen > settings.leaseMs && machine.place.type !== '') {
        this.release(machine, 'never came up');
      }
      if (machine.faulty && machine.idle) this.release(machine, 'faulty');
    }
    for (const machine of silentMachines(machines, now, settings, operator.workers.silentReports)) {
      this.release(machine, 'silent');
    }
  }

  private async step(): Promise<void> {
    const { board, types, settings, operator, clock } = this.ports;
    const now = clock();
    const pools = buildPools(types().values(), board.machines.values(), (type, spot) =>
      type.zones.every((zone) => this.refusals.refused(type.name, zone, spot, now)),
    );
    countDemand({
      jobs: board.jobs.values(),
      machines: board.machines,
      pools,
      teams: settings.teams,
      usage: board.usage(),
      shape: operator.ladder,
    });
    for (const pool of pools.values()) {
      const want = this.ladder.rentTo(pool.machines.length, pool.counted);
      if (want > pool.machines.length) await this.rent(pool, want - pool.machines.length);
      else if (this.ladder.givesBack(pool.machines.length, pool.counted)) this.giveBack(pool, now);
      for (const machine of pool.draining) {
        if (machine.idle && now - machine.rentedAt >= minimumChargeMs) this.release(machine, 'given back');
      }
    }
  }

  private async rent(pool: Pool, count: number): Promise<void> {
    const { clock, cloud, board, log, term } = this.ports;
    let missing = count;
    // A machine on its way out is the quickest to have back.
    for (const machine of pool.draining.slice(0, missing)) {
      machine.draining = false;
      missing--;
    }
    const inZone = new Map(pool.type.zones.map((zone) => [zone, 0]));
    for (const { place } of pool.machines) inZone.set(place.zone, (inZone.get(place.zone) ?? 0) + 1);
    const shares = new Map<string, number>();
    for (; missing > 0; missing--) {
      const open = pool.type.zones.filter(
        (zone) => !this.refusals.refused(pool.type.name, zone, pool.spot, clock()),
      );
      const zone = open.sort((a, b) => (inZone.get(a) ?? 0) - (inZone.get(b) ?? 0) || (a < b ? -1 : 1))[0];
      if (zone === undefined) break;
      inZone.set(zone, (inZone.get(zone) ?? 0) + 1);
      shares.set(zone, (shares.get(zone) ?? 0) + 1);
    }
    for (const [zone, share] of shares) {
      if (term.signal.aborted) return;
      const outcome = await cloud.rent(pool.type.name, zone, pool.spot, share);
      const now = clock();
      const rented = outcome.kind === 'rented' ? outcome.machines : [];
      for (const id of rented) board.machine({ id, type: pool.type.name, zone, spot: pool.spot }, now);
      if (rented.length > 0) {
        this.refusals.granted(pool.type.name, zone, pool.spot);
        log.info({ event: 'rented', pool: pool.key, zone, asked: share, machines: rented }, 'rented');
      }
      if (rented.length < share) {
        this.refusals.refuse(pool.type.name, zone, pool.spot, now);
        log.info(
          { event: 'rental-refused', pool: pool.key, zone, asked: share, why: outcome.kind },
          'capacity refused',
        );
      }
    }
  }

  private giveBack(pool: Pool, now: number): void {
    const paid = pool.machines.filter(
      (machine) => machine.status === 'up' && now - machine.rentedAt >= minimumChargeMs,
    );
    // Placement fills machines in order of name, so the last ones empty first.
    const empty = paid.filter((machine) => machine.idle).sort((a, b) => (a.id < b.id ? 1 : -1))[0];
    if (empty) return this.release(empty, 'given back');
    const least = paid.sort((a, b) => a.tasks.size - b.tasks.size || (a.id < b.id ? 1 : -1))[0];
    if (least) least.draining = true;
  }

  private async keepReleasing(): Promise<void> {
    const { board, cloud, term, log, onFreed } = this.ports;
    while (!term.signal.aborted) {
      const due = [...board.machines.values()].filter((m) => m.status === 'releasing').slice(0, releaseLimit);
      if (due.length > 0 && (await cloud.release(due.map((m) => m.id)))) {
        for (const machine of due) {
          const lost = board.remove(machine.id);
          const why = this.why.get(machine.id) ?? 'released';
          this.why.delete(machine.id);
          const pool = poolKey(machine.place.type, machine.place.spot);
          log.info({ event: 'released', machine: machine.id, pool, why, tasks: lost.length }, 'released');
        }
        onFreed();
      }
      await sleep(tickMs / 4, term.signal);
    }
  }
}
