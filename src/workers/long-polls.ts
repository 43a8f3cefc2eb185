/** Responses to reports that are held back until there is something to say. */
import { timer } from '../base/clock.js';
import type { Clock } from '../base/clock.js';
import type { MachineState } from '../placement/machine-state.js';

interface HeldResponse {
  dueAt: number;
  machine: MachineState;
  send: () => void;
}

/**
 * Answers that wait for something to say. One timer serves all of them, so that those that are due go out together: a
 * timer for each would wake the process as often again as the reports do.
 */
export class LongPolls {
  private readonly heldResponses = new Set<HeldResponse>();
  private isRunning = false;

  constructor(
    private readonly clock: Clock,
    private readonly checkIntervalMs: number,
  ) {}

  /** Calls back when the time is up or somebody wakes the machine, whichever is first. */
  hold(machine: MachineState, maxHoldMs: number, send: () => void): void {
    // A worker has one report under way at a time, so an answer that is still held is one that nobody waits for.
    machine.sendHeldResponse?.();
    const entry: HeldResponse = {
      dueAt: this.clock() + maxHoldMs,
      machine,
      send: () => {
        this.heldResponses.delete(entry);
        machine.sendHeldResponse = undefined;
        send();
      },
    };
    machine.sendHeldResponse = entry.send;
    this.heldResponses.add(entry);
    if (!this.isRunning) void this.sendDueResponses();
  }

  private async sendDueResponses(): Promise<void> {
    this.isRunning = true;
    while (this.heldResponses.size > 0) {
      await timer(this.checkIntervalMs).over;
      const now = this.clock();
      for (const entry of [...this.heldResponses]) if (entry.dueAt <= now) entry.send();
    }
    this.isRunning = false;
  }
}
