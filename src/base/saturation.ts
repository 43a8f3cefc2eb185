/** Whether this process gets the processor time that it needs. */
import { type EventLoopUtilization, performance } from 'node:perf_hooks';

/** Measures the part of the time since `last` in which the event loop did not wait for events. */
export type UtilizationProbe = (last?: EventLoopUtilization) => EventLoopUtilization;

/** From this utilization on, events queue up: they wait for longer than they take to handle. */
const saturatedUtilization = 0.9;

/**
 * Tells whether the event loop is saturated. A process that is short of processor time reads messages late and sends its
 * responses late. Unlike a pause of the whole process that shows in no single delay, only in the event loop's utilization.
 */
export class Saturation {
  private lastSample: EventLoopUtilization;

  constructor(private readonly probe: UtilizationProbe = performance.eventLoopUtilization) {
    this.lastSample = probe();
  }

  /** Whether the event loop was saturated over the time since the last call, or since the construction. */
  measureSaturated(): boolean {
    const { utilization } = this.probe(this.lastSample);
    this.lastSample = this.probe();
    return utilization >= saturatedUtilization;
  }
}
