/** Keeps a controller's requests and writes within its share of the state service's limits. */
import type { Clock } from '../base/clock.js';
import { TokenBucket } from '../base/token-bucket.js';
import type { Settings } from '../settings/settings.js';
import { AdaptiveShare } from './adaptive-share.js';

/**
 * `intake`: submissions and cancellations of users. `confirm`: requests that confirm the answers to status
 * queries of users. `duty`: the controller's own work. The requests of each class are paced separately, so
 * that a burst in one class does not delay another.
 */
export type TrafficClass = 'intake' | 'confirm' | 'duty';

/** The state of a controller that determines its share of the limits. */
export interface ControllerRole {
  isLeader: boolean;
  /** The number of controllers that share the limits, including this one. */
  aliveControllers: number;
  /** The part of all machines that belongs to this controller, 0 to 1. */
  machineShare: number;
}

/**
 * Parts of the request limit, which applies to all controllers together. The parts of each limit add up to
 * less than 1, so that all controllers together stay below the limit.
 */
const requestShares = { intake: 0.12, confirm: 0.23, leader: 0.08, duty: 0.32 };
/**
 * Parts of the write limit, which all traffic classes share. Writes of `intake` have precedence, but never
 * take more than their part.
 */
const writeShares = { leader: 0.14, even: 0.37, byMachines: 0.43, maxForIntake: 0.5 };
/**
 * The part of the `duty` requests that is divided evenly among the controllers. The rest is divided in
 * proportion to their machines.
 */
const evenRequestShare = 0.3;
/**
 * The part of a burst that `duty` leaves unused, so that submissions that arrive together need not wait for
 * each other.
 */
const intakeBurstShare = 0.5;
/**
 * The part of the request limit that is reserved for watches. Each watch request that returns with changes is
 * followed by another.
 */
const watchRequestShare = 0.2;
/** The size of a burst, as the number of seconds in which the limit admits it. */
const burstS = 0.5;
const minRequestBurst = 2;
const minWriteBurst = 4;
const minWatchGapMs = 200;
/**
 * The pause between watches is at least this part of a heartbeat interval. A shorter pause has no benefit, as
 * neither task starts nor heartbeats wait for a watch.
 */
const watchGapHeartbeats = 0.1;

/**
 * Token buckets for the requests of each traffic class and for the writes of all classes together. The units
 * are requests and written keys.
 */
export class RequestPacing {
  private readonly requests: Record<TrafficClass, TokenBucket>;
  private readonly writes: TokenBucket;
  private readonly intakeWrites: TokenBucket;
  private readonly writeBurst: number;
  private readonly adaptiveShare: AdaptiveShare;
  private role: ControllerRole;

  /** Starts with an even share of the limits. */
  constructor(
    private readonly settings: Pick<Settings, 'state' | 'controllers' | 'heartbeatIntervalMs'>,
    private readonly clock: Clock,
  ) {
    const { state, controllers } = settings;
    this.requests = {
      intake: new TokenBucket(1, 1, clock),
      confirm: new TokenBucket(1, 1, clock),
      duty: new TokenBucket(1, 1, clock),
    };
    this.adaptiveShare = new AdaptiveShare(clock(), state.nextRateShare);
    this.writeBurst = Math.max(minWriteBurst, state.writeRps * burstS);
    // All controllers may start at the same time, so none starts with a larger burst than `duty` can use.
    this.writes = new TokenBucket(1, this.intakeReserve, clock);
    this.intakeWrites = new TokenBucket(1, this.intakeReserve, clock);
    this.role = { isLeader: false, aliveControllers: controllers, machineShare: 1 / controllers };
    this.applyRates();
  }

  /**
   * The pause between two watch requests, in milliseconds, which keeps the watches of all controllers
   * together within their share of the request limit.
   */
  get watchGapMs(): number {
    const { state, controllers, heartbeatIntervalMs } = this.settings;
    const sharedGapMs = (controllers * 1000) / (state.rps * watchRequestShare);
    return Math.max(minWatchGapMs, heartbeatIntervalMs * watchGapHeartbeats, sharedGapMs);
  }

  /** Adapts the rates to the present role of this controller. */
  setRole(role: ControllerRole): void {
    this.role = role;
    this.applyRates();
  }

  /** Reserves one request of this class and returns how many milliseconds to wait before it is sent. */
  reserveRequest(trafficClass: TrafficClass): number {
    return this.requests[trafficClass].reserve(1);
  }

  /**
   * How many milliseconds a commit of this class would have to wait at present.
   *
   * @param trafficClass the class of the commit
   * @param writesAhead writes that are sent before the commit; ignored for `duty`
   */
  writeWaitMs(trafficClass: TrafficClass, writesAhead = 0): number {
    if (trafficClass === 'duty') return this.writes.msUntilAvailable(this.intakeReserve);
    return Math.max(
      this.writes.msUntilAvailable(writesAhead),
      this.intakeWrites.msUntilAvailable(writesAhead),
    );
  }

  /** Takes the writes of a commit from the token buckets, which may go into debt. */
  reserveWrites(trafficClass: TrafficClass, count: number): void {
    this.writes.reserve(count);
    if (trafficClass === 'intake') this.intakeWrites.reserve(count);
  }

  /**
   * Adapts the share of the write limit to the result of a commit with writes. `waited` means that a user had
   * to wait until the commit was sent.
   */
  recordCommit(result: { refused: boolean; waited: boolean }): void {
    if (this.adaptiveShare.recordCommit(result, this.clock())) this.applyRates();
  }

  /** The number of writes of a burst that `duty` leaves to submissions. */
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
    // Bursts of several controllers seldom coincide. If they do, the service refuses requests of one of them,
    // which are then retried.
    const burst = Math.max(minRequestBurst, rps * burstS);
    const dutyWeight = evenRequestShare / sharingControllers + (1 - evenRequestShare) * machineShare;
    const leaderShare = isLeader ? requestShares.leader : 0;
    this.requests.intake.setRate((rps * requestShares.intake) / sharingControllers, burst);
    this.requests.confirm.setRate((rps * requestShares.confirm) / sharingControllers, burst);
    this.requests.duty.setRate(rps * (requestShares.duty * dutyWeight + leaderShare), burst);
  }

  private applyWriteRates(sharingControllers: number): void {
    const { isLeader, machineShare } = this.role;
    const leaderShare = isLeader ? writeShares.leader : 0;
    const share = writeShares.even / sharingControllers + writeShares.byMachines * machineShare + leaderShare;
    const rate = this.settings.state.writeRps * Math.min(1, share * this.adaptiveShare.factor);
    this.writes.setRate(rate, this.writeBurst);
    this.intakeWrites.setRate(rate * writeShares.maxForIntake, this.writeBurst);
  }
}
