/** Catalog of the machine types that the cloud offers. */
import { sleep } from '../base/clock.js';
import type { CloudClient } from '../cloud/client.js';
import type { MachineType } from '../model/types.js';

const refreshIntervalMs = 30_000;

/** Refreshes the machine types periodically. A type that the cloud no longer lists stays in the catalog. */
export class MachineTypeCatalog {
  private readonly byName = new Map<string, MachineType>();

  constructor(private readonly cloud: Pick<CloudClient, 'machineTypes'>) {}

  /** All machine types by name; empty until the cloud has responded for the first time. */
  get types(): ReadonlyMap<string, MachineType> {
    return this.byName;
  }

  /**
   * Refreshes the machine types until the signal fires. If a request to the cloud fails, rejects with the
   * error of this request.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const type of await this.cloud.machineTypes()) this.byName.set(type.name, type);
      await sleep(refreshIntervalMs, signal);
    }
  }
}
