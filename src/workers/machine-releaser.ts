/** Releases failed machines, and requeues their tasks once the cloud has proven the machines terminated. */
import type { Log } from '../base/log.js';
import { type CloudClient, maxMachinesPerRelease } from '../cloud/client.js';
import type { BlockState } from '../placement/block-state.js';
import type { MachineState } from '../placement/machine-state.js';

/** What the release of machines needs from its controller. */
export interface MachineReleaserPorts {
  log: Log;
  cloud: Pick<CloudClient, 'release'>;
  blockState: Pick<BlockState, 'machines' | 'removeTerminated'>;
  /** Called after machines have been proven terminated and their tasks have been requeued. */
  onTasksRequeued: () => void;
}

/**
 * Releases the machines of a block that have a release reason, at most as many as one request to the cloud
 * may name. The machines and their tasks are removed from the block only after the cloud has confirmed the
 * release. Without a confirmation, the machines keep their release reason and are released again.
 */
export async function releaseMarkedMachines(
  markedMachines: readonly MachineState[],
  { log, cloud, blockState, onTasksRequeued }: MachineReleaserPorts,
): Promise<void> {
  const machines = markedMachines.slice(0, maxMachinesPerRelease);
  const isReleased = await cloud.release(machines.map(({ id }) => id));
  if (!isReleased) return;
  for (const { id, info, releaseReason } of machines) {
    const requeued = blockState.removeTerminated(id);
    log.info(
      {
        event: 'machine-released',
        machine: id,
        type: info.type,
        reason: releaseReason,
        tasks: requeued.length,
      },
      'machine released; requeued its tasks',
    );
  }
  onTasksRequeued();
}
