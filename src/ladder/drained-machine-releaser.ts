/** Releases drained machines to the cloud. Runs on the leader. */
import { sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { type CloudClient, maxMachinesPerRelease } from '../cloud/client.js';
import type { Term } from '../leadership/term.js';
import type { JobIndex } from '../placement/job-index.js';
import type { MachineInventory } from './machine-inventory.js';

/** The parts of the controller that the releaser uses. */
export interface DrainedMachineReleaserPorts {
  cloud: Pick<CloudClient, 'release'>;
  jobIndex: Pick<JobIndex, 'machineLoads'>;
  log: Log;
  term: Pick<Term, 'signal'>;
  /** Whether the store has answered recently. If it has not, the term may already be over. */
  isStoreReachable: () => boolean;
}

/**
 * Releases draining machines on which no tasks are left. A successful release also proves that nothing runs
 * on the machines any more.
 */
export class DrainedMachineReleaser {
  constructor(
    private readonly ports: DrainedMachineReleaserPorts,
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
    log.info(
      { event: 'scaled-in', count: batch.length, machines: batch },
      'released machines that were drained or presumed terminated',
    );
  }
}
