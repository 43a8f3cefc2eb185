/** Failure detection by missed heartbeats, and when it must not be trusted. */
import type { MachineState } from '../placement/machine-state.js';
import type { Settings } from '../settings/settings.js';

/** Times of the settings that failure detection follows from, in ms. */
export type FailureDetectionTimes = Pick<
  Settings,
  'heartbeatIntervalMs' | 'workerLeaseMs' | 'cancelDeadlineMs'
>;

/** A zone in which more than this share of the machines falls silent at once is most likely partitioned off. */
const partitionedZoneMinShare = 0.7;
/** So few silent machines of a zone say nothing of the zone. */
const maxUnrelatedSilentMachines = 2;
/** A machine counts as silent in a zone after this share of the time after which it is released. */
const zoneSilenceRatio = 0.5;

/** Fewer machines than this may all be silent by chance. */
const minMachinesHeard = 4;
/** A healthy worker sends its next heartbeat within so many intervals. */
const maxHeartbeatGapIntervals = 1.25;

/**
 * Whether none of the machines has been heard of lately, where many were before: most likely this controller is cut off from
 * the workers. `now` is steady time in ms.
 */
export function noHeartbeatsReceived(
  machines: Iterable<MachineState>,
  now: number,
  heartbeatIntervalMs: number,
): boolean {
  const heardBefore = [...machines].filter(
    ({ hasSentHeartbeat, releaseReason }) => hasSentHeartbeat && releaseReason === undefined,
  );
  const maxGapMs = heartbeatIntervalMs * maxHeartbeatGapIntervals;
  return (
    heardBefore.length >= minMachinesHeard &&
    heardBefore.every(({ lastHeartbeatAt }) => now - lastHeartbeatAt > maxGapMs)
  );
}

/**
 * Machines to be released because they send no heartbeats. One that falls silent among others that do not has most likely
 * died, hangs or was preempted, and a release proves it. Where nearly a whole zone falls silent, a network partition is the
 * likelier cause: its tasks may be running, so its machines are given until their workers' leases have certainly expired.
 * And one that has not sent a heartbeat to this owner may still send them to the owner before, which may be without the
 * state service and the other controllers and answer its workers for as long as the deadline for cancellations allows.
 *
 * `now` is steady time in ms; `maxMissedHeartbeats` is the silence allowed in heartbeat intervals.
 */
export function silentMachines(
  machines: readonly MachineState[],
  now: number,
  times: FailureDetectionTimes,
  maxMissedHeartbeats: number,
): MachineState[] {
  const silenceLimitMs = times.heartbeatIntervalMs * maxMissedHeartbeats;
  const leaseExpiryMs = times.workerLeaseMs + times.heartbeatIntervalMs;
  const previousOwnerLimitMs = times.cancelDeadlineMs - times.workerLeaseMs + silenceLimitMs;
  // Machines that only the intents of an earlier owner name count too: nothing else would ever prove them terminated.
  const known = machines.filter(({ hasSentHeartbeat, tasks }) => hasSentHeartbeat || tasks.size > 0);
  const partitionedZones = findPartitionedZones(known, now, silenceLimitMs * zoneSilenceRatio);
  const limitMs = ({ hasSentHeartbeat, info }: MachineState): number => {
    if (!hasSentHeartbeat) return Math.max(previousOwnerLimitMs, silenceLimitMs);
    return partitionedZones.has(info.zone) ? leaseExpiryMs : silenceLimitMs;
  };
  return known.filter((machine) => now - machine.lastHeartbeatAt > limitMs(machine));
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
    ([, { all, silent }]) => silent > maxUnrelatedSilentMachines && silent > all * partitionedZoneMinShare,
  );
  return new Set(partitioned.map(([zone]) => zone));
}
