/** Release of machines that are dead, deaf, slow or faulty. */
import type { Clock } from '../base/clock.js';
import { sleep } from '../base/clock.js';
import { Saturation } from '../base/saturation.js';
import { ProcessPause } from '../base/process-pause.js';
import type { Log } from '../base/log.js';
import { type CloudClient, releaseLimit } from '../cloud/client.js';
import type { MachineType } from '../model/types.js';
import type { BlockState } from '../placement/block-state.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Settings } from '../settings/settings.js';
import { excusedMs, nobodyIsHeard, silentMachines } from './failure-detection.js';
import { stragglers } from './slowness.js';

export interface HealthMonitorPorts {
  clock: Clock;
  log: Log;
  settings: Settings;
  operator: OperatorSettings;
  cloud: CloudClient;
  blockState: BlockState;
  signal: AbortSignal;
  types: () => ReadonlyMap<string, MachineType>;
  /** The store has lately answered us. */
  inTouch: () => boolean;
  /** None of the machines is heard of. */
  onUnheard: () => void;
  /** Machines were proven gone, so their tasks wait again. */
  onFreed: () => void;
}

/** Machines are judged so often in a report interval. */
const looksPerReport = 3;
/** The store must have answered for so many report intervals before silence is taken for our own. */
const settledReports = 2;

/**
 * The owner's care for the machines of its block: it lets go of those that are silent, never came up, or fail the
 * tasks of different jobs. The cloud's answer to the release is what proves that their tasks are gone.
 */
export class HealthMonitor {
  constructor(private readonly ports: HealthMonitorPorts) {}

  async run(): Promise<void> {
    const { blockState, cloud, signal, log, onFreed, settings, clock, inTouch, onUnheard } = this.ports;
    const pauseMs = settings.reportMs / looksPerReport;
    const processPause = new ProcessPause(clock, pauseMs);
    const saturation = new Saturation();
    let lookedAt = clock();
    let inTouchSince = clock();
    while (!signal.aborted) {
      const passedMs = clock() - lookedAt;
      lookedAt += passedMs;
      const excuseMs = excusedMs({ passedMs, heldUpMs: processPause.look(), saturated: saturation.look() });
      if (excuseMs > 0) for (const machine of blockState.machines.values()) machine.excuse(excuseMs);
      // Without the store the block may be another's by now, and nothing that a release frees could start again.
      if (!inTouch()) {
        inTouchSince = clock();
        await sleep(pauseMs, signal);
        continue;
      }
      // Who is back from a cut may still take for its own what has long been leased to another.
      const settled = clock() - inTouchSince > settings.reportMs * settledReports;
      if (settled && nobodyIsHeard(blockState.machines.values(), clock(), settings.reportMs)) {
        onUnheard();
        await sleep(pauseMs, signal);
        continue;
      }
      this.judge();
      const due = [...blockState.machines.values()].filter((m) => m.releasing !== '').slice(0, releaseLimit);
      if (due.length > 0 && (await cloud.release(due.map((m) => m.id)))) {
        for (const machine of due) {
          const lost = blockState.remove(machine.id);
          const { id, place, releasing } = machine;
          log.info(
            { event: 'let-go', machine: id, type: place.type, why: releasing, tasks: lost.length },
            'let go',
          );
        }
        onFreed();
      }
      // A release takes its time without anybody being held up.
      if (due.length > 0) processPause.look();
      await sleep(pauseMs, signal);
    }
  }

  private judge(): void {
    const { blockState, clock, settings, operator, types, log } = this.ports;
    const now = clock();
    const machines = [...blockState.machines.values()].filter((m) => m.releasing === '');
    for (const machine of machines) {
      const bootMs = (types().get(machine.place.type)?.bootS ?? 0) * 1000 * operator.workers.bootTimes;
      const patience = Math.max(bootMs, settings.leaseMs * 2);
      if (!machine.seen && machine.tasks.size === 0 && now - machine.leasedAt > patience) {
        machine.releasing = 'never came up';
      }
      const deafSince = machine.deafSince();
      if (deafSince !== undefined && now - deafSince > settings.reportMs * operator.workers.silentReports) {
        machine.releasing = 'deaf';
      }
      for (const task of stragglers(machine, now)) {
        task.stopping = true;
        machine.faulty = true;
        log.info({ event: 'slow', machine: machine.id, job: task.job.id, task: task.index }, 'far too slow');
      }
      if (machine.faulty && machine.tasks.size === 0 && machine.strays.length === 0)
        machine.releasing = 'faulty';
    }
    for (const machine of silentMachines(machines, now, settings, operator.workers.silentReports)) {
      machine.releasing = 'silent';
    }
  }
}
