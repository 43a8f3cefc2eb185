/**
 * Requests to the cloud and its answers, all by `CloudClient`.
 *
 * A type of machine (`GET /machine_types`, list `hulls`):
 *
 * | wire | ours | unit |
 * | --- | --- | --- |
 * | `name` | `name` | name |
 * | `cpus`, `accelerators` | the same | amount |
 * | `memoryGb` | `memoryGb` | GB |
 * | `fetchGbPerS` | `fetchGbPerS` | GB/s; 1 where it is missing |
 * | `price` | `price` | per hour |
 * | `marketPrice` | `spotPrice` | per hour |
 * | `startupS` | `bootS` | s |
 * | `berths` | `zones` | list of names |
 *
 * A rented machine (`GET /rentals`, list `hosts`; `hasNext` is `hasMore`):
 *
 * | wire | ours | unit |
 * | --- | --- | --- |
 * | `id` | `id` | name |
 * | `endpoint` | `address` | host:port |
 * | `hull` | `type` | name |
 * | `berth` | `zone` | name |
 * | `loaners` | `spot` | boolean |
 * | `status` | `state` | `starting`: `booting`, `running`, `failed`; others count as `running` |
 * | `heldS` | `ageS` | s since the rental request |
 *
 * A rental (`POST /rentals`), answered with the names of the machines in `hosts`:
 *
 * | wire | ours | unit |
 * | --- | --- | --- |
 * | `charter` | `name` | name of the request, never used for another |
 * | `hull` | `type` | name |
 * | `berth` | `zone` | name |
 * | `loaners` | `spot` | boolean |
 * | `howMany` | `count` | count of machines, at most 50 |
 *
 * A release (`POST /rentals/release`):
 *
 * | wire | ours | unit |
 * | --- | --- | --- |
 * | `hosts` | `machines` | list of names, at most 100 |
 */
import type { CloudMachine, MachineType } from '../model/types.js';
import { isFields, list, number, text } from './codec.js';

const machineStates: Record<string, CloudMachine['state']> = {
  starting: 'booting',
  running: 'running',
  failed: 'failed',
};

/** The types on offer; empty where the answer holds none. */
export function parseMachineTypes(body: unknown): MachineType[] {
  return list(isFields(body) ? body['hulls'] : undefined)
    .filter(isFields)
    .map((h) => ({
      name: text(h['name']),
      cpus: number(h['cpus']),
      accelerators: number(h['accelerators']),
      memoryGb: number(h['memoryGb']),
      fetchGbPerS: number(h['fetchGbPerS'], 1),
      price: number(h['price']),
      spotPrice: number(h['marketPrice']),
      bootS: number(h['startupS']),
      zones: list(h['berths']).map((b) => text(b)),
    }));
}

/** One page of the list of rented machines, in the order of their names. */
export interface MachineListPage {
  machines: CloudMachine[];
  /** There are further machines after the last of these. */
  hasMore: boolean;
}

/** A page of the list; empty where the answer holds none. */
export function parseMachineList(body: unknown): MachineListPage {
  const fields = isFields(body) ? body : {};
  return {
    machines: list(fields['hosts'])
      .filter(isFields)
      .map((h) => ({
        id: text(h['id']),
        address: text(h['endpoint']),
        type: text(h['hull']),
        zone: text(h['berth']),
        spot: h['loaners'] === true,
        state: machineStates[text(h['status'])] ?? 'running',
        ageS: number(h['heldS']),
      })),
    hasMore: fields['hasNext'] === true,
  };
}

/**
 * The path of the page that begins after the machine `after`, or with the first where this is empty, and holds `limit`
 * machines at most.
 */
export function machineListPath(after: string, limit: number): string {
  const since = after === '' ? '' : `since=${encodeURIComponent(after)}&`;
  return `/rentals?${since}most=${limit}`;
}

/** Machines of one kind to be rented; repeated under the same name, it rents nothing more. */
export interface RentalRequest {
  /** Makes the request idempotent: unique for good, over all controllers. */
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Fewer may be rented. */
  count: number;
}

/** The body of a rental. */
export function rentalBody(r: RentalRequest): unknown {
  return { charter: r.name, hull: r.type, berth: r.zone, loaners: r.spot, howMany: r.count };
}

/** The names of the machines that a rental got. */
export function parseMachineNames(body: unknown): string[] {
  return list(isFields(body) ? body['hosts'] : undefined).map((h) => text(h));
}

/** The body of a release. */
export function releaseBody(machines: string[]): unknown {
  return { hosts: machines };
}
