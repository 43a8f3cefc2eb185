import type { Resources } from '../model/types.js';
import { withinLimit } from '../model/types.js';
import type { Team } from '../settings/settings.js';
import type { BlockRecord, QuotaShares } from '../wire/block-records.js';

type QuotaAmount = [cpus: number, accelerators: number];

/** What a block's tasks of one team take, and would take if it were admitted. */
export interface TeamDemand {
  used: QuotaAmount;
  /** Waiting work in the order in which it is to be admitted, one entry a job. */
  waiting: { need: Resources; count: number }[];
}

export interface QuotaShareInput {
  teams: Iterable<Team>;
  blocks: ReadonlyMap<number, BlockRecord>;
  /** By block and team; complete up to the present versions of the blocks, which is what makes growing safe. */
  demand: (block: number, team: string) => TeamDemand;
}

/**
 * The limits of teams, leased in shares. A block may use its share and no more, but a share may be cut below what
 * its tasks take at the moment. So the sum over the blocks of the larger of share and use must stay within the
 * limit: a share only grows by what is left of it, and others are cut first to make that room.
 */
export function allocateQuotaShares(facts: QuotaShareInput): Map<number, QuotaShares> {
  const next = new Map<number, QuotaShares>([...facts.blocks].map(([block]) => [block, {}]));
  for (const team of facts.teams) {
    if (team.cpusMax === 0 && team.acceleratorsMax === 0) continue;
    const blocks = [...facts.blocks].map(([block, record]) => {
      const demand = facts.demand(block, team.name);
      const now: QuotaAmount = record.quotaShares[team.name] ?? [0, 0];
      return { block, demand, now, wish: [0, 0] as QuotaAmount };
    });
    computeWantedShares(blocks, team);
    const limits: QuotaAmount = [team.cpusMax, team.acceleratorsMax];
    const shares = blocks.map(() => [0, 0] as QuotaAmount);
    for (const axis of [0, 1] as const) {
      const limit = limits[axis];
      if (limit === 0) continue;
      const bound = blocks.reduce((sum, b) => sum + Math.max(b.now[axis], b.demand.used[axis]), 0);
      let room = limit - bound;
      for (const [i, b] of blocks.entries()) {
        const wish = b.wish[axis];
        const growth = Math.min(Math.max(0, wish - b.now[axis]), Math.max(0, room));
        // Cut only where another block lacks: a share that nobody else wants may stay for what comes next.
        const lacking = blocks.some((o) => o !== b && o.wish[axis] > o.now[axis] + 1e-6);
        const kept = lacking ? Math.min(b.now[axis], Math.max(wish, 0)) : b.now[axis];
        const share = shares[i];
        if (share) share[axis] = Math.max(kept, 0) + growth;
        room -= growth;
      }
    }
    for (const [i, b] of blocks.entries()) {
      const share = shares[i];
      const shareOf = next.get(b.block);
      if (share && shareOf) shareOf[team.name] = share;
    }
  }
  return next;
}

/** Wishes: what is used, then waiting work whole task by whole task, then an even part of what remains. */
function computeWantedShares(blocks: { demand: TeamDemand; wish: QuotaAmount }[], team: Team): void {
  const total: QuotaAmount = [0, 0];
  for (const b of blocks) {
    b.wish = [...b.demand.used];
    total[0] += b.wish[0];
    total[1] += b.wish[1];
  }
  for (const b of blocks) {
    for (const { need, count } of b.demand.waiting) {
      for (let i = 0; i < count; i++) {
        if (!withinLimit(total[0], need.cpus, team.cpusMax)) break;
        if (!withinLimit(total[1], need.accelerators, team.acceleratorsMax)) break;
        b.wish[0] += need.cpus;
        b.wish[1] += need.accelerators;
        total[0] += need.cpus;
        total[1] += need.accelerators;
      }
    }
  }
  for (const b of blocks) {
    b.wish[0] += Math.max(0, team.cpusMax - total[0]) / blocks.length;
    b.wish[1] += Math.max(0, team.acceleratorsMax - total[1]) / blocks.length;
  }
}
