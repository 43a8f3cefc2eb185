/** The adaptive part of a controller's share of the state service's write limit. */

/** How fast a share grows above an even one while a user has to wait, as a part of the even share a second. */
const growthPerSecond = 0.5;
/** How fast a share shrinks back to an even one while nobody has to wait. */
const decayPerSecond = 0.1;
/** The largest share, in even shares. */
const maxFactor = 4;
/** A share cut below an even one recovers so slowly that it reaches it only where the limits were raised again. */
const recoveryPerSecond = 0.01;
/** What each refusal leaves of a share above an even one. */
const refusalFactorAboveEven = 1 / 2;
/** What each refusal leaves of a share that is no more than an even one. */
const refusalFactorBelowEven = 0.9;
/** A pause between two commits counts as at most this long. */
const maxElapsedS = 1;

/** What a commit says of the share. */
export interface PacedCommit {
  /** The service refused it for its limits. */
  refused: boolean;
  /** A user had to wait for its turn. Other work can be gathered, so that it waits is no reason for a larger share. */
  waited: boolean;
}

/**
 * How far a controller goes beyond its even share of the store's limits. The others seldom need all of theirs at the same
 * time, and no message says how much they leave: as long as the service refuses nothing, a controller that keeps users
 * waiting takes more, and each refusal halves its share, down to an even one. Where lower limits are announced, refusals
 * cut even shares down to what these will leave.
 */
export class AdaptiveShare {
  private updatedAt: number;
  private currentFactor = 1;

  /**
   * @param now the clock, in milliseconds
   * @param minFactor the part of its even share that a controller keeps however much is refused, 0 to 1
   */
  constructor(
    now: number,
    private readonly minFactor = 1,
  ) {
    this.updatedAt = now;
  }

  /** The present share, in even shares. */
  get factor(): number {
    return this.currentFactor;
  }

  /** Records a commit that ended at this time of the clock, in milliseconds; true where the factor has changed. */
  recordCommit({ refused, waited }: PacedCommit, now: number): boolean {
    const elapsedS = Math.min(maxElapsedS, (now - this.updatedAt) / 1000);
    const before = this.currentFactor;
    this.updatedAt = now;
    this.currentFactor = refused ? this.afterRefusal() : this.afterSuccess(waited, elapsedS);
    return this.currentFactor !== before;
  }

  private afterRefusal(): number {
    if (this.currentFactor > 1) return Math.max(1, this.currentFactor * refusalFactorAboveEven);
    return Math.max(this.minFactor, this.currentFactor * refusalFactorBelowEven);
  }

  private afterSuccess(waited: boolean, elapsedS: number): number {
    const factor = this.currentFactor;
    if (factor < 1) return Math.min(1, factor + recoveryPerSecond * elapsedS);
    if (waited) return Math.min(maxFactor, factor + growthPerSecond * elapsedS);
    return Math.max(1, factor - decayPerSecond * elapsedS);
  }
}
