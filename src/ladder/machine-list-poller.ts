/** Periodic listing of the cloud's machines. */
import { sleep } from '../base/clock.js';
import { type CloudClient, maxMachinesPerList } from '../cloud/client.js';
import type { Term } from '../leadership/term.js';
import type { Settings } from '../settings/settings.js';
import type { MachineInventory } from './machine-inventory.js';

/** What the poller uses of the controller. */
export interface MachineListPollerPorts {
  cloud: Pick<CloudClient, 'listMachines'>;
  settings: Pick<Settings, 'cloud'>;
  term: Pick<Term, 'signal'>;
}

/** The share of the calls to the cloud that lists of all machines may take. */
const listCallShare = 0.4;

/** Keeps the inventory up to date with the cloud's list, at a pace that leaves calls for scaling. */
export class MachineListPoller {
  /** `minIntervalMs`: the time between two lists, at least. */
  constructor(
    private readonly ports: MachineListPollerPorts,
    private readonly inventory: Pick<MachineInventory, 'applyMachineList'>,
    private readonly minIntervalMs: number,
  ) {}

  /** Runs until the term ends; throws where the cloud's answer cannot be read. */
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
    const calls = Math.ceil((machines + 1) / maxMachinesPerList);
    const pacedMs = (calls * 1000) / (rps * listCallShare);
    return Math.max(this.minIntervalMs, listLagMs / 2, pacedMs);
  }
}
