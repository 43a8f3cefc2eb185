/** The order of the urgencies that users may give a job. */
import type { Urgency } from './types.js';

/** The rank of each urgency: lower is more urgent. */
export const urgencyRanks: Record<Urgency, number> = { production: 0, high: 1, standard: 2, best_effort: 3 };

/** The more urgent of the two. */
export function moreUrgent(a: Urgency, b: Urgency): Urgency {
  return urgencyRanks[a] <= urgencyRanks[b] ? a : b;
}
