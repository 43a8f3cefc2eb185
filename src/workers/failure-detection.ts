/** Failure detection by missed reports, and when it must not be trusted. */
import type { Settings } from '../settings/settings.js';
import type { MachineState } from './machine-state.js';

/** A zone in which more than this share of the machines falls silent at once has most likely lost its network. */
const zoneShare = 0.7;

/** Fewer machines than this may all be silent by chance. */
const leastHeard = 4;
/** Each reports within so many report intervals at the latest. */
const longestGap = 1.25;

/** While we are short of processor time, this part of it is not held against the machines. */
const saturatedExcuse = 0.75;

/**
 * How much of the time that has passed says nothing of the machines, since we ourselves were held up or slow: reports and
 * answers that were under way in it have waited for us. Part of it counts all the same, so that a machine that has died is
 * found out though a burst may keep us busy for minutes.
 */
export function excusedMs(time: { passedMs: number; heldUpMs: number; saturated: boolean }): number {
  const { passedMs, heldUpMs, saturated } = time;
  return saturated ? Math.max(heldUpMs, passedMs * saturatedExcuse) : heldUpMs;
}

/** No machine is heard of at all, where many were: it is most likely we who are cut off from the workers. */
export function nobodyIsHeard(machines: Iterable<MachineState>, now: number, reportMs: number): boolean {
  const heard = [...machines].filter((m) => m.seen && m.releasing === '');
  return heard.length >= leastHeard && heard.every((m) => now - m.lastSeen > reportMs * longestGap);
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
  settings: Pick<Settings, 'reportMs' | 'leaseMs' | 'cancelMs'>,
  silentReports: number,
): MachineState[] {
  const limit = settings.reportMs * silentReports;
  const leaseOver = settings.leaseMs + settings.reportMs;
  const letGo = settings.cancelMs - settings.leaseMs + limit;
  // Machines that only the intents of an earlier term speak of count too: nothing else would ever prove them gone.
  const known = machines.filter((m) => m.seen || m.tasks.size > 0);
  const silentFor = (m: MachineState): number => now - m.lastSeen;
  const cutOff = (zone: string): boolean => {
    const inZone = known.filter((m) => m.place.zone === zone);
    const quiet = inZone.filter((m) => silentFor(m) > limit / 2).length;
    return quiet > 2 && quiet > inZone.length * zoneShare;
  };
  const zones = new Map([...new Set(known.map((m) => m.place.zone))].map((zone) => [zone, cutOff(zone)]));
  return known.filter((m) => {
    if (!m.seen) return silentFor(m) > Math.max(letGo, limit);
    return silentFor(m) > (zones.get(m.place.zone) ? leaseOver : limit);
  });
}
