/** Holds responses to heartbeats until there are commands to send or the hold time has passed. */
import type { Clock } from '../base/clock.js';
import type { MachineState } from '../placement/machine-state.js';

interface HeldResponse {
  readonly dueAt: number;
  readonly send: () => void;
}

/**
 * Holds at most one response for each machine. One timer serves all held responses, and due responses are
 * sent together. If each response had its own timer, timers would wake the process as often as heartbeats do.
 */
export class LongPolls {
  private readonly heldResponses = new Set<HeldResponse>();
  private isTimerSet = false;

  /** `checkIntervalMs`: maximum delay between the time at which a response is due and its sending, in ms. */
  constructor(
    private readonly clock: Clock,
    private readonly checkIntervalMs: number,
  ) {}

  /**
   * Calls `send` exactly once: after `maxHoldMs`, or when the machine's `sendHeldResponse` is called,
   * whichever comes first. `send` must not throw.
   */
  hold(machine: MachineState, maxHoldMs: number, send: () => void): void {
    // A worker has only one heartbeat in flight at a time, so it no longer waits for the response that is
    // still held.
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
