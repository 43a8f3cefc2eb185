/**
 * Machines of this controller's blocks that have booted or been terminated recently, for the leader and the
 * peers.
 */
import type { Clock } from '../base/clock.js';
import type { BlockState } from '../placement/block-state.js';

/**
 * For this long, in ms, a machine is listed after its event, so that later statuses to a peer repeat the
 * event if a status was lost or overtaken by a later one.
 */
const eventRetentionMs = 20_000;

/** Collects the machine events of all blocks that this controller owns. */
export class MachineEvents {
  /** `blockStates`: returns the states of the blocks that this controller owns at the time of the call. */
  constructor(
    private readonly clock: Clock,
    private readonly blockStates: () => Pick<BlockState, 'machinesTerminatedSince' | 'machinesUpSince'>[],
  ) {}

  /** Machines that have recently been proven to be terminated. */
  terminated(): string[] {
    const since = this.clock() - eventRetentionMs;
    return this.blockStates().flatMap((blockState) => blockState.machinesTerminatedSince(since));
  }

  /** Machines whose first heartbeat has been received recently. */
  booted(): string[] {
    const since = this.clock() - eventRetentionMs;
    return this.blockStates().flatMap((blockState) => blockState.machinesUpSince(since));
  }
}
