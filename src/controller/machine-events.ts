/**
 * Lists the machines of this controller's blocks that have recently booted or been terminated. The list is
 * passed to the leader's duties and sent to the peers.
 */
import type { Clock } from '../base/clock.js';
import type { BlockState } from '../placement/block-state.js';

/**
 * Time in ms for which a machine is listed after its boot or termination. During this time, every status sent
 * to a peer repeats the event, so that the peer receives it even if some statuses are lost or arrive out of
 * order.
 */
const eventRetentionMs = 20_000;

/** Collects the machine events of all blocks that this controller owns. */
export class MachineEvents {
  /** `blockStates` returns the states of the blocks that this controller owns at the time of the call. */
  constructor(
    private readonly clock: Clock,
    private readonly blockStates: () => Pick<BlockState, 'machinesTerminatedSince' | 'machinesBootedSince'>[],
  ) {}

  /** Returns the ids of machines that were recently found to be terminated. */
  terminated(): string[] {
    const since = this.clock() - eventRetentionMs;
    return this.blockStates().flatMap((blockState) => blockState.machinesTerminatedSince(since));
  }

  /** Returns the ids of machines whose first heartbeat was received recently. */
  booted(): string[] {
    const since = this.clock() - eventRetentionMs;
    return this.blockStates().flatMap((blockState) => blockState.machinesBootedSince(since));
  }
}
