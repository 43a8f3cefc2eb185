/**
 * Adapts a controller's share of the state service's write limit to the demand and to refused commits. The
 * even share is the part of the limit that the pacing assigns to the controller.
 */

/** Growth of a share above the even share while users wait, as a fraction of the even share per second. */
const growthPerSecond = 0.5;
/**
 * Decay of a share towards the even share while no user waits, as a fraction of the even share per second.
 */
const decayPerSecond = 0.1;
/** Upper bound of the share, as a multiple of the even share. */
const maxFactor = 4;
/**
 * Growth of a share below the even share, as a fraction of the even share per second. Growth is so slow that
 * the share reaches the even share only if the limits have been raised again.
 */
const recoveryPerSecond = 0.01;
/** Each refusal multiplies a share above the even share by this factor. */
const refusalFactorAboveEven = 1 / 2;
/** Each refusal multiplies a share equal to or below the even share by this factor. */
const refusalFactorBelowEven = 0.9;
/** Upper bound, in seconds, of the time between two commits for which the share grows or decays. */
const maxElapsedS = 1;

/** The properties of a completed commit from which the share is adapted. */
export interface PacedCommit {
  /** Whether the service refused the commit because a rate limit was exceeded. */
  refused: boolean;
  /**
   * Whether a user had to wait until the commit was sent. Always false for commits of the controller's own
   * work. These commits can be batched while they wait, so they need no larger share.
   */
  waited: boolean;
}

/**
 * The controller's share of the store's write limit, relative to its even share. The other controllers seldom
 * use their full shares at the same time, and no message reports the unused part. Therefore the share grows
 * while users wait and the service refuses no commit. Each refusal halves the share, down to the even share.
 *
 * The settings may announce limits that take effect later (`state.next` in the platform's file). If
 * the announced write limit is lower than the current one, refusals reduce the share below the even share,
 * down to the announced write limit as a fraction of the current write limit.
 */
export class AdaptiveShare {
  private updatedAt: number;
  private currentFactor = 1;

  /**
   * @param now monotonic time in ms
   * @param minFactor lower bound of the share, as a fraction of the even share, 0 to 1
   */
  constructor(
    now: number,
    private readonly minFactor = 1,
  ) {
    this.updatedAt = now;
  }

  /** The current share, as a multiple of the even share. */
  get factor(): number {
    return this.currentFactor;
  }

  /**
   * Adapts the share to a commit that was completed at `now`, a monotonic time in ms. Returns true if the
   * share has changed.
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
