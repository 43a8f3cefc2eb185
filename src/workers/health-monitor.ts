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
import { ownDelayGraceMs, noHeartbeatsReceived, silentMachines } from './failure-detection.js';
import { findStragglers } from './straggler-detection.js';

export interface HealthMonitorPorts {
  clock: Clock;
  log: Log;
  settings: Settings;
  operator: OperatorSettings;
  cloud: CloudClient;
  blockState: BlockState;
  signal: AbortSignal;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /** The store has lately answered us. */
  isStoreReachable: () => boolean;
  /** None of the machines is heard of. */
  onNoHeartbeats: () => void;
  /** Machines were proven gone, so their tasks wait again. */
  onTasksRequeued: () => void;
}

/** Machines are judged so often in a report interval. */
const checksPerHeartbeatInterval = 3;
/** The store must have answered for so many report intervals before silence is taken for our own. */
const settlingHeartbeatIntervals = 2;

/**
 * The owner's care for the machines of its block: it lets go of those that are silent, never came up, or fail the
 * tasks of different jobs. The cloud's answer to the release is what proves that their tasks are gone.
 */
export class HealthMonitor {
  constructor(private readonly ports: HealthMonitorPorts) {}

  async run(): Promise<void> {
    const {
      blockState,
      cloud,
      signal,
      log,
      onTasksRequeued,
      settings,
      clock,
      isStoreReachable,
      onNoHeartbeats,
    } = this.ports;
    const pauseMs = settings.heartbeatIntervalMs / checksPerHeartbeatInterval;
    const processPause = new ProcessPause(clock, pauseMs);
    const saturation = new Saturation();
    let checkedAt = clock();
    let storeReachableSince = clock();
    while (!signal.aborted) {
      const passedMs = clock() - checkedAt;
      checkedAt += passedMs;
      const graceMs = ownDelayGraceMs({
        passedMs,
        heldUpMs: processPause.look(),
        saturated: saturation.look(),
      });
      if (graceMs > 0) for (const machine of blockState.machines.values()) machine.addGrace(graceMs);
      // Without the store the block may be another's by now, and nothing that a release frees could start again.
      if (!isStoreReachable()) {
        storeReachableSince = clock();
        await sleep(pauseMs, signal);
        continue;
      }
      // Who is back from a cut may still take for its own what has long been leased to another.
      const isSettled =
        clock() - storeReachableSince > settings.heartbeatIntervalMs * settlingHeartbeatIntervals;
      if (
        isSettled &&
        noHeartbeatsReceived(blockState.machines.values(), clock(), settings.heartbeatIntervalMs)
      ) {
        onNoHeartbeats();
        await sleep(pauseMs, signal);
        continue;
      }
      this.markForRelease();
      const due = [...blockState.machines.values()]
        .filter((m) => m.releaseReason !== undefined)
        .slice(0, releaseLimit);
      if (due.length > 0 && (await cloud.release(due.map((m) => m.id)))) {
        for (const machine of due) {
          const requeued = blockState.removeTerminated(machine.id);
          const { id, info, releaseReason } = machine;
          log.info(
            { event: 'let-go', machine: id, type: info.type, why: releaseReason, tasks: requeued.length },
            'let go',
          );
        }
        onTasksRequeued();
      }
      // A release takes its time without anybody being held up.
      if (due.length > 0) processPause.look();
      await sleep(pauseMs, signal);
    }
  }

  private markForRelease(): void {
    const { blockState, clock, settings, operator, machineTypes, log } = this.ports;
    const now = clock();
    const machines = [...blockState.machines.values()].filter((m) => m.releaseReason === undefined);
    for (const machine of machines) {
      const bootMs = (machineTypes().get(machine.info.type)?.bootS ?? 0) * 1000 * operator.workers.bootTimes;
      const startupLimitMs = Math.max(bootMs, settings.workerLeaseMs * 2);
      if (!machine.hasSentHeartbeat && machine.tasks.size === 0 && now - machine.leasedAt > startupLimitMs) {
        machine.releaseReason = 'never came up';
      }
      const deafSince = machine.oneWayPartitionSince();
      if (
        deafSince !== undefined &&
        now - deafSince > settings.heartbeatIntervalMs * operator.workers.missedHeartbeats
      ) {
        machine.releaseReason = 'deaf';
      }
      for (const task of findStragglers(machine, now)) {
        task.stopping = true;
        machine.faulty = true;
        log.info({ event: 'slow', machine: machine.id, job: task.job.id, task: task.index }, 'far too slow');
      }
      if (machine.faulty && machine.tasks.size === 0 && machine.orphanedTasks.length === 0)
        machine.releaseReason = 'faulty';
    }
    for (const machine of silentMachines(machines, now, settings, operator.workers.missedHeartbeats)) {
      machine.releaseReason = 'silent';
    }
  }
}
