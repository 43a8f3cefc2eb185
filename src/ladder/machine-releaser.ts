/** Release of drained machines. */
import { sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { type CloudClient, maxMachinesPerRelease } from '../cloud/client.js';
import type { Term } from '../leadership/term.js';
import type { JobIndex } from '../placement/job-index.js';
import type { MachineInventory } from './machine-inventory.js';

/** What the releaser uses of the controller. */
export interface MachineReleaserPorts {
  cloud: Pick<CloudClient, 'release'>;
  jobIndex: Pick<JobIndex, 'machineLoads'>;
  log: Log;
  term: Pick<Term, 'signal'>;
  /** The store has answered lately: without it the term may be over. */
  isStoreReachable: () => boolean;
}

/** Releases draining machines once they are empty, which also proves that nothing runs on them any more. */
export class MachineReleaser {
  constructor(
    private readonly ports: MachineReleaserPorts,
    private readonly inventory: MachineInventory,
    private readonly intervalMs: number,
  ) {}

  /** Runs until the term ends. */
  async run(): Promise<void> {
    const { term } = this.ports;
    while (!term.signal.aborted) {
      await sleep(this.intervalMs, term.signal);
      if (this.ports.isStoreReachable()) await this.releaseDue();
    }
  }

  private async releaseDue(): Promise<void> {
    const { cloud, jobIndex, log } = this.ports;
    const loads = jobIndex.machineLoads();
    const batch = this.inventory.dueForRelease((id) => loads.has(id)).slice(0, maxMachinesPerRelease);
    if (batch.length === 0) return;
    const isReleased = await this.inventory.whileReleasing(batch, () => cloud.release(batch));
    if (!isReleased) return;
    this.inventory.markTerminated(batch);
    log.info({ event: 'scaled-in', count: batch.length, machines: batch }, 'machines released');
  }
}
