/** Tracks, for the leader, which controllers are alive and since when. */
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
    // If the leader's own key had expired in the store, the leader would lose its leadership. So if the key
    // is missing here, the replica only lags behind.
    if (!members.some((member) => member.label === settings.label))
      members.push({ label: settings.label, incarnation, zone: settings.zone });
    const labels = new Set(members.map((member) => member.label));
    for (const label of this.aliveSince.keys()) if (!labels.has(label)) this.aliveSince.delete(label);
    for (const label of labels) if (!this.aliveSince.has(label)) this.aliveSince.set(label, clock());
    return members;
  }

  /**
   * Whether the member had been alive long enough at the last update for a block to be leased to it without
   * the risk that the block has to be leased to another controller immediately afterwards.
   */
  isStable(label: string): boolean {
    const { clock, settings } = this.ports;
    return clock() - (this.aliveSince.get(label) ?? Infinity) > settings.heartbeatIntervalMs;
  }
}
