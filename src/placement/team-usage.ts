/** Tracks how much of their limits teams use. */
import { type Resources, withinLimit } from '../model/types.js';
import type { Team } from '../settings/settings.js';

/** The resources that team limits apply to. */
export interface LimitedResources {
  cpus: number;
  accelerators: number;
}

/** Sums of the resources of each team's tasks, including all tasks that may be on a machine. */
export class TeamUsage {
  private readonly usageByTeam = new Map<string, LimitedResources>();

  /** The usage of the team; the returned object reflects later additions. */
  usedBy(team: string): LimitedResources {
    let entry = this.usageByTeam.get(team);
    if (!entry) {
      entry = { cpus: 0, accelerators: 0 };
      this.usageByTeam.set(team, entry);
    }
    return entry;
  }

  /** Adds the needs of `count` tasks; a negative count subtracts them. */
  add(team: string, need: Resources, count = 1): void {
    const entry = this.usedBy(team);
    entry.cpus += need.cpus * count;
    entry.accelerators += need.accelerators * count;
  }

  /** Whether the team uses more than its limit. A team that is not in the settings has no limit to exceed. */
  exceedsLimit(team: Team | undefined): boolean {
    if (!team) return false;
    const used = this.usedBy(team.name);
    return (
      !withinLimit(used.cpus, 0, team.cpusMax) || !withinLimit(used.accelerators, 0, team.acceleratorsMax)
    );
  }

  /**
   * Whether the team's limit admits one more task with this need. A team that is not in the settings may not
   * have any.
   */
  admits(team: Team | undefined, need: Resources): boolean {
    if (!team) return false;
    const used = this.usedBy(team.name);
    return (
      withinLimit(used.cpus, need.cpus, team.cpusMax) &&
      withinLimit(used.accelerators, need.accelerators, team.acceleratorsMax)
    );
  }
}
