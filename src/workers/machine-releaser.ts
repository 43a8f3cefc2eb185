/** Release of failed machines, whose tasks wait again once the cloud has proven the machines terminated. */
import type { Log } from '../base/log.js';
import { type CloudClient, maxMachinesPerRelease } from '../cloud/client.js';
import type { BlockState } from '../placement/block-state.js';
import type { MachineState } from '../placement/machine-state.js';

/** What the release of machines needs. */
export interface MachineReleaserPorts {
  log: Log;
  cloud: Pick<CloudClient, 'release'>;
  blockState: Pick<BlockState, 'machines' | 'removeTerminated'>;
  /** Called after machines were proven terminated: their tasks wait again. */
  onTasksRequeued: () => void;
}

/**
 * Releases the machines of a block that have a release reason, at most as many as one request to the cloud may name. Only
 * the cloud's answer takes them and their tasks off the block; without it they are released again.
 */
export async function releaseMarkedMachines(
  marked: readonly MachineState[],
  { log, cloud, blockState, onTasksRequeued }: MachineReleaserPorts,
): Promise<void> {
  const machines = marked.slice(0, maxMachinesPerRelease);
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
      'machine released',
    );
  }
  onTasksRequeued();
}
