/** Detection of a lack of processor time, by the utilization of the event loop. */
import { type EventLoopUtilization, performance } from 'node:perf_hooks';

/**
 * Measures the share of the time since `last` in which the event loop was busy, that is, not waiting
 * for events.
 */
export type UtilizationProbe = (last?: EventLoopUtilization) => EventLoopUtilization;

/** At this utilization or more, events queue up: an event waits for longer than its handling takes. */
const saturatedUtilization = 0.9;

/**
 * Measures whether the event loop is saturated. A process that lacks processor time reads messages late and
 * sends its responses late. Unlike a pause of the whole process, this causes no single long delay: it is
 * visible only in the utilization of the event loop.
 */
export class EventLoopSaturation {
  private lastSample: EventLoopUtilization;

  constructor(private readonly probe: UtilizationProbe = performance.eventLoopUtilization) {
    this.lastSample = probe();
  }

  /** Whether the event loop was saturated since the last call, or since construction for the first call. */
  measureSaturated(): boolean {
    const { utilization } = this.probe(this.lastSample);
    this.lastSample = this.probe();
    return utilization >= saturatedUtilization;
  }
}
