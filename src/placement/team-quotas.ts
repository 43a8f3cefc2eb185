/** The limits of teams as they apply to one block. */
import type { Team } from '../settings/settings.js';
import type { QuotaShares } from '../wire/block-records.js';

/** Reduces the limits in the settings to the share that the leader has given to the block. */
export class TeamQuotas {
  /** The shares in the block's present record. */
  shares: QuotaShares = {};

  constructor(private readonly teams: ReadonlyMap<string, Team>) {}

  /**
   * The team with its limits reduced to the block's share; undefined if the settings do not have the team.
   */
  teamWithBlockShare(name: string): Team | undefined {
    const team = this.teams.get(name);
    if (!team) return undefined;
    // Without a share of a limit, the block may use none of it.
    const [cpus, accelerators] = this.shares[team.name] ?? [0, 0];
    return {
      ...team,
      cpusMax: shareOfLimit(team.cpusMax, cpus),
      acceleratorsMax: shareOfLimit(team.acceleratorsMax, accelerators),
    };
  }
}

/**
 * Returns the share if there is a limit. A limit of 0 means no limit, so a share of 0 is replaced by the
 * smallest positive number.
 */
function shareOfLimit(limit: number, share: number): number {
  return limit === 0 ? 0 : Math.max(share, Number.MIN_VALUE);
}
