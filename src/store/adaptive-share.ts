/** Adaptive part of a controller's share of the state service's write limit. */

/** How fast a share grows while it is too small, and shrinks while it is not, and how large it may get. */
const growth = { perSecond: 0.5, decayPerSecond: 0.1, maxFactor: 4 };
/** A share that refusals have cut below an even one grows back so slowly that only limits that were raised again are felt. */
const recoveryPerSecond = 0.01;
/** What each refusal leaves of a share that is no more than an even one. */
const refusalCutFactor = 0.9;

/**
 * How far a controller goes beyond its even share of the store's limits. The others seldom need all of theirs at the same
 * time, and nobody tells how much they leave: as long as the service refuses nothing, who keeps users waiting takes more,
 * and each refusal halves what was taken. Where lower limits are to come, refusals cut even shares down to what these leave. What the duties write can be gathered, so that they wait is no reason.
 */
export class AdaptiveShare {
  private updatedAt: number;
  private currentFactor = 1;

  /** `leastFactor`: the part of its even share that a controller keeps however much is refused. */
  constructor(
    now: number,
    private readonly leastFactor = 1,
  ) {
    this.updatedAt = now;
  }

  get factor(): number {
    return this.currentFactor;
  }

  /** After a commit; true: the factor has changed. */
  recordCommit(outcome: { refused: boolean; waited: boolean }, now: number): boolean {
    const passedS = Math.min(1, (now - this.updatedAt) / 1000);
    const before = this.currentFactor;
    this.updatedAt = now;
    if (outcome.refused) this.currentFactor = this.afterRefusal();
    else if (this.currentFactor < 1)
      this.currentFactor = Math.min(1, this.currentFactor + recoveryPerSecond * passedS);
    else if (outcome.waited)
      this.currentFactor = Math.min(growth.maxFactor, this.currentFactor + growth.perSecond * passedS);
    else this.currentFactor = Math.max(1, this.currentFactor - growth.decayPerSecond * passedS);
    return this.currentFactor !== before;
  }

  private afterRefusal(): number {
    if (this.currentFactor > 1) return Math.max(1, this.currentFactor / 2);
    return Math.max(this.leastFactor, this.currentFactor * refusalCutFactor);
  }
}
