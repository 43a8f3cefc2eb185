/** Records and logs the decision to release a machine. */
import type { Log } from '../base/log.js';
import type { MachineState, ReleaseReason } from '../placement/machine-state.js';

/**
 * Marks the machine to be released, and logs the decision. The cloud confirms the release later, and may have
 * to be asked several times. `now` is a monotonic time in ms.
 */
export function markForRelease(machine: MachineState, reason: ReleaseReason, now: number, log: Log): void {
  machine.releaseReason = reason;
  log.info(
    {
      event: 'machine-failed',
      machine: machine.id,
      reason,
      tasks: machine.tasks.size,
      hasSentHeartbeat: machine.hasSentHeartbeat,
      silentMs: Math.round(now - machine.lastHeartbeatAt),
    },
    'machine counts as failed; requesting its release from the cloud',
  );
}
