/** The types of machines that the cloud offers. */
import { sleep } from '../base/clock.js';
import type { CloudClient } from '../cloud/client.js';
import type { MachineType } from '../model/types.js';

const refreshIntervalMs = 30_000;

/** Keeps the types of machines up to date; one that the cloud no longer names is still known. */
export class MachineTypeCatalog {
  private readonly byName = new Map<string, MachineType>();

  constructor(private readonly cloud: Pick<CloudClient, 'machineTypes'>) {}

  /** All known types by name; empty until the cloud has answered for the first time. */
  get types(): ReadonlyMap<string, MachineType> {
    return this.byName;
  }

  /** Refreshes the types until the signal fires. Throws what the request to the cloud throws. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const type of await this.cloud.machineTypes()) this.byName.set(type.name, type);
      await sleep(refreshIntervalMs, signal);
    }
  }
}
