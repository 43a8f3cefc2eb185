/** Detects failed machines by missed heartbeats, except where missed heartbeats prove no failure. */
import type { MachineState } from '../placement/machine-state.js';
import type { Settings } from '../settings/settings.js';

/** The settings from which the time limits of failure detection are computed, in ms. */
export type FailureDetectionTimes = Pick<
  Settings,
  'heartbeatIntervalMs' | 'workerLeaseMs' | 'cancelDeadlineMs'
>;

/** If more than this ratio of a zone's machines is silent at once, the zone is most likely partitioned. */
const partitionedZoneMinSilentRatio = 0.7;
/** Up to this many silent machines in a zone are no sign of a partition of the zone. */
const maxUnrelatedSilentMachines = 2;
/** In the check for partitioned zones, a machine is silent after this fraction of the silence limit. */
const zoneSilenceLimitRatio = 0.5;

/** With fewer machines than this, all of them may be silent by chance. */
const minMachinesToSuspectOwnPartition = 4;
/** A healthy worker sends its next heartbeat within this many heartbeat intervals. */
const maxHeartbeatGapIntervals = 1.25;

/**
 * Whether none of the machines has sent a recent heartbeat although many have sent heartbeats before. Most
 * likely this controller is partitioned from the workers. `now` is steady time in ms.
 */
export function noHeartbeatsReceived(
  machines: Iterable<MachineState>,
  now: number,
  heartbeatIntervalMs: number,
): boolean {
  const previousSenders = [...machines].filter(
    ({ hasSentHeartbeat, releaseReason }) => hasSentHeartbeat && releaseReason === undefined,
  );
  const maxGapMs = heartbeatIntervalMs * maxHeartbeatGapIntervals;
  return (
    previousSenders.length >= minMachinesToSuspectOwnPartition &&
    previousSenders.every(({ lastHeartbeatAt }) => now - lastHeartbeatAt > maxGapMs)
  );
}

/**
 * Returns the machines to release because they send no heartbeats:
 *
 * - A machine that falls silent while others do not has most likely died, hung or been preempted. The release
 *   proves that the machine no longer runs.
 * - If nearly a whole zone falls silent, a network partition is the likelier cause, and the tasks in the zone
 *   may still be running. The machines of the zone are kept until the leases of their workers have certainly
 *   expired.
 * - A machine that has not sent this owner a heartbeat may still send heartbeats to the previous owner. The
 *   previous owner may be partitioned from the state service and the other controllers, and may answer its
 *   workers for as long as the deadline for cancellations allows. The machine is kept for that time.
 *
 * `now` is steady time in ms; `maxMissedHeartbeats` is the allowed silence in heartbeat intervals.
 */
export function silentMachines(
  machines: readonly MachineState[],
  now: number,
  times: FailureDetectionTimes,
  maxMissedHeartbeats: number,
): MachineState[] {
  const silenceLimitMs = times.heartbeatIntervalMs * maxMissedHeartbeats;
  const leaseExpiryLimitMs = times.workerLeaseMs + times.heartbeatIntervalMs;
  const previousOwnerLimitMs = times.cancelDeadlineMs - times.workerLeaseMs + silenceLimitMs;
  // Includes machines that only the intents of an earlier owner name: nothing else would ever prove that
  // these machines are terminated.
  const monitored = machines.filter(({ hasSentHeartbeat, tasks }) => hasSentHeartbeat || tasks.size > 0);
  const partitionedZones = findPartitionedZones(monitored, now, silenceLimitMs * zoneSilenceLimitRatio);
  const limitMs = ({ hasSentHeartbeat, info }: MachineState): number => {
    if (!hasSentHeartbeat) return Math.max(previousOwnerLimitMs, silenceLimitMs);
    return partitionedZones.has(info.zone) ? leaseExpiryLimitMs : silenceLimitMs;
  };
  return monitored.filter((machine) => now - machine.lastHeartbeatAt > limitMs(machine));
}

function findPartitionedZones(
  machines: readonly MachineState[],
  now: number,
  silenceLimitMs: number,
): Set<string> {
  const counts = new Map<string, { all: number; silent: number }>();
  for (const { info, lastHeartbeatAt } of machines) {
    const count = counts.get(info.zone) ?? { all: 0, silent: 0 };
    count.all++;
    if (now - lastHeartbeatAt > silenceLimitMs) count.silent++;
    counts.set(info.zone, count);
  }
  const partitioned = [...counts].filter(
    ([, { all, silent }]) =>
      silent > maxUnrelatedSilentMachines && silent > all * partitionedZoneMinSilentRatio,
  );
  return new Set(partitioned.map(([zone]) => zone));
}
