/** Adapts a controller's share of the state service's write limit to demand and to refusals. */

/** Growth of a share above the even share while users wait, as a fraction of the even share per second. */
const growthPerSecond = 0.5;
/**
 * Decay of a share towards the even share while no user waits, as a fraction of the even share per second.
 */
const decayPerSecond = 0.1;
/** The largest share, as a multiple of the even share. */
const maxFactor = 4;
/**
 * Growth of a share below the even share, as a fraction of the even share per second. It is so slow that the
 * share reaches the even share only if the limits were raised again.
 */
const recoveryPerSecond = 0.01;
/** Each refusal multiplies a share above the even share by this factor. */
const refusalFactorAboveEven = 1 / 2;
/** Each refusal multiplies a share equal to or below the even share by this factor. */
const refusalFactorBelowEven = 0.9;
/** The time between two commits counts as at most this many seconds of growth or decay. */
const maxElapsedS = 1;

/** The result of a commit, as far as the share depends on it. */
export interface PacedCommit {
  /** The service refused the commit because a rate limit was exceeded. */
  refused: boolean;
  /**
   * A user had to wait until the commit was sent. Waiting of other work is not reported here: that work can
   * be batched, so its waiting is no reason for a larger share.
   */
  waited: boolean;
}

/**
 * The controller's share of the store's write limit, relative to an even share. The other controllers seldom
 * need all of their shares at the same time, and no message reports how much of them is unused. Therefore the
 * share grows while users wait and the service refuses nothing. Each refusal halves the share, down to the
 * even share. If lower limits are announced, refusals reduce the share further, down to the part that the
 * lower limits will leave.
 */
export class AdaptiveShare {
  private updatedAt: number;
  private currentFactor = 1;

  /**
   * @param now the clock, in milliseconds
   * @param minFactor the part of its even share below which no refusal reduces the share, 0 to 1
   */
  constructor(
    now: number,
    private readonly minFactor = 1,
  ) {
    this.updatedAt = now;
  }

  /** The present share, as a multiple of the even share. */
  get factor(): number {
    return this.currentFactor;
  }

  /**
   * Adapts the share to a commit that ended at `now`, a reading of the clock in milliseconds. Returns true if
   * the factor has changed.
   */
  recordCommit({ refused, waited }: PacedCommit, now: number): boolean {
    const elapsedS = Math.min(maxElapsedS, (now - this.updatedAt) / 1000);
    const previousFactor = this.currentFactor;
    this.updatedAt = now;
    this.currentFactor = refused ? this.afterRefusal() : this.afterSuccess(waited, elapsedS);
    return this.currentFactor !== previousFactor;
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
