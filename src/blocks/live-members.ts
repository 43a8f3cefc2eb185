/** Which controllers are alive in the eyes of the leader, and for how long they have been. */
import type { Clock } from '../base/clock.js';
import type { Settings } from '../settings/settings.js';
import type { BlockRegistry, Member } from './block-registry.js';

/** What the leader's view of the members works with. */
export interface LiveMembersPorts {
  clock: Clock;
  settings: Pick<Settings, 'label' | 'zone' | 'heartbeatIntervalMs'>;
  registry: Pick<BlockRegistry, 'liveMembers'>;
  /** Identifies this run of the controller process. */
  incarnation: string;
}

/**
 * The live controllers, with the leader itself among them, and how long each has been alive without a break.
 */
export class LiveMembers {
  private readonly aliveSince = new Map<string, number>();

  constructor(private readonly ports: LiveMembersPorts) {}

  /** The members that are alive now; each call also updates since when they are. */
  update(): Member[] {
    const { registry, settings, clock, incarnation } = this.ports;
    const members = registry.liveMembers();
    // A leader without a live key of its own would be deposed, so its key is only late in the replica.
    if (!members.some((member) => member.label === settings.label))
      members.push({ label: settings.label, incarnation, zone: settings.zone });
    const labels = new Set(members.map((member) => member.label));
    for (const label of this.aliveSince.keys()) if (!labels.has(label)) this.aliveSince.delete(label);
    for (const label of labels) if (!this.aliveSince.has(label)) this.aliveSince.set(label, clock());
    return members;
  }

  /**
   * Alive for long enough, as of the last update, that a block leased to it will not change hands again at
   * once.
   */
  isStable(label: string): boolean {
    const { clock, settings } = this.ports;
    return clock() - (this.aliveSince.get(label) ?? Infinity) > settings.heartbeatIntervalMs;
  }
}
