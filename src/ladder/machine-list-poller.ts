/** Requests the cloud's machine list periodically. */
import { sleep } from '../base/clock.js';
import { type CloudClient, maxMachinesPerPage } from '../cloud/client.js';
import type { Term } from '../leadership/term.js';
import type { Settings } from '../settings/settings.js';
import type { MachineInventory } from './machine-inventory.js';

/** The parts of the controller that the poller uses. */
export interface MachineListPollerPorts {
  cloud: Pick<CloudClient, 'listMachines'>;
  settings: Pick<Settings, 'cloud'>;
  term: Pick<Term, 'signal'>;
}

/** Maximum share of the cloud's request rate limit that is used for machine lists. */
const listCallShare = 0.4;

/**
 * Requests the cloud's machine list periodically and applies the list to the inventory. Uses only a part of
 * the cloud's request rate limit, so that the rest remains available for rentals and releases.
 */
export class MachineListPoller {
  /** `minIntervalMs` is the minimum pause in ms between a machine list and the next request. */
  constructor(
    private readonly ports: MachineListPollerPorts,
    private readonly inventory: Pick<MachineInventory, 'applyMachineList'>,
    private readonly minIntervalMs: number,
  ) {}

  /** Runs until the term ends. Rejects if the response of the cloud cannot be parsed. */
  async run(): Promise<void> {
    const { cloud, term } = this.ports;
    while (!term.signal.aborted) {
      const machines = await cloud.listMachines();
      this.inventory.applyMachineList(machines);
      await sleep(this.intervalMs(machines.length), term.signal);
    }
  }

  private intervalMs(machines: number): number {
    const { rps, listLagMs } = this.ports.settings.cloud;
    const calls = Math.ceil((machines + 1) / maxMachinesPerPage);
    const pacedMs = (calls * 1000) / (rps * listCallShare);
    return Math.max(this.minIntervalMs, listLagMs / 2, pacedMs);
  }
}
