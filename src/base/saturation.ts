/** Tells whether this process gets the processor time that it needs. */
import { type EventLoopUtilization, performance } from 'node:perf_hooks';

/** Measures the part of the time since `last` in which the event loop did not wait for events. */
export type UtilizationProbe = (last?: EventLoopUtilization) => EventLoopUtilization;

/** From this utilization on, what arrives waits for longer than it takes to serve. */
const saturatedShare = 0.9;

/**
 * A process that is short of processor time reads late what arrived in time, and its answers go out late. Unlike a pause
 * of the whole process that shows in no single delay, only in an event loop that never rests.
 */
export class Saturation {
  private last: EventLoopUtilization;

  constructor(private readonly probe: UtilizationProbe = performance.eventLoopUtilization) {
    this.last = probe();
  }

  /** True: the event loop hardly ever rested since this was last called. */
  look(): boolean {
    const { utilization } = this.probe(this.last);
    this.last = this.probe();
    return utilization >= saturatedShare;
  }
}
