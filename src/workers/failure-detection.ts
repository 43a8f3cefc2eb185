/**
 * Detects failed machines by missed heartbeats. Accounts for the cases in which missed heartbeats do not
 * prove a failure.
 */
import type { WorkerTimes } from '../leadership/heartbeat-response-policy.js';
import type { MachineState } from '../placement/machine-state.js';

/**
 * If more than this fraction of the machines of a zone is silent at the same time, the zone is most likely
 * partitioned.
 */
const partitionedZoneMinSilentRatio = 0.7;
/** Maximum number of silent machines in a zone that does not indicate a partition of the zone. */
const maxUnrelatedSilentMachines = 2;
/**
 * In the check for partitioned zones, a machine counts as silent after this fraction of the silence limit.
 */
const zoneSilenceLimitRatio = 0.5;

/**
 * Minimum number of machines from which a partition of this controller is inferred. Fewer machines may all be
 * silent by chance.
 */
const minMachinesToSuspectOwnPartition = 4;
/** Maximum time between two heartbeats of a healthy worker, in heartbeat intervals. */
export const maxHeartbeatGapIntervals = 1.25;

/**
 * Whether no machine has sent a recent heartbeat, although at least `minMachinesToSuspectOwnPartition`
 * machines have sent heartbeats before. This controller is then most likely partitioned from the workers.
 * `now` is a monotonic time in ms.
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
 * - If a machine is silent and most other machines of its zone are not, the machine has most likely died,
 *   hung or been preempted. The confirmed release of the machine proves that it no longer runs.
 * - If nearly all machines of a zone are silent, a network partition is the likelier cause, and the tasks in
 *   the zone may still be running. The machines of the zone are kept until the leases of their workers have
 *   certainly expired.
 * - A machine that has not yet sent this owner of the block a heartbeat may still send heartbeats to the
 *   previous owner. The previous owner may be partitioned from the state service and the other controllers,
 *   and may answer its workers for as long as the deadline for cancellations allows. The machine is kept for
 *   that time.
 *
 * `now` is a monotonic time in ms; `maxMissedHeartbeats` is the silence limit in heartbeat intervals.
 */
export function silentMachines(
  machines: readonly MachineState[],
  now: number,
  times: WorkerTimes,
  maxMissedHeartbeats: number,
): MachineState[] {
  const silenceLimitMs = times.heartbeatIntervalMs * maxMissedHeartbeats;
  const leaseExpiryLimitMs = times.workerLeaseMs + times.heartbeatIntervalMs;
  const previousOwnerLimitMs = times.cancelDeadlineMs - times.workerLeaseMs + silenceLimitMs;
  // Includes machines that are named only in the intents of a previous owner (task attempts committed to the
  // ledger) and have sent no heartbeat. Otherwise nothing would ever prove that these machines are
  // terminated.
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
