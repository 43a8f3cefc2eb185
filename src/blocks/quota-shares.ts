/** How the limits of teams are divided among the blocks. */
import type { Resources } from '../model/types.js';
import { withinLimit } from '../model/types.js';
import type { Team } from '../settings/settings.js';
import type { QuotaShares } from '../wire/block-records.js';

/** Amounts of the resources that teams have limits of. */
export type QuotaAmount = [cpus: number, accelerators: number];

/** The indexes of an amount: CPUs and accelerators are divided independently. */
const resourceIndexes = [0, 1] as const;
type ResourceIndex = (typeof resourceIndexes)[number];

/** What a block's tasks of one team take, and would take if the team's limit admitted them. */
export interface TeamDemand {
  used: QuotaAmount;
  /** Waiting tasks in the order in which they are to be admitted, one entry a job. */
  waiting: { need: Resources; count: number }[];
}

/** What a division of the teams' limits is made from. */
export interface QuotaShareInput {
  teams: Iterable<Team>;
  /** The shares that each block has; there is an entry for every block that may get one. */
  currentShares: ReadonlyMap<number, QuotaShares>;
  /**
   * By block and team; complete up to the present versions of the blocks, which is what makes growing a share
   * safe.
   */
  demand: (block: number, team: string) => TeamDemand;
}

interface BlockShare {
  block: number;
  demand: TeamDemand;
  current: QuotaAmount;
  wanted: QuotaAmount;
  next: QuotaAmount;
}

/** Differences of amounts below this come from rounding. */
const roundingTolerance = 1e-6;

/** The team has a limit of its own, which is divided into shares. */
export function isLimited(team: Team): boolean {
  return team.cpusMax > 0 || team.acceleratorsMax > 0;
}

/** Work of the team waits in the block that would exceed the block's share. `shares`: those of the block. */
export function isStarved(demand: TeamDemand, shares: QuotaShares, team: Team): boolean {
  const next = demand.waiting[0];
  if (!next) return false;
  const [cpus, accelerators] = shares[team.name] ?? [0, 0];
  return (
    (team.cpusMax > 0 && demand.used[0] + next.need.cpus > cpus + roundingTolerance) ||
    (team.acceleratorsMax > 0 && demand.used[1] + next.need.accelerators > accelerators + roundingTolerance)
  );
}

/**
 * The next shares of each block, by team. A block may use its share and no more, but a share may be cut below
 * what its tasks take at the moment. So the sum over the blocks of the larger of share and use stays within
 * the limit: a share only grows by what is left of that, and others are cut first, in an earlier commit, to
 * make room.
 */
export function allocateQuotaShares(input: QuotaShareInput): Map<number, QuotaShares> {
  const shares = new Map<number, QuotaShares>([...input.currentShares.keys()].map((block) => [block, {}]));
  for (const team of input.teams) {
    if (!isLimited(team)) continue;
    for (const { block, next } of divideLimit(team, input)) {
      const blockShares = shares.get(block);
      if (blockShares) blockShares[team.name] = next;
    }
  }
  return shares;
}

function divideLimit(team: Team, { currentShares, demand }: QuotaShareInput): BlockShare[] {
  const shares = [...currentShares].map(([block, blockShares]): BlockShare => {
    const current = blockShares[team.name] ?? [0, 0];
    return { block, demand: demand(block, team.name), current, wanted: [0, 0], next: [0, 0] };
  });
  computeWantedShares(shares, team);
  const limits: QuotaAmount = [team.cpusMax, team.acceleratorsMax];
  for (const resource of resourceIndexes)
    if (limits[resource] > 0) divideResource(shares, limits[resource], resource);
  return shares;
}

function divideResource(shares: BlockShare[], limit: number, resource: ResourceIndex): void {
  const allocated = shares.reduce(
    (sum, { current, demand }) => sum + Math.max(current[resource], demand.used[resource]),
    0,
  );
  let available = limit - allocated;
  for (const share of shares) {
    const current = share.current[resource];
    const wanted = share.wanted[resource];
    const growth = Math.min(Math.max(0, wanted - current), Math.max(0, available));
    // Cut only where another block wants more: otherwise the share stays for what comes next.
    const isWantedElsewhere = shares.some(
      (other) => other !== share && other.wanted[resource] > other.current[resource] + roundingTolerance,
    );
    const kept = isWantedElsewhere ? Math.min(current, Math.max(wanted, 0)) : current;
    share.next[resource] = Math.max(kept, 0) + growth;
    available -= growth;
  }
}

/**
 * A block wants what it uses, then what its waiting tasks take one by one, then an even part of what is left.
 */
function computeWantedShares(shares: BlockShare[], team: Team): void {
  const total: QuotaAmount = [0, 0];
  for (const share of shares) {
    share.wanted = [...share.demand.used];
    total[0] += share.wanted[0];
    total[1] += share.wanted[1];
  }
  for (const { demand, wanted } of shares) {
    for (const { need, count } of demand.waiting) addWaiting(wanted, total, team, { need, count });
  }
  for (const { wanted } of shares) {
    wanted[0] += Math.max(0, team.cpusMax - total[0]) / shares.length;
    wanted[1] += Math.max(0, team.acceleratorsMax - total[1]) / shares.length;
  }
}

/**
 * Adds so many tasks as the team's limit admits beside the total, to what the block wants and to the total.
 */
function addWaiting(
  wanted: QuotaAmount,
  total: QuotaAmount,
  team: Team,
  { need, count }: { need: Resources; count: number },
): void {
  for (let i = 0; i < count; i++) {
    if (!withinLimit(total[0], need.cpus, team.cpusMax)) return;
    if (!withinLimit(total[1], need.accelerators, team.acceleratorsMax)) return;
    wanted[0] += need.cpus;
    wanted[1] += need.accelerators;
    total[0] += need.cpus;
    total[1] += need.accelerators;
  }
}
