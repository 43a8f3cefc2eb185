/** Observation of task failures, which the tuning of thresholds counts. */
import type { JobIndex } from '../placement/job-index.js';
import { type Pool, poolKey, eligiblePools } from './pools.js';
import type { LeasedMachine } from '../wire/block-records.js';
import type { FailureSample } from './threshold-tuner.js';

/**
 * Sees from the job index which tasks failed in the paper's sense: they had to wait on arrival, or lost their machine.
 * Waiting for what the cloud refuses is no fault of the ladder's, so it does not count against it.
 */
export class FailureObserver {
  /** Jobs whose arrival has been judged, with the displaced tasks that were counted since. */
  private readonly countedDisplacedByJob = new Map<string, number>();

  constructor(private readonly patienceMs: number) {}

  observe(
    jobIndex: JobIndex,
    pools: ReadonlyMap<string, Pool>,
    machines: ReadonlyMap<string, LeasedMachine>,
    now: number,
  ): { pool: string; outcome: FailureSample }[] {
    const seen: { pool: string; outcome: FailureSample }[] = [];
    for (const job of jobIndex.jobs.values()) {
      if (now - job.readySeenAt < this.patienceMs) continue;
      const counted = this.countedDisplacedByJob.get(job.id);
      const pages = [...jobIndex.entriesOf(job.id)];
      const displaced = pages.reduce((sum, page) => sum + page.waiting.length, 0);
      this.countedDisplacedByJob.set(job.id, displaced);
      const on = pages.flatMap((page) => page.active).map(([, , machine]) => machines.get(machine));
      const used = on.find((machine) => machine !== undefined);
      const choices = eligiblePools(job.spec, pools.values());
      const pool = choices.find((p) => !p.exhausted) ?? choices[0];
      const home = (used && pools.get(poolKey(used.type, used.spot))) ?? pool;
      if (!pool || !home) continue;
      const waits = jobIndex.waitingByBlock(job).reduce((sum, waiting) => sum + waiting.count, 0);
      const arrived = counted === undefined;
      const failed = arrived ? waits : Math.max(0, displaced - counted);
      if (!arrived && failed === 0) continue;
      const blamed = failed > 0 && pool.exhausted ? 0 : failed;
      const target = failed > 0 ? pool : home;
      const outcome = {
        at: now,
        tasks: arrived ? job.spec.tasks : 0,
        failed: blamed,
        m: target.machines.length + 1,
      };
      seen.push({ pool: target.key, outcome });
    }
    for (const id of this.countedDisplacedByJob.keys())
      if (!jobIndex.jobs.has(id)) this.countedDisplacedByJob.delete(id);
    return seen;
  }
}
