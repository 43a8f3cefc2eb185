/** Machines of this controller's blocks that have lately booted or been terminated: news for the leader and the peers. */
import type { Clock } from '../base/clock.js';
import type { BlockState } from '../placement/block-state.js';

/** For how long a machine stays news, so that a status that was lost or overtaken is made up for by later ones. */
const newsMs = 20_000;

/** Collects the news of all blocks that this controller owns. */
export class MachineEvents {
  /** `blockStates`: of the blocks that this controller owns now. */
  constructor(
    private readonly clock: Clock,
    private readonly blockStates: () => Pick<BlockState, 'machinesTerminatedSince' | 'machinesUpSince'>[],
  ) {}

  /** Machines that have lately been proven terminated. */
  terminated(): string[] {
    const since = this.clock() - newsMs;
    return this.blockStates().flatMap((blockState) => blockState.machinesTerminatedSince(since));
  }

  /** Machines whose first heartbeat has lately been received. */
  booted(): string[] {
    const since = this.clock() - newsMs;
    return this.blockStates().flatMap((blockState) => blockState.machinesUpSince(since));
  }
}
