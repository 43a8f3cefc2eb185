/** Paces a controller's requests and writes, to stay within its share of the state service's limits. */
import type { Clock } from '../base/clock.js';
import { TokenBucket } from '../base/token-bucket.js';
import type { Settings } from '../settings/settings.js';
import { AdaptiveShare } from './adaptive-share.js';

/**
 * `intake`: submissions and cancellations of users. `confirm`: requests that verify a job status in the store
 * before the status is reported to a user. `duty`: the controller's own work. The requests of each class are
 * paced separately, so that a burst in one class does not delay another class.
 */
export type TrafficClass = 'intake' | 'confirm' | 'duty';

/** The properties of a controller that determine its share of the limits. */
export interface ControllerRole {
  isLeader: boolean;
  /** The number of controllers that share the limits, including this controller. */
  aliveControllers: number;
  /** The fraction of all machines that this controller manages, 0 to 1. */
  machineShare: number;
}

/**
 * Fractions of the request limit, which applies to all controllers together. The leader gets the fraction
 * `leader` for its `duty` requests in addition to its share of the fraction `duty`. The fractions of each
 * limit add up to less than 1, so that all controllers together stay below the limit.
 */
const requestShares = { intake: 0.12, confirm: 0.23, leader: 0.08, duty: 0.32 };
/**
 * Fractions of the write limit, which all traffic classes share. `leader`: only for the leader. `even`:
 * divided evenly among the controllers. `byMachines`: divided in proportion to the numbers of machines that
 * the controllers manage. Writes of `intake` have precedence, but only up to the fraction `maxForIntake` of
 * the controller's write rate.
 */
const writeShares = { leader: 0.14, even: 0.37, byMachines: 0.43, maxForIntake: 0.5 };
/**
 * The fraction of the `duty` requests that is divided evenly among the controllers. The rest is divided in
 * proportion to the numbers of machines that the controllers manage.
 */
const evenRequestShare = 0.3;
/**
 * The fraction of a burst that commits of class `duty` leave unused, so that submissions that arrive together
 * need not wait for each other.
 */
const intakeBurstShare = 0.5;
/**
 * The fraction of the request limit that is reserved for watch requests. After a watch request returns, the
 * controller sends another.
 */
const watchRequestShare = 0.2;
/** A burst may contain as many requests or writes as the limit admits in this number of seconds. */
const burstS = 0.5;
const minRequestBurst = 2;
const minWriteBurst = 4;
const minWatchGapMs = 200;
/**
 * Lower bound of the pause between watch requests, as a fraction of the heartbeat interval. A shorter pause
 * has no benefit, because neither task starts nor heartbeats wait for the watch.
 */
const watchGapHeartbeats = 0.1;

/**
 * Token buckets for the requests of each traffic class and for the writes of all classes together. The units
 * are requests and written keys.
 */
export class RequestPacing {
  private readonly requestBuckets: Record<TrafficClass, TokenBucket>;
  private readonly writeBucket: TokenBucket;
  private readonly intakeWriteBucket: TokenBucket;
  private readonly writeBurst: number;
  private readonly adaptiveShare: AdaptiveShare;
  private role: ControllerRole;

  /** Starts with an even share of the limits. */
  constructor(
    private readonly settings: Pick<Settings, 'state' | 'controllers' | 'heartbeatIntervalMs'>,
    private readonly clock: Clock,
  ) {
    const { state, controllers } = settings;
    this.requestBuckets = {
      intake: new TokenBucket(1, 1, clock),
      confirm: new TokenBucket(1, 1, clock),
      duty: new TokenBucket(1, 1, clock),
    };
    this.adaptiveShare = new AdaptiveShare(clock(), state.nextRateShare);
    this.writeBurst = Math.max(minWriteBurst, state.writeRps * burstS);
    // All controllers may start at the same time, so each starts with `intakeReserve` writes instead of a
    // full burst.
    this.writeBucket = new TokenBucket(1, this.intakeReserve, clock);
    this.intakeWriteBucket = new TokenBucket(1, this.intakeReserve, clock);
    this.role = { isLeader: false, aliveControllers: controllers, machineShare: 1 / controllers };
    this.applyRates();
  }

  /**
   * The pause between two watch requests in ms. With this pause, the watch requests of all controllers
   * together stay within the part of the request limit that is reserved for them.
   */
  get watchGapMs(): number {
    const { state, controllers, heartbeatIntervalMs } = this.settings;
    const sharedGapMs = (controllers * 1000) / (state.rps * watchRequestShare);
    return Math.max(minWatchGapMs, heartbeatIntervalMs * watchGapHeartbeats, sharedGapMs);
  }

  /** Adapts the rates to the current role of this controller. */
  setRole(role: ControllerRole): void {
    this.role = role;
    this.applyRates();
  }

  /** Reserves one request of this class and returns how many milliseconds to wait before it is sent. */
  reserveRequest(trafficClass: TrafficClass): number {
    return this.requestBuckets[trafficClass].reserve(1);
  }

  /**
   * Returns how many milliseconds a commit of this class would currently have to wait.
   *
   * @param trafficClass the class of the commit
   * @param writesAhead number of writes that are sent before the commit; ignored for `duty`
   */
  writeWaitMs(trafficClass: TrafficClass, writesAhead = 0): number {
    if (trafficClass === 'duty') return this.writeBucket.msUntilAvailable(this.intakeReserve);
    return Math.max(
      this.writeBucket.msUntilAvailable(writesAhead),
      this.intakeWriteBucket.msUntilAvailable(writesAhead),
    );
  }

  /** Takes one token per write of a commit from the token buckets. The buckets may go into debt. */
  reserveWrites(trafficClass: TrafficClass, count: number): void {
    this.writeBucket.reserve(count);
    if (trafficClass === 'intake') this.intakeWriteBucket.reserve(count);
  }

  /**
   * Adapts the share of the write limit to the result of a commit with writes. `waited` means that a user had
   * to wait until the commit was sent.
   */
  recordCommit(result: { refused: boolean; waited: boolean }): void {
    if (this.adaptiveShare.recordCommit(result, this.clock())) this.applyRates();
  }

  /** The number of writes in a burst that commits of class `duty` leave to submissions. */
  private get intakeReserve(): number {
    return this.writeBurst * intakeBurstShare;
  }

  private applyRates(): void {
    const sharingControllers = Math.min(this.settings.controllers, Math.max(1, this.role.aliveControllers));
    this.applyRequestRates(sharingControllers);
    this.applyWriteRates(sharingControllers);
  }

  private applyRequestRates(sharingControllers: number): void {
    const { rps } = this.settings.state;
    const { isLeader, machineShare } = this.role;
    // Bursts of several controllers seldom coincide. If they do, the service refuses some of the requests,
    // and the controllers retry them.
    const burst = Math.max(minRequestBurst, rps * burstS);
    const dutyWeight = evenRequestShare / sharingControllers + (1 - evenRequestShare) * machineShare;
    const leaderShare = isLeader ? requestShares.leader : 0;
    this.requestBuckets.intake.setRate((rps * requestShares.intake) / sharingControllers, burst);
    this.requestBuckets.confirm.setRate((rps * requestShares.confirm) / sharingControllers, burst);
    this.requestBuckets.duty.setRate(rps * (requestShares.duty * dutyWeight + leaderShare), burst);
  }

  private applyWriteRates(sharingControllers: number): void {
    const { isLeader, machineShare } = this.role;
    const leaderShare = isLeader ? writeShares.leader : 0;
    const share = writeShares.even / sharingControllers + writeShares.byMachines * machineShare + leaderShare;
    const rate = this.settings.state.writeRps * Math.min(1, share * this.adaptiveShare.factor);
    this.writeBucket.setRate(rate, this.writeBurst);
    this.intakeWriteBucket.setRate(rate * writeShares.maxForIntake, this.writeBurst);
  }
}
