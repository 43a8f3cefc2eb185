/** Periodic requests for the cloud's machine list. */
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
 * Applies the cloud's machine list to the inventory periodically. Limits its request rate, so that requests
 * remain for scaling.
 */
export class MachineListPoller {
  /** `minIntervalMs`: minimum pause after a machine list before the next one is requested. */
  constructor(
    private readonly ports: MachineListPollerPorts,
    private readonly inventory: Pick<MachineInventory, 'applyMachineList'>,
    private readonly minIntervalMs: number,
  ) {}

  /** Runs until the term ends. Rejects if the cloud's answer cannot be parsed. */
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
