/**
 * Releases failed machines, and requeues their tasks after the cloud has confirmed that the machines are
 * terminated.
 */
import type { Log } from '../base/log.js';
import { type CloudClient, maxMachinesPerRelease } from '../cloud/client.js';
import type { BlockState } from '../placement/block-state.js';
import type { MachineState } from '../placement/machine-state.js';

/** Dependencies of the release of machines on the rest of the controller. */
export interface MachineReleaserPorts {
  log: Log;
  cloud: Pick<CloudClient, 'release'>;
  blockState: Pick<BlockState, 'machines' | 'removeTerminated'>;
  /**
   * Called after the cloud has confirmed a release and the tasks of the released machines have been requeued.
   */
  onTasksRequeued: () => void;
}

/**
 * Releases the machines of a block that have a release reason. If their number exceeds the number of machines
 * that one request to the cloud may name, the rest is left for a later call. The machines and their tasks are
 * removed from the block only after the cloud has confirmed the release. Without a confirmation, the machines
 * keep their release reason, and the release is retried.
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
      'the cloud confirmed the release of the machine; its tasks were requeued',
    );
  }
  onTasksRequeued();
}
