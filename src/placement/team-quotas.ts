/** What one block may use of the limits of teams. */
import type { Team } from '../settings/settings.js';
import type { QuotaShares } from '../wire/block-records.js';

/** The limits of the settings, cut down to the share that the leader has given to the block. */
export class TeamQuotas {
  /** The shares in the block's present record. */
  shares: QuotaShares = {};

  constructor(private readonly teams: ReadonlyMap<string, Team>) {}

  /** The team with the block's share of its limits; undefined where the settings do not know it. */
  teamWithinShare(name: string): Team | undefined {
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

/** A limit of 0 means none; a share of 0 of a limit must not be mistaken for that. */
function shareOfLimit(limit: number, share: number): number {
  return limit === 0 ? 0 : Math.max(share, Number.MIN_VALUE);
}
