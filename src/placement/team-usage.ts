/** What teams use of their limits. */
import { type Resources, withinLimit } from '../model/types.js';
import type { Team } from '../settings/settings.js';

/** What of a machine counts against the limits of a team. */
export interface LimitedResources {
  cpus: number;
  accelerators: number;
}

/** What the tasks of each team take, in every state in which they may be on a machine. */
export class TeamUsage {
  private readonly usageByTeam = new Map<string, LimitedResources>();

  /** What the team uses; the result follows later additions. */
  usedBy(team: string): LimitedResources {
    let entry = this.usageByTeam.get(team);
    if (!entry) {
      entry = { cpus: 0, accelerators: 0 };
      this.usageByTeam.set(team, entry);
    }
    return entry;
  }

  /** Adds so many tasks of this size; a negative count takes them away. */
  add(team: string, need: Resources, count = 1): void {
    const entry = this.usedBy(team);
    entry.cpus += need.cpus * count;
    entry.accelerators += need.accelerators * count;
  }

  /** Whether the team uses more than its limit; a team that the settings do not know has none. */
  exceedsLimit(team: Team | undefined): boolean {
    if (!team) return false;
    const used = this.usedBy(team.name);
    return (
      !withinLimit(used.cpus, 0, team.cpusMax) || !withinLimit(used.accelerators, 0, team.acceleratorsMax)
    );
  }

  /** Whether the team may have one more task of this size; one that the settings do not know may not. */
  admits(team: Team | undefined, need: Resources): boolean {
    if (!team) return false;
    const used = this.usedBy(team.name);
    return (
      withinLimit(used.cpus, need.cpus, team.cpusMax) &&
      withinLimit(used.accelerators, need.accelerators, team.acceleratorsMax)
    );
  }
}
