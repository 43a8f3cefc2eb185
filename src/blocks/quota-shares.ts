/**
 * Divides the resource limits of teams among the blocks. A quota share is the part of a team's limit that one
 * block may use.
 */
import type { Resources } from '../model/types.js';
import { withinLimit } from '../model/types.js';
import type { Team } from '../settings/settings.js';
import type { QuotaShares } from '../wire/block-records.js';

/** Amounts of the resources for which teams can have limits. */
export type QuotaAmount = [cpus: number, accelerators: number];

/** The indexes of a `QuotaAmount`. CPUs and accelerators are divided independently of each other. */
const resourceIndexes = [0, 1] as const;
type ResourceIndex = (typeof resourceIndexes)[number];

/** The resources that one team's tasks in one block use, and the resources that its waiting tasks need. */
export interface TeamDemand {
  used: QuotaAmount;
  /** Waiting tasks in the order in which they are to be admitted, with one entry per job. */
  waiting: { need: Resources; count: number }[];
}

/** Input for dividing the teams' limits into quota shares of the blocks. */
export interface QuotaShareInput {
  teams: Iterable<Team>;
  /** The current shares of each block. There is an entry for every block that may get a share. */
  currentShares: ReadonlyMap<number, QuotaShares>;
  /**
   * Returns the demand of a team in a block. The demand must include all commits up to the current versions
   * of the blocks, because otherwise it would not be safe to increase a share.
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

/** Differences between amounts that are smaller than this are treated as rounding errors. */
const roundingTolerance = 1e-6;

/** Whether the team has a limit for CPUs or accelerators, which must be divided into quota shares. */
export function isLimited(team: Team): boolean {
  return team.cpusMax > 0 || team.acceleratorsMax > 0;
}

/**
 * Whether the team's next waiting task in a block would exceed the block's share of the team's limit.
 * @param demand the demand of the team in the block
 * @param shares the current shares of the block
 * @param team the team and its limits
 */
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
 * Computes the next shares of each block, by team.
 *
 * A block must not start tasks beyond its share, but its share may be cut below the amount that its tasks
 * currently use. The amount that a block may use is therefore the larger of its share and its current use.
 * The sum of these amounts over all blocks must stay within the limit, and a share grows only by the
 * remaining part of the limit. If that part is too small, the shares of other blocks are cut first, in an
 * earlier commit.
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
    // Cut this share only if another block wants more than its own current share. Otherwise keep this share
    // for future tasks.
    const isWantedElsewhere = shares.some(
      (other) => other !== share && other.wanted[resource] > other.current[resource] + roundingTolerance,
    );
    const kept = isWantedElsewhere ? Math.min(current, Math.max(wanted, 0)) : current;
    share.next[resource] = Math.max(kept, 0) + growth;
    available -= growth;
  }
}

/**
 * Computes the wanted share of each block. The wanted share is the sum of the resources that the tasks of the
 * block use, the resources that its waiting tasks need, and an equal part of the remaining limit. Waiting
 * tasks that would exceed the limit are not included.
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
 * Adds up to `count` waiting tasks to the wanted share of a block and to the total of all blocks, one task at
 * a time. Stops before a task that would exceed the team's limit.
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
