/** Computes the limits of teams for one block, from the settings and the block's shares. */
import type { Team } from '../settings/settings.js';
import type { QuotaShares } from '../wire/block-records.js';

/** Reduces the limits of teams in the settings to the shares that the leader has assigned to the block. */
export class TeamQuotas {
  /** The block's shares of the team limits, as in the current version of the block's record. */
  shares: QuotaShares = {};

  constructor(private readonly teams: ReadonlyMap<string, Team>) {}

  /**
   * Returns the team with its limits reduced to the block's share; undefined if the team is not in the
   * settings.
   */
  teamWithBlockShare(name: string): Team | undefined {
    const team = this.teams.get(name);
    if (!team) return undefined;
    // A block without a share of a team's limit may not use any of this limit.
    const [cpus, accelerators] = this.shares[team.name] ?? [0, 0];
    return {
      ...team,
      cpusMax: shareOfLimit(team.cpusMax, cpus),
      acceleratorsMax: shareOfLimit(team.acceleratorsMax, accelerators),
    };
  }
}

/**
 * Returns the block's share of a limit, or 0 if the team has no limit. A limit of 0 means no limit, so a
 * share of 0 is replaced by the smallest positive number.
 */
function shareOfLimit(limit: number, share: number): number {
  return limit === 0 ? 0 : Math.max(share, Number.MIN_VALUE);
}
