/** Keeps a controller's requests and writes within its share of the state service's limits. */
import type { Clock } from '../base/clock.js';
import { Pacer } from '../base/pacer.js';
import type { Settings } from '../settings/settings.js';
import { AdaptiveShare } from './adaptive-share.js';

/**
 * `intake` carries users' submissions and cancellations, `confirm` what confirms the answers to their status queries, `duty`
 * the controller's own work. Requests of each class are paced by themselves: a burst in one makes none of another late.
 */
export type TrafficClass = 'intake' | 'confirm' | 'duty';

/** What a controller's share of the limits depends on. */
export interface ControllerRole {
  isLeader: boolean;
  /** Controllers to share with, this one included. */
  aliveControllers: number;
  /** The part of all machines that this controller has, 0 to 1. */
  machineShare: number;
}

/** Shares of the limits, which hold for all controllers together; the whole stays below them. */
const requestShares = { intake: 0.12, confirm: 0.23, leader: 0.08, duty: 0.32 };
/** All traffic classes share the writes: what users submit goes first, and never takes more than its part. */
const writeShares = { leader: 0.14, even: 0.37, byMachines: 0.43, maxForIntake: 0.5 };
/** The part of the `duty` requests that all controllers get evenly; the rest goes by the machines that each has. */
const evenRequestShare = 0.3;
/** The part of a burst that `duty` leaves, so that submissions that come together need not wait for each other. */
const intakeBurstShare = 0.5;
/** The part of the requests that watches take: each one that returns with changes is followed by another. */
const watchRequestShare = 0.2;
/** A burst, in seconds of the limit. */
const burstS = 0.5;
const minRequestBurst = 2;
const minWriteBurst = 4;
const minWatchGapMs = 200;
/** Watches need not be closer than this part of a heartbeat interval: starts and heartbeats wait for none. */
const watchGapHeartbeats = 0.1;

/** Token buckets for the requests of each traffic class and for all writes. Units: requests and written keys. */
export class RequestPacing {
  private readonly requests: Record<TrafficClass, Pacer>;
  private readonly writes: Pacer;
  private readonly intakeWrites: Pacer;
  private readonly writeBurst: number;
  private readonly adaptiveShare: AdaptiveShare;
  private role: ControllerRole;

  /** Begins with an even share. */
  constructor(
    private readonly settings: Pick<Settings, 'state' | 'controllers' | 'heartbeatIntervalMs'>,
    private readonly clock: Clock,
  ) {
    const { state, controllers } = settings;
    this.requests = {
      intake: new Pacer(1, 1, clock),
      confirm: new Pacer(1, 1, clock),
      duty: new Pacer(1, 1, clock),
    };
    this.adaptiveShare = new AdaptiveShare(clock(), state.nextRateShare);
    this.writeBurst = Math.max(minWriteBurst, state.writeRps * burstS);
    // All controllers may start at once: none begins with more than `duty` can use.
    this.writes = new Pacer(1, this.intakeReserve, clock);
    this.intakeWrites = new Pacer(1, this.intakeReserve, clock);
    this.role = { isLeader: false, aliveControllers: controllers, machineShare: 1 / controllers };
    this.applyRates();
  }

  /** The pause between two watches, in milliseconds, that keeps the watches of all controllers within their share. */
  get watchGapMs(): number {
    const { state, controllers, heartbeatIntervalMs } = this.settings;
    const sharedGapMs = (controllers * 1000) / (state.rps * watchRequestShare);
    return Math.max(minWatchGapMs, heartbeatIntervalMs * watchGapHeartbeats, sharedGapMs);
  }

  /** Adapts the rates to what this controller does now. */
  setRole(role: ControllerRole): void {
    this.role = role;
    this.applyRates();
  }

  /** Takes one request from the share and returns how many milliseconds to wait before it is sent. */
  reserveRequest(trafficClass: TrafficClass): number {
    return this.requests[trafficClass].reserve(1);
  }

  /**
   * How many milliseconds a commit of this class would wait for its turn now.
   *
   * @param trafficClass the class of the commit
   * @param writesAhead writes that go out before it; `duty` takes no account of them
   */
  writeWaitMs(trafficClass: TrafficClass, writesAhead = 0): number {
    if (trafficClass === 'duty') return this.writes.msUntilAvailable(this.intakeReserve);
    return Math.max(
      this.writes.msUntilAvailable(writesAhead),
      this.intakeWrites.msUntilAvailable(writesAhead),
    );
  }

  /** Takes the writes of a commit from the share, in debt if need be. */
  reserveWrites(trafficClass: TrafficClass, count: number): void {
    this.writes.reserve(count);
    if (trafficClass === 'intake') this.intakeWrites.reserve(count);
  }

  /** Adapts the share of the writes to the result of a commit that wrote. `waited`: a user waited for its turn. */
  recordCommit(result: { refused: boolean; waited: boolean }): void {
    if (this.adaptiveShare.recordCommit(result, this.clock())) this.applyRates();
  }

  /** Writes that `duty` leaves to submissions. */
  private get intakeReserve(): number {
    return this.writeBurst * intakeBurstShare;
  }

  private applyRates(): void {
    const sharing = Math.min(this.settings.controllers, Math.max(1, this.role.aliveControllers));
    this.applyRequestRates(sharing);
    this.applyWriteRates(sharing);
  }

  private applyRequestRates(sharing: number): void {
    const { rps } = this.settings.state;
    const { isLeader, machineShare } = this.role;
    // Bursts seldom meet; where they do, the service refuses one of them, and it is repeated.
    const burst = Math.max(minRequestBurst, rps * burstS);
    const dutyWeight = evenRequestShare / sharing + (1 - evenRequestShare) * machineShare;
    const leaderShare = isLeader ? requestShares.leader : 0;
    this.requests.intake.setRate((rps * requestShares.intake) / sharing, burst);
    this.requests.confirm.setRate((rps * requestShares.confirm) / sharing, burst);
    this.requests.duty.setRate(rps * (requestShares.duty * dutyWeight + leaderShare), burst);
  }

  private applyWriteRates(sharing: number): void {
    const { isLeader, machineShare } = this.role;
    const leaderShare = isLeader ? writeShares.leader : 0;
    const share = writeShares.even / sharing + writeShares.byMachines * machineShare + leaderShare;
    const rate = this.settings.state.writeRps * Math.min(1, share * this.adaptiveShare.factor);
    this.writes.setRate(rate, this.writeBurst);
    this.intakeWrites.setRate(rate * writeShares.maxForIntake, this.writeBurst);
  }
}
