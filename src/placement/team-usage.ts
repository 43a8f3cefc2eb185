/** Tracks the resources that teams use and checks them against the limits of the teams. */
import { type Resources, withinLimit } from '../model/types.js';
import type { Team } from '../settings/settings.js';

/** Amounts of the resources to which team limits apply. */
export interface LimitedResources {
  cpus: number;
  accelerators: number;
}

/** Sums of the resources of each team's tasks, including all tasks that may be on a machine. */
export class TeamUsage {
  private readonly usageByTeam = new Map<string, LimitedResources>();

  /** Returns the usage of the team. Later calls of `add` change the returned object. */
  usedBy(team: string): LimitedResources {
    let usage = this.usageByTeam.get(team);
    if (!usage) {
      usage = { cpus: 0, accelerators: 0 };
      this.usageByTeam.set(team, usage);
    }
    return usage;
  }

  /** Adds the resources of `count` tasks; a negative count subtracts them. */
  add(team: string, need: Resources, count = 1): void {
    const usage = this.usedBy(team);
    usage.cpus += need.cpus * count;
    usage.accelerators += need.accelerators * count;
  }

  /**
   * Whether the team uses more than its limit; false for a team that is not in the settings, because there is
   * no limit to exceed.
   */
  exceedsLimit(team: Team | undefined): boolean {
    if (!team) return false;
    const used = this.usedBy(team.name);
    return (
      !withinLimit(used.cpus, 0, team.cpusMax) || !withinLimit(used.accelerators, 0, team.acceleratorsMax)
    );
  }

  /**
   * Whether the team's limit admits one more task with this need; false for a team that is not in the
   * settings.
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
