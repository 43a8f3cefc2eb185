/** Failure detection by missed reports, and when it must not be trusted. */
import type { Settings } from '../settings/settings.js';
import type { MachineState } from '../placement/machine-state.js';

/** A zone in which more than this share of the machines falls silent at once has most likely lost its network. */
const partitionedZoneMinShare = 0.7;

/** Fewer machines than this may all be silent by chance. */
const minMachinesHeard = 4;
/** Each reports within so many report intervals at the latest. */
const maxHeartbeatGapIntervals = 1.25;

/** While we are short of processor time, this part of it is not held against the machines. */
const saturatedGraceShare = 0.75;

/**
 * How much of the time that has passed says nothing of the machines, since we ourselves were held up or slow: reports and
 * answers that were under way in it have waited for us. Part of it counts all the same, so that a machine that has died is
 * found out though a burst may keep us busy for minutes.
 */
export function ownDelayGraceMs(time: { passedMs: number; heldUpMs: number; saturated: boolean }): number {
  const { passedMs, heldUpMs, saturated } = time;
  return saturated ? Math.max(heldUpMs, passedMs * saturatedGraceShare) : heldUpMs;
}

/** No machine is heard of at all, where many were: it is most likely we who are cut off from the workers. */
export function noHeartbeatsReceived(
  machines: Iterable<MachineState>,
  now: number,
  heartbeatIntervalMs: number,
): boolean {
  const heardBefore = [...machines].filter((m) => m.hasSentHeartbeat && m.releaseReason === undefined);
  return (
    heardBefore.length >= minMachinesHeard &&
    heardBefore.every((m) => now - m.lastHeartbeatAt > heartbeatIntervalMs * maxHeartbeatGapIntervals)
  );
}

/**
 * Machines to be released because nothing is heard of them. One that falls silent among others that speak has most
 * likely died, hangs or was taken, and a release proves it. Where nearly a whole zone falls silent the network is
 * the likelier cause: its tasks may be running, so they are given until their leases have certainly run out. And one that
 * has not spoken to us yet may still speak to the owner before us, which may be without the state service and the other
 * controllers and keep its workers for as long as cancels allow.
 */
export function silentMachines(
  machines: MachineState[],
  now: number,
  settings: Pick<Settings, 'heartbeatIntervalMs' | 'workerLeaseMs' | 'cancelDeadlineMs'>,
  maxMissedHeartbeats: number,
): MachineState[] {
  const silenceLimitMs = settings.heartbeatIntervalMs * maxMissedHeartbeats;
  const leaseExpiryMs = settings.workerLeaseMs + settings.heartbeatIntervalMs;
  const previousOwnerLimitMs = settings.cancelDeadlineMs - settings.workerLeaseMs + silenceLimitMs;
  // Machines that only the intents of an earlier term speak of count too: nothing else would ever prove them gone.
  const known = machines.filter((m) => m.hasSentHeartbeat || m.tasks.size > 0);
  const silenceMs = (m: MachineState): number => now - m.lastHeartbeatAt;
  const isZonePartitioned = (zone: string): boolean => {
    const inZone = known.filter((m) => m.info.zone === zone);
    const silentCount = inZone.filter((m) => silenceMs(m) > silenceLimitMs / 2).length;
    return silentCount > 2 && silentCount > inZone.length * partitionedZoneMinShare;
  };
  const partitionedByZone = new Map(
    [...new Set(known.map((m) => m.info.zone))].map((zone) => [zone, isZonePartitioned(zone)]),
  );
  return known.filter((m) => {
    if (!m.hasSentHeartbeat) return silenceMs(m) > Math.max(previousOwnerLimitMs, silenceLimitMs);
    return silenceMs(m) > (partitionedByZone.get(m.info.zone) ? leaseExpiryMs : silenceLimitMs);
  });
}
