/** Tracks, for the leader, which controllers are alive and how long each has been alive. */
import type { Clock } from '../base/clock.js';
import type { Settings } from '../settings/settings.js';
import type { BlockRegistry, Member } from './block-registry.js';

/** The dependencies of `LiveMembers`. */
export interface LiveMembersPorts {
  clock: Clock;
  settings: Pick<Settings, 'label' | 'zone' | 'heartbeatIntervalMs'>;
  registry: Pick<BlockRegistry, 'liveMembers'>;
  /** Identifies this incarnation of the controller process. */
  incarnation: string;
}

/**
 * The live controllers, including the leader itself, and the time since which each has been alive without
 * interruption.
 */
export class LiveMembers {
  private readonly aliveSince = new Map<string, number>();

  constructor(private readonly ports: LiveMembersPorts) {}

  /** Returns the members that are alive now, and records since when each of them has been alive. */
  update(): Member[] {
    const { registry, settings, clock, incarnation } = this.ports;
    const members = registry.liveMembers();
    // A leader whose alive key has expired in the store loses its leadership. If the leader's alive key is
    // missing in the replica, the replica therefore lags behind the store, and the leader still counts as
    // alive.
    if (!members.some((member) => member.label === settings.label))
      members.push({ label: settings.label, incarnation, zone: settings.zone });
    const labels = new Set(members.map((member) => member.label));
    for (const label of this.aliveSince.keys()) if (!labels.has(label)) this.aliveSince.delete(label);
    for (const label of labels) if (!this.aliveSince.has(label)) this.aliveSince.set(label, clock());
    return members;
  }

  /**
   * Whether the member has been alive without interruption for more than a heartbeat interval, according to
   * the latest update. A block can then be leased to the member without the risk that the block must be
   * leased to another controller immediately afterwards.
   */
  isStable(label: string): boolean {
    const { clock, settings } = this.ports;
    return clock() - (this.aliveSince.get(label) ?? Infinity) > settings.heartbeatIntervalMs;
  }
}
