/** Responses to reports that are held back until there is something to say. */
import { timer } from '../base/clock.js';
import type { Clock } from '../base/clock.js';
import type { MachineState } from './machine-state.js';

interface Held {
  until: number;
  machine: MachineState;
  release: () => void;
}

/**
 * Answers that wait for something to say. One timer serves all of them, so that those that are due go out together: a
 * timer for each would wake the process as often again as the reports do.
 */
export class LongPolls {
  private readonly held = new Set<Held>();
  private ticking = false;

  constructor(
    private readonly clock: Clock,
    private readonly tickMs: number,
  ) {}

  /** Calls back when the time is up or somebody wakes the machine, whichever is first. */
  add(machine: MachineState, ms: number, then: () => void): void {
    // A worker has one report under way at a time, so an answer that is still held is one that nobody waits for.
    machine.wake?.();
    const entry: Held = {
      until: this.clock() + ms,
      machine,
      release: () => {
        this.held.delete(entry);
        machine.wake = undefined;
        then();
      },
    };
    machine.wake = entry.release;
    this.held.add(entry);
    if (!this.ticking) void this.tick();
  }

  private async tick(): Promise<void> {
    this.ticking = true;
    while (this.held.size > 0) {
      await timer(this.tickMs).over;
      const now = this.clock();
      for (const entry of [...this.held]) if (entry.until <= now) entry.release();
    }
    this.ticking = false;
  }
}
