/**
 * The leader's autoscaler: evaluates the machines and the demand of each pool periodically, and scales the
 * pool out or in. A pool contains the machines of one type and kind (spot or ordinary). Its ladder sets, for
 * each machine number m, the demand at which machine m of the pool is rented.
 */
import { type Clock, sleep } from '../base/clock.js';
import { nextEventLoopIteration } from '../base/event-loop.js';
import type { Log } from '../base/log.js';
import { runRoutine } from '../base/routine.js';
import type { CloudClient } from '../cloud/client.js';
import type { Term } from '../leadership/term.js';
import type { MachineType } from '../model/types.js';
import type { JobIndex } from '../placement/job-index.js';
import type { QueueOrder } from '../placement/queue-order.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Settings } from '../settings/settings.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { StoreReplica } from '../store/store-replica.js';
import type { LeasedMachine } from '../wire/block-records.js';
import { countDemand } from './demand.js';
import { DrainedMachineReleaser } from './drained-machine-releaser.js';
import { FailureObserver } from './failure-observer.js';
import { MachineInventory } from './machine-inventory.js';
import { MachineListPoller } from './machine-list-poller.js';
import { PoolLadders } from './pool-ladders.js';
import { PoolLog } from './pool-log.js';
import { buildPools, type Pool, poolKey } from './pools.js';
import { machinesToDrain } from './scale-in.js';
import { ScaleOut } from './scale-out.js';
import { ScaleInWindow, ScaleOutWindow } from './scaling-windows.js';

/** The parts of the controller that the autoscaler and its components use. */
export interface AutoscalerPorts {
  clock: Clock;
  wallClock: () => number;
  log: Log;
  settings: Pick<Settings, 'heartbeatIntervalMs' | 'cloud' | 'state' | 'teams' | 'objectives'>;
  operator: Pick<OperatorSettings, 'ladder'>;
  cloud: Pick<CloudClient, 'listMachines' | 'rent' | 'release'>;
  jobIndex: JobIndex;
  order: QueueOrder;
  replica: Pick<StoreReplica, 'get'>;
  commits: Pick<CommitQueue, 'commit'>;
  term: Pick<Term, 'signal' | 'fencingToken' | 'startedAt'>;
  /**
   * True if no leader has been elected before. The machine list then cannot lack machines that an earlier
   * leader rented.
   */
  isFirstTerm: boolean;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /** Whether the store has answered recently. If it has not, the term may already be over. */
  isStoreReachable: () => boolean;
  /** Returns the machines of all blocks as recorded in the store, by id. */
  leasedMachines: () => ReadonlyMap<string, LeasedMachine>;
}

/** Evaluations per heartbeat interval. The demand mainly changes when heartbeats arrive. */
const evaluationsPerHeartbeat = 2;
const minEvaluationIntervalMs = 1000;
/** Minimum time between two requests for the machine list, in evaluation intervals. */
const evaluationsPerList = 2;
/** Checks for drained machines that can be released, per evaluation interval. */
const releaseChecksPerEvaluation = 2;

/** Scales each pool out and in according to the thresholds of its ladder, until the term ends. */
export class Autoscaler {
  /** All machines that this leader has rented, found in the machine list or read from the store. */
  readonly inventory: MachineInventory;
  private pools = new Map<string, Pool>();
  private readonly ladders: PoolLadders;
  private readonly scaleOut: ScaleOut;
  private readonly scaleInWindow = new ScaleInWindow();
  private readonly scaleOutWindow: ScaleOutWindow;
  private readonly failureObserver: FailureObserver;
  private readonly poolLog: PoolLog;
  private readonly evaluationIntervalMs: number;

  constructor(private readonly ports: AutoscalerPorts) {
    const { heartbeatIntervalMs } = ports.settings;
    this.evaluationIntervalMs = Math.max(
      minEvaluationIntervalMs,
      heartbeatIntervalMs / evaluationsPerHeartbeat,
    );
    this.inventory = new MachineInventory(ports);
    this.ladders = new PoolLadders(ports);
    this.scaleOut = new ScaleOut(ports, this.inventory);
    this.scaleOutWindow = new ScaleOutWindow(ports.operator.ladder.slotShare);
    this.failureObserver = new FailureObserver(heartbeatIntervalMs);
    this.poolLog = new PoolLog(ports);
  }

  /** Runs until the term ends. */
  async run(): Promise<void> {
    const { term, log } = this.ports;
    const listIntervalMs = this.evaluationIntervalMs * evaluationsPerList;
    const releaseIntervalMs = this.evaluationIntervalMs / releaseChecksPerEvaluation;
    const poller = new MachineListPoller(this.ports, this.inventory, listIntervalMs);
    const releaser = new DrainedMachineReleaser(this.ports, this.inventory, releaseIntervalMs);
    await Promise.all([
      runRoutine('machine-list', term.signal, log, () => poller.run()),
      runRoutine('autoscaling', term.signal, log, () => this.evaluateRepeatedly()),
      runRoutine('machine-release', term.signal, log, () => releaser.run()),
    ]);
  }

  /**
   * Returns the number of slots of the tasks that wait in the block and count for the pool of the machine, as
   * of the latest evaluation.
   */
  waitingSlots(block: number, machine: LeasedMachine): number {
    const pool = this.pools.get(poolKey(machine.type, machine.spot));
    return pool?.waitingSlotsByBlock.get(block) ?? 0;
  }

  private async evaluateRepeatedly(): Promise<void> {
    const { term, machineTypes, isStoreReachable } = this.ports;
    while (!term.signal.aborted) {
      if (this.isListComplete() && machineTypes().size > 0 && isStoreReachable()) await this.evaluate();
      await sleep(this.evaluationIntervalMs, term.signal);
    }
  }

  /**
   * Whether the machine list includes all machines that the previous leader rented. Rented machines may
   * appear on the list only after the list lag. If this leader rented machines before that, it could rent
   * machines a second time for the same demand.
   */
  private isListComplete(): boolean {
    const { term, clock, settings, isFirstTerm } = this.ports;
    const listLagMs = isFirstTerm ? 0 : settings.cloud.listLagMs;
    return clock() - term.startedAt > listLagMs && this.inventory.lastListAt > term.startedAt;
  }

  /**
   * Evaluates all pools once. Yields to the event loop between long steps so that requests are served during
   * an evaluation.
   */
  private async evaluate(): Promise<void> {
    const { clock, jobIndex } = this.ports;
    const now = clock();
    const machines = this.inventory.currentMachines();
    this.inventory.removeAssigned();
    const pools = this.buildPools(machines, now);
    await nextEventLoopIteration();
    this.countDemand(pools, machines);
    await nextEventLoopIteration();
    this.pools = pools;
    this.poolLog.write(pools.values(), now);
    const samples = this.failureObserver.observe({ jobIndex, pools, machines, now });
    for (const sample of samples) this.ladders.addSample(sample);
    await this.ladders.tune(pools.values(), now);
    for (const pool of pools.values()) await this.scale(pool, now);
  }

  private buildPools(machines: ReadonlyMap<string, LeasedMachine>, now: number): Map<string, Pool> {
    return buildPools(
      this.ports.machineTypes().values(),
      machines.values(),
      ({ id }) => this.inventory.isDraining(id),
      (type, spot) => this.scaleOut.isExhausted(type, spot, now),
    );
  }

  private countDemand(pools: ReadonlyMap<string, Pool>, machines: ReadonlyMap<string, LeasedMachine>): void {
    const { jobIndex, order, wallClock, settings, operator } = this.ports;
    countDemand({
      jobIndex,
      order,
      now: wallClock(),
      machines,
      pools,
      teams: settings.teams,
      slotShare: operator.ladder.slotShare,
    });
  }

  private async scale(pool: Pool, now: number): Promise<void> {
    const ladder = this.ladders.ladderOf(pool);
    const shortage = this.scaleOutWindow.machinesToAdd(pool, ladder, now);
    const surplus = this.scaleInWindow.machinesToRemove(pool, ladder, now);
    if (shortage > 0) await this.scaleOut.addMachines(pool, shortage);
    else if (surplus > 0) this.scaleIn(pool, surplus);
  }

  private scaleIn(pool: Pool, count: number): void {
    const { jobIndex, wallClock, operator } = this.ports;
    const state = {
      loads: jobIndex.machineLoads(),
      slotShare: operator.ladder.slotShare,
      now: wallClock(),
    };
    for (const { id } of machinesToDrain(pool, count, state)) this.inventory.drain(id);
  }
}
