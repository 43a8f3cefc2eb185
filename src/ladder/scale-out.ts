/** Scale-out: adds machines to pools by cancelling drains and renting machines. */
import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { type CloudClient, maxMachinesPerRental } from '../cloud/client.js';
import type { Term } from '../leadership/term.js';
import type { MachineType } from '../model/types.js';
import type { Settings } from '../settings/settings.js';
import { CapacityRefusals } from './capacity-refusals.js';
import type { MachineInventory } from './machine-inventory.js';
import type { Pool } from './pools.js';

/** The parts of the controller that scale-out uses. */
export interface ScaleOutPorts {
  clock: Clock;
  cloud: Pick<CloudClient, 'rent'>;
  log: Log;
  settings: Pick<Settings, 'cloud'>;
  term: Pick<Term, 'signal'>;
}

/** Back-off after a first refusal, as a multiple of the machine list lag. */
const refusalBackoffLags = 2;

/**
 * Adds machines to pools. First cancels the drain of machines, then rents machines in the zones with the
 * fewest machines of the pool.
 */
export class ScaleOut {
  private readonly refusals: CapacityRefusals;

  constructor(
    private readonly ports: ScaleOutPorts,
    private readonly inventory: MachineInventory,
  ) {
    this.refusals = new CapacityRefusals(ports.settings.cloud.listLagMs * refusalBackoffLags);
  }

  /** Whether the back-off after a refusal is running in every zone that offers the machine type. */
  isExhausted(type: MachineType, spot: boolean, now: number): boolean {
    return type.zones.every((zone) => this.refusals.isRefused(type.name, zone, spot, now));
  }

  /** Adds `count` machines to the pool, or fewer if the cloud refuses machines or the term ends. */
  async addMachines(pool: Pool, count: number): Promise<void> {
    const { term, clock } = this.ports;
    const toRent = count - this.cancelDrains(pool, count);
    const availableZones = pool.type.zones.filter(
      (zone) => !this.refusals.isRefused(pool.type.name, zone, pool.spot, clock()),
    );
    for (const [zone, share] of spreadOverZones(toRent, availableZones, pool.machines)) {
      // One request rents at most `maxMachinesPerRental` machines. When a cluster starts without machines,
      // several requests are needed for each zone.
      for (let remaining = share; remaining > 0 && !term.signal.aborted; remaining -= maxMachinesPerRental) {
        if (!(await this.rentInZone(pool, zone, Math.min(remaining, maxMachinesPerRental)))) break;
      }
    }
  }

  /**
   * Cancels the drain of up to `count` machines, which is quicker than renting. Returns the number of
   * machines retained.
   */
  private cancelDrains(pool: Pool, count: number): number {
    const retained = pool.draining.filter(({ id }) => this.inventory.canCancelDrain(id)).slice(0, count);
    for (const { id } of retained) this.inventory.cancelDrain(id);
    return retained.length;
  }

  /** Requests machines in a zone. Returns true if all requested machines were rented. */
  private async rentInZone(pool: Pool, zone: string, requested: number): Promise<boolean> {
    const { clock, cloud, log } = this.ports;
    const { name: type } = pool.type;
    const { key, spot } = pool;
    const outcome = await cloud.rent(type, zone, spot, requested);
    const rented = outcome.kind === 'rented' ? outcome.machines : [];
    this.inventory.addRented(rented, { type, zone, spot });
    if (rented.length > 0) {
      this.refusals.clear(type, zone, spot);
      const machines = { count: rented.length, first: rented[0], last: rented.at(-1) };
      log.info(
        { event: 'scaled-out', pool: key, zone, requested, ...machines },
        'rented machines to scale the pool out',
      );
    }
    if (rented.length === requested) return true;
    // With a busy response, the cloud has limited the request rate but not refused capacity. The next
    // evaluation therefore sends the request again.
    if (outcome.kind === 'busy') return false;
    this.refusals.recordRefusal(type, zone, spot, clock());
    log.info(
      { event: 'scale-out-refused', pool: key, zone, requested, reason: outcome.kind },
      'cloud did not confirm all requested machines; no more rentals for the pool in this zone until the back-off ends',
    );
    return false;
  }
}

/**
 * Distributes `count` new machines over the available zones, so that the pool is spread evenly. Each machine
 * is assigned to the zone with the fewest machines; of several such zones, to the first by name. Returns the
 * number of new machines by zone, without zones that receive no machine. The result is empty if no zone is
 * available.
 */
export function spreadOverZones(
  count: number,
  availableZones: Iterable<string>,
  machines: Iterable<{ zone: string }>,
): Map<string, number> {
  const machinesInZone = new Map<string, number>();
  for (const { zone } of machines) increment(machinesInZone, zone);
  const zones = [...availableZones];
  const shares = new Map<string, number>();
  for (let remaining = count; remaining > 0; remaining--) {
    const targetZone = zones.sort(
      (a, b) => (machinesInZone.get(a) ?? 0) - (machinesInZone.get(b) ?? 0) || (a < b ? -1 : 1),
    )[0];
    if (targetZone === undefined) break;
    increment(machinesInZone, targetZone);
    increment(shares, targetZone);
  }
  return shares;
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
