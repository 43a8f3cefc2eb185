import type { CloudMachine, MachineType } from '../model/types.js';
import { isFields, list, number, text } from './codec.js';

const machineStates: Record<string, CloudMachine['state']> = {
  starting: 'booting',
  running: 'running',
  failed: 'failed',
};

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

export interface MachineListPage {
  machines: CloudMachine[];
  hasMore: boolean;
}

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

export function machineListPath(after: string, limit: number): string {
  const since = after === '' ? '' : `since=${encodeURIComponent(after)}&`;
  return `/rentals?${since}most=${limit}`;
}

export interface RentalRequest {
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

export function rentalBody(r: RentalRequest): unknown {
  return { charter: r.name, hull: r.type, berth: r.zone, loaners: r.spot, howMany: r.count };
}

export function parseMachineNames(body: unknown): string[] {
  return list(isFields(body) ? body['hosts'] : undefined).map((h) => text(h));
}

export function releaseBody(machines: string[]): unknown {
  return { hosts: machines };
}
