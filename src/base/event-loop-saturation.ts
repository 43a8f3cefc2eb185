/** Detects a lack of processor time by the utilization of the event loop. */
import { type EventLoopUtilization, performance } from 'node:perf_hooks';

/**
 * Measures the utilization of the event loop: the share of the time since the sample `last` in which the
 * event loop did not wait for events.
 */
export type UtilizationProbe = (last?: EventLoopUtilization) => EventLoopUtilization;

/**
 * If the utilization reaches this value, events queue up, and an event waits for longer than its handling
 * takes.
 */
const saturatedUtilization = 0.9;

/**
 * Measures whether the event loop is saturated. A process that lacks processor time reads messages late and
 * sends its responses late. Unlike a pause of the whole process, the lack of processor time causes no single
 * long delay, so only the utilization of the event loop shows it.
 */
export class EventLoopSaturation {
  private previousSample: EventLoopUtilization;

  constructor(private readonly probe: UtilizationProbe = performance.eventLoopUtilization) {
    this.previousSample = probe();
  }

  /**
   * Whether the event loop was saturated since the previous call. The first call measures from construction.
   */
  measureSaturated(): boolean {
    const { utilization } = this.probe(this.previousSample);
    this.previousSample = this.probe();
    return utilization >= saturatedUtilization;
  }
}
