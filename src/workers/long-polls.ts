/** Responses to heartbeats that are held back until there is something to say. */
import type { Clock } from '../base/clock.js';
import type { MachineState } from '../placement/machine-state.js';

interface HeldResponse {
  readonly dueAt: number;
  readonly send: () => void;
}

/**
 * Holds at most one response for each machine. One timer serves all of them, so that those that are due go out together: a
 * timer for each would wake the process as often again as heartbeats do.
 */
export class LongPolls {
  private readonly heldResponses = new Set<HeldResponse>();
  private isTimerSet = false;

  /** `checkIntervalMs`: how late a response may go out at most. */
  constructor(
    private readonly clock: Clock,
    private readonly checkIntervalMs: number,
  ) {}

  /**
   * Calls `send` once: after `maxHoldMs`, or when somebody calls the machine's `sendHeldResponse`, whichever is first. `send`
   * must not throw.
   */
  hold(machine: MachineState, maxHoldMs: number, send: () => void): void {
    // A worker has one heartbeat in flight at a time, so a response that is still held is one that nobody waits for.
    machine.sendHeldResponse?.();
    const response: HeldResponse = {
      dueAt: this.clock() + maxHoldMs,
      send: () => {
        this.heldResponses.delete(response);
        machine.sendHeldResponse = undefined;
        send();
      },
    };
    machine.sendHeldResponse = response.send;
    this.heldResponses.add(response);
    this.setTimer();
  }

  private setTimer(): void {
    if (this.isTimerSet) return;
    this.isTimerSet = true;
    setTimeout(() => this.sendDueResponses(), this.checkIntervalMs);
  }

  private sendDueResponses(): void {
    this.isTimerSet = false;
    const now = this.clock();
    for (const response of [...this.heldResponses]) if (response.dueAt <= now) response.send();
    if (this.heldResponses.size > 0) this.setTimer();
  }
}
