/**
 * Determines when the leader reallocates the resource limits of teams among the blocks, and computes the
 * demand of each team in each block. A quota share is the part of a team's limit that one block may use.
 */
import type { Clock } from '../base/clock.js';
import type { JobIndex } from '../placement/job-index.js';
import { taskResourcesOf } from '../placement/ledger-index.js';
import type { QueueOrder } from '../placement/queue-order.js';
import type { Settings } from '../settings/settings.js';
import type { BlockRecord, QuotaShares } from '../wire/block-records.js';
import { allocateQuotaShares, isLimited, isStarved, type TeamDemand } from './quota-shares.js';

/** The dependencies of the quota share allocator. */
export interface QuotaShareAllocatorPorts {
  clock: Clock;
  /** Wall-clock time in ms since the epoch. */
  wallClock: () => number;
  settings: Pick<Settings, 'teams' | 'controllers'>;
  jobIndex: Pick<JobIndex, 'activeTasks' | 'inQueueOrder' | 'waitingByBlock'>;
  order: QueueOrder;
  /**
   * Time in ms for which quota shares are kept. Shares are reallocated earlier if waiting tasks exceed the
   * quota share of their block.
   */
  quotaSharePeriodMs: number;
}

/**
 * Allocates quota shares. The shares are kept for `quotaSharePeriodMs`, or until waiting tasks exceed the
 * quota share of their block.
 */
export class QuotaShareAllocator {
  private allocatedAt = -Infinity;

  constructor(private readonly ports: QuotaShareAllocatorPorts) {}

  /** Returns the quota shares to write now, by block. Returns an empty map if no team has a limit. */
  nextShares(blocks: ReadonlyMap<number, BlockRecord>): Map<number, QuotaShares> {
    const { settings, clock, quotaSharePeriodMs } = this.ports;
    const limitedTeams = [...settings.teams.values()].filter(isLimited);
    if (limitedTeams.length === 0) return new Map();
    const demand = this.teamDemand();
    const isAnyStarved = [...blocks].some(([block, record]) =>
      limitedTeams.some((team) => isStarved(demand(block, team.name), record.quotaShares, team)),
    );
    if (!isAnyStarved && clock() - this.allocatedAt < quotaSharePeriodMs) {
      return new Map([...blocks].map(([block, record]) => [block, record.quotaShares]));
    }
    this.allocatedAt = clock();
    const currentShares = new Map<number, QuotaShares>();
    for (let block = 0; block < settings.controllers; block++) {
      currentShares.set(block, blocks.get(block)?.quotaShares ?? {});
    }
    return allocateQuotaShares({ teams: limitedTeams, currentShares, demand });
  }

  /**
   * Computes the demand of each team in each block from the replica of the store: the resources that the
   * team's tasks use, and the resources that its waiting tasks need.
   */
  private teamDemand(): (block: number, team: string) => TeamDemand {
    const { jobIndex, order, wallClock } = this.ports;
    const demands = new Map<string, TeamDemand>();
    const demandOf = (block: number, team: string): TeamDemand => {
      const key = `${block}/${team}`;
      let demand = demands.get(key);
      if (!demand) demands.set(key, (demand = { used: [0, 0], waiting: [] }));
      return demand;
    };
    for (const { entry } of jobIndex.activeTasks()) {
      const { used } = demandOf(entry.block, entry.team);
      used[0] += entry.cpus;
      used[1] += entry.accelerators;
    }
    for (const job of jobIndex.inQueueOrder(order, wallClock())) {
      for (const { block, count } of jobIndex.waitingByBlock(job)) {
        if (block !== undefined && count > 0)
          demandOf(block, job.spec.team).waiting.push({ need: taskResourcesOf(job.spec), count });
      }
    }
    return demandOf;
  }
}
