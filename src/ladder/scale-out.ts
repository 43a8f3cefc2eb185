/** Scale-out: how a pool gets more machines. */
import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { type CloudClient, maxMachinesPerRental } from '../cloud/client.js';
import type { Term } from '../leadership/term.js';
import type { MachineType } from '../model/types.js';
import type { Settings } from '../settings/settings.js';
import { CapacityRefusals } from './capacity-refusals.js';
import type { MachineInventory } from './machine-inventory.js';
import type { Pool } from './pools.js';

/** What scale-out uses of the controller. */
export interface ScaleOutPorts {
  clock: Clock;
  cloud: Pick<CloudClient, 'rent'>;
  log: Log;
  settings: Pick<Settings, 'cloud'>;
  term: Pick<Term, 'signal'>;
}

/** The first pause after a refusal, in times the lag of the cloud's list. */
const refusalBackoffLags = 2;

/** Adds machines to pools: draining machines that can still be kept first, then machines rented in the emptiest zones. */
export class ScaleOut {
  private readonly refusals: CapacityRefusals;

  constructor(
    private readonly ports: ScaleOutPorts,
    private readonly inventory: MachineInventory,
  ) {
    this.refusals = new CapacityRefusals(ports.settings.cloud.listLagMs * refusalBackoffLags);
  }

  /** True while every zone of the type is in the pause after a refusal. */
  isExhausted(type: MachineType, spot: boolean, now: number): boolean {
    return type.zones.every((zone) => this.refusals.isRefused(type.name, zone, spot, now));
  }

  /** Adds up to `count` machines to the pool; fewer where the cloud refuses or the term ends. */
  async addMachines(pool: Pool, count: number): Promise<void> {
    const { term, clock } = this.ports;
    const missing = count - this.keepDraining(pool, count);
    const openZones = pool.type.zones.filter(
      (zone) => !this.refusals.isRefused(pool.type.name, zone, pool.spot, clock()),
    );
    for (const [zone, share] of spreadOverZones(missing, openZones, pool.machines)) {
      // One call rents only so many: a site that starts from nothing takes several for each zone.
      for (let left = share; left > 0 && !term.signal.aborted; left -= maxMachinesPerRental) {
        if (!(await this.rentInZone(pool, zone, Math.min(left, maxMachinesPerRental)))) break;
      }
    }
  }

  /** Keeps up to `count` draining machines, which is quicker than renting. Returns how many were kept. */
  private keepDraining(pool: Pool, count: number): number {
    const kept = pool.draining.filter(({ id }) => this.inventory.canKeep(id)).slice(0, count);
    for (const { id } of kept) this.inventory.keep(id);
    return kept.length;
  }

  /** Returns true where all that was asked for was rented. */
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
      log.info({ event: 'scaled-out', pool: key, zone, requested, ...machines }, 'machines rented');
    }
    if (rented.length === requested) return true;
    // The cloud only asks to slow down, which is no refusal: the next evaluation asks again.
    if (outcome.kind === 'busy') return false;
    this.refusals.recordRefusal(type, zone, spot, clock());
    log.info(
      { event: 'scale-out-refused', pool: key, zone, requested, reason: outcome.kind },
      'capacity refused',
    );
    return false;
  }
}

/**
 * How many of `count` new machines each open zone gets, so that the pool is spread evenly: each goes to the zone with the
 * fewest machines, of several to the first by name. Zones that get none are left out; without an open zone none does.
 */
export function spreadOverZones(
  count: number,
  openZones: Iterable<string>,
  machines: Iterable<{ zone: string }>,
): Map<string, number> {
  const machinesInZone = new Map<string, number>();
  for (const { zone } of machines) addOne(machinesInZone, zone);
  const zones = [...openZones];
  const shares = new Map<string, number>();
  for (let left = count; left > 0; left--) {
    const emptiest = zones.sort(
      (a, b) => (machinesInZone.get(a) ?? 0) - (machinesInZone.get(b) ?? 0) || (a < b ? -1 : 1),
    )[0];
    if (emptiest === undefined) break;
    addOne(machinesInZone, emptiest);
    addOne(shares, emptiest);
  }
  return shares;
}

function addOne(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
