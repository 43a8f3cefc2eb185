/**
 * Encodes requests to the cloud and parses its responses. `CloudClient` sends the requests and receives the
 * responses.
 *
 * A machine type (`GET /machine_types`, list `hulls`):
 *
 * | wire | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `name` | `name` | name |
 * | `cpus`, `accelerators` | the same | amount |
 * | `memoryGb` | `memoryGb` | GB |
 * | `fetchGbPerS` | `fetchGbPerS` | GB/s; 1 if it is missing |
 * | `price` | `price` | per hour |
 * | `marketPrice` | `spotPrice` | per hour |
 * | `startupS` | `bootS` | s |
 * | `berths` | `zones` | list of names |
 *
 * A rented machine (`GET /rentals`, list `hosts`; `hasNext` is `hasMore`):
 *
 * | wire | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `id` | `id` | name |
 * | `endpoint` | `address` | host:port |
 * | `hull` | `type` | name |
 * | `berth` | `zone` | name |
 * | `loaners` | `spot` | boolean |
 * | `status` | `state` | see below |
 * | `heldS` | `ageS` | s since the rental request |
 *
 * Of the values of `status`, `starting` becomes `booting`; `running` and `failed` stay; any other value
 * counts as `running`.
 *
 * A request to rent machines (`POST /rentals`); the response lists the names of the rented machines in
 * `hosts`:
 *
 * | wire | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `charter` | `name` | name of the request, never reused for another request |
 * | `hull` | `type` | name |
 * | `berth` | `zone` | name |
 * | `loaners` | `spot` | boolean |
 * | `howMany` | `count` | count of machines, at most 50 |
 *
 * A request to release machines (`POST /rentals/release`):
 *
 * | wire | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `hosts` | `machines` | list of names, at most 100 |
 */
import type { CloudMachine, MachineType } from '../model/types.js';
import { asList, asNumber, asText, isFieldMap } from './codec.js';

const machineStates: Record<string, CloudMachine['state']> = {
  starting: 'booting',
  running: 'running',
  failed: 'failed',
};

/** Parses the machine types that the cloud offers. Returns an empty list if the response contains none. */
export function parseMachineTypes(body: unknown): MachineType[] {
  return asList(isFieldMap(body) ? body['hulls'] : undefined)
    .filter(isFieldMap)
    .map((fields) => ({
      name: asText(fields['name']),
      cpus: asNumber(fields['cpus']),
      accelerators: asNumber(fields['accelerators']),
      memoryGb: asNumber(fields['memoryGb']),
      fetchGbPerS: asNumber(fields['fetchGbPerS'], 1),
      price: asNumber(fields['price']),
      spotPrice: asNumber(fields['marketPrice']),
      bootS: asNumber(fields['startupS']),
      zones: asList(fields['berths']).map((zone) => asText(zone)),
    }));
}

/** One page of the list of rented machines, ordered by machine name. */
export interface MachineListPage {
  machines: CloudMachine[];
  /** Whether the list continues after the last machine of this page. */
  hasMore: boolean;
}

/** Parses a page of the list of rented machines. The page is empty if the response contains no machine. */
export function parseMachineList(body: unknown): MachineListPage {
  const fields = isFieldMap(body) ? body : {};
  return {
    machines: asList(fields['hosts'])
      .filter(isFieldMap)
      .map((machine) => ({
        id: asText(machine['id']),
        address: asText(machine['endpoint']),
        type: asText(machine['hull']),
        zone: asText(machine['berth']),
        spot: machine['loaners'] === true,
        state: machineStates[asText(machine['status'])] ?? 'running',
        ageS: asNumber(machine['heldS']),
      })),
    hasMore: fields['hasNext'] === true,
  };
}

/**
 * The request path of a page of the list of rented machines. The page starts after the machine named `after`,
 * or at the first machine if `after` is empty, and contains at most `limit` machines.
 */
export function machineListPath(after: string, limit: number): string {
  const since = after === '' ? '' : `since=${encodeURIComponent(after)}&`;
  return `/rentals?${since}most=${limit}`;
}

/**
 * A request to rent machines of one type in one zone, spot or not. A repeated request with the same name
 * rents no further machines.
 */
export interface RentalRequest {
  /**
   * Idempotency key of the request. It is unique across all controllers and never reused for another request.
   */
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Number of machines to rent. The cloud may rent fewer machines. */
  count: number;
}

/** The request body for renting machines. */
export function rentalBody(request: RentalRequest): unknown {
  return {
    charter: request.name,
    hull: request.type,
    berth: request.zone,
    loaners: request.spot,
    howMany: request.count,
  };
}

/** Parses the response to a request to rent machines. Returns the names of the rented machines. */
export function parseMachineNames(body: unknown): string[] {
  return asList(isFieldMap(body) ? body['hosts'] : undefined).map((name) => asText(name));
}

/** The request body for releasing machines. */
export function releaseBody(machines: string[]): unknown {
  return { hosts: machines };
}
