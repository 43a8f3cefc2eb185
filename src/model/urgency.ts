/** The order of the urgencies that a user can give a job. */
import type { Urgency } from './types.js';

/** The rank of each urgency. A lower rank is more urgent. */
export const urgencyRanks: Record<Urgency, number> = { production: 0, high: 1, standard: 2, best_effort: 3 };

/** Returns the more urgent of two urgencies. */
export function moreUrgent(a: Urgency, b: Urgency): Urgency {
  return urgencyRanks[a] <= urgencyRanks[b] ? a : b;
}
