import type { Clock } from '../base/clock.js';
import { sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { runRoutine } from '../base/routine.js';
import { nextTurn } from '../base/turns.js';
import { RecentNames } from '../base/recent-names.js';
import { type CloudClient, listLimit, releaseLimit, rentalLimit } from '../cloud/client.js';
import type { Term } from '../leadership/term.js';
import type { CloudMachine, MachineType } from '../model/types.js';
import type { JobIndex } from '../placement/job-index.js';
import type { QueueOrder } from '../placement/queue-order.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Settings } from '../settings/settings.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { Mirror } from '../store/mirror.js';
import type { LeasedMachine } from '../wire/block-records.js';
import { countDemand } from './demand.js';
import { buildPools, type Pool, poolKey } from './pools.js';
import { slotsOf } from './slots.js';
import { CapacityRefusals } from './capacity-refusals.js';
import { MissingMachineDetector } from './missing-machine-detector.js';
import { ScaleOutWindow, ScaleInWindow } from './scaling-windows.js';
import { PoolLadders } from './pool-ladders.js';
import { PoolLog } from './pool-log.js';
import { FailureObserver } from './failure-observer.js';

export interface AutoscalerPorts {
  clock: Clock;
  wallClock: () => number;
  log: Log;
  settings: Settings;
  operator: OperatorSettings;
  cloud: CloudClient;
  jobIndex: JobIndex;
  order: QueueOrder;
  mirror: Mirror;
  commits: CommitQueue;
  term: Term;
  /** There has been no leader before, so no rental of one is still to be listed. */
  isFirstTerm: boolean;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /** The store has lately answered us: without it the term may be over. */
  isStoreReachable: () => boolean;
  /** All machines of all blocks, as the store has them. */
  leasedMachines: () => ReadonlyMap<string, LeasedMachine>;
}

/** The ladder is looked at so often in a report interval: what it counts comes with reports. */
const evaluationsPerHeartbeat = 2;
const minTickMs = 1000;
/** A machine that is given back earlier is charged for this long all the same. */
const minimumChargeMs = 60_000;
/** Machines that are gone are remembered for so many times the list's lag, and for so long at least. */
const terminatedMemoryLags = 20;
const minTerminatedMemoryMs = 60_000;
/** The part of the calls to the cloud that lists of all machines may take. */
const listCallShare = 0.4;

/** The leader's renting and giving back, by the ladder of each pool. */
export class Autoscaler {
  /** Rented or found in the list, and in no block yet. */
  readonly unassigned = new Map<string, LeasedMachine>();
  /** Known to be gone; the list and the blocks may still name them for a while. */
  readonly terminated: RecentNames;
  /** On their way out: nothing more is to be placed on them. */
  readonly toDrain = new Set<string>();
  /** No longer listed: most likely taken by the cloud, which a release will prove. */
  readonly presumedTerminated = new Set<string>();
  /** A release of theirs is under way. */
  private readonly releasing = new Set<string>();
  private pools = new Map<string, Pool>();
  private readonly ladders: PoolLadders;
  private readonly scaleInWindow = new ScaleInWindow();
  private readonly scaleOutWindow: ScaleOutWindow;
  private readonly failureObserver: FailureObserver;
  private readonly tickMs: number;
  private readonly poolLog: PoolLog;
  private readonly refusals: CapacityRefusals;
  private readonly missingMachines: MissingMachineDetector;

  constructor(private readonly ports: AutoscalerPorts) {
    this.scaleOutWindow = new ScaleOutWindow(ports.operator.ladder.slotShare);
    this.failureObserver = new FailureObserver(ports.settings.heartbeatIntervalMs);
    this.tickMs = Math.max(minTickMs, ports.settings.heartbeatIntervalMs / evaluationsPerHeartbeat);
    this.ladders = new PoolLadders(ports);
    this.poolLog = new PoolLog(ports);
    const { listLagMs } = ports.settings.cloud;
    this.terminated = new RecentNames(
      ports.clock,
      Math.max(minTerminatedMemoryMs, listLagMs * terminatedMemoryLags),
    );
    this.missingMachines = new MissingMachineDetector(ports.settings.cloud.listLagMs);
    this.refusals = new CapacityRefusals(ports.settings.cloud.listLagMs * 2);
  }

  async run(): Promise<void> {
    const { term, log } = this.ports;
    await Promise.all([
      runRoutine('machine-list', term.signal, log, () => this.pollMachineList()),
      runRoutine('renting', term.signal, log, () => this.scaleRepeatedly()),
      runRoutine('giving-back', term.signal, log, () => this.releaseRepeatedly()),
    ]);
  }

  /** Slots that wait in a block for machines like this one. */
  waitingSlots(block: number, machine: LeasedMachine): number {
    return this.pools.get(poolKey(machine.type, machine.spot))?.waitingSlotsByBlock.get(block) ?? 0;
  }

  markTerminated(names: Iterable<string>): void {
    for (const id of names) {
      this.terminated.add(id);
      for (const ids of [this.toDrain, this.presumedTerminated, this.unassigned]) ids.delete(id);
    }
  }

  private async pollMachineList(): Promise<void> {
    const { cloud, settings, term } = this.ports;
    while (!term.signal.aborted) {
      const machines = await cloud.listMachines();
      this.applyMachineList(machines);
      const { rps, listLagMs } = settings.cloud;
      const pages = Math.ceil((machines.length + 1) / listLimit);
      const pacedMs = (pages * 1000) / (rps * listCallShare);
      await sleep(Math.max(this.tickMs * 2, listLagMs / 2, pacedMs), term.signal);
    }
  }

  private applyMachineList(machines: CloudMachine[]): void {
    const { clock, wallClock } = this.ports;
    const leased = this.ports.leasedMachines();
    const known = machines.filter(({ id }) => !this.terminated.has(id));
    for (const { id, type, zone, spot, ageS, state } of known) {
      this.presumedTerminated.delete(id);
      const machine = {
        id,
        fencingToken: 0,
        type,
        zone,
        spot,
        draining: false,
        rentedAt: wallClock() - ageS * 1000,
      };
      // Rented by an earlier leader, or by a request that was carried out late: it is used like any other.
      if (!leased.has(id) && !this.unassigned.has(id)) this.unassigned.set(id, machine);
      if (state === 'failed') this.presumedTerminated.add(id);
    }
    const expected = [...leased.keys()].filter((id) => !this.terminated.has(id));
    const listed = known.map(({ id }) => id);
    for (const id of this.missingMachines.recordList(clock(), listed, expected))
      if (!this.terminated.has(id)) this.presumedTerminated.add(id);
  }

  private async scaleRepeatedly(): Promise<void> {
    const { term, clock, settings, isFirstTerm } = this.ports;
    while (!term.signal.aborted) {
      // What the last leader rented takes a while to be listed; renting sooner would rent it twice.
      const patience = isFirstTerm ? 0 : settings.cloud.listLagMs;
      const informed =
        clock() - term.startedAt > patience && this.missingMachines.lastListAt > term.startedAt;
      if (informed && this.ports.machineTypes().size > 0 && this.ports.isStoreReachable())
        await this.evaluatePools();
      await sleep(this.tickMs, term.signal);
    }
  }

  private machines(): Map<string, LeasedMachine> {
    const machines = new Map([...this.ports.leasedMachines(), ...this.unassigned]);
    for (const id of machines.keys()) if (this.terminated.has(id)) machines.delete(id);
    return machines;
  }

  private async evaluatePools(): Promise<void> {
    const { machineTypes, settings, operator, clock, wallClock, jobIndex, order } = this.ports;
    const now = clock();
    const machines = this.machines();
    for (const id of this.unassigned.keys())
      if (this.ports.leasedMachines().has(id)) this.unassigned.delete(id);
    const pools = buildPools(
      machineTypes().values(),
      machines.values(),
      (machine) => this.toDrain.has(machine.id) || this.presumedTerminated.has(machine.id),
      (type, spot) => type.zones.every((zone) => this.refusals.isRefused(type.name, zone, spot, now)),
    );
    await nextTurn();
    countDemand({
      jobIndex,
      order,
      now: wallClock(),
      machines,
      pools,
      teams: settings.teams,
      slotShare: operator.ladder.slotShare,
    });
    await nextTurn();
    this.pools = pools;
    this.poolLog.write(pools.values(), now);
    const samples = this.failureObserver.observe({ jobIndex, pools, machines, now });
    for (const sample of samples) this.ladders.addSample(sample);
    await this.ladders.tune(pools.values(), now);
    for (const pool of pools.values()) {
      const ladder = this.ladders.ladderOf(pool);
      const lacking = this.scaleOutWindow.machinesToAdd(pool, ladder, now);
      const surplus = this.scaleInWindow.machinesToRemove(pool, ladder, now);
      if (lacking > 0) await this.scaleOut(pool, lacking);
      else this.scaleIn(pool, surplus);
    }
  }

  private async scaleOut(pool: Pool, count: number): Promise<void> {
    const { term } = this.ports;
    let missing = count;
    // A machine on its way out is the quickest to have back.
    const back = pool.draining.filter((m) => !this.presumedTerminated.has(m.id) && !this.releasing.has(m.id));
    for (const machine of back.slice(0, missing)) {
      this.toDrain.delete(machine.id);
      missing--;
    }
    for (const [zone, share] of this.machinesByZone(pool, missing)) {
      // One call rents only so many; a fleet that starts from nothing takes several for each zone.
      for (let left = share; left > 0 && !term.signal.aborted; left -= rentalLimit) {
        if (!(await this.scaleOutInZone(pool, zone, Math.min(left, rentalLimit)))) break;
      }
    }
  }

  /** True: got all that was asked for. */
  private async scaleOutInZone(pool: Pool, zone: string, asked: number): Promise<boolean> {
    const { clock, wallClock, cloud, log } = this.ports;
    const { name: type } = pool.type;
    const outcome = await cloud.rent(type, zone, pool.spot, asked);
    const rented = outcome.kind === 'rented' ? outcome.machines : [];
    for (const id of rented) {
      this.unassigned.set(id, {
        id,
        fencingToken: 0,
        type,
        zone,
        spot: pool.spot,
        draining: false,
        rentedAt: wallClock(),
      });
    }
    if (rented.length > 0) {
      this.refusals.clear(type, zone, pool.spot);
      const count = rented.length;
      log.info(
        { event: 'rented', pool: pool.key, zone, asked, count, first: rented[0], last: rented.at(-1) },
        'rented',
      );
    }
    // Nothing was rented where the cloud only asks us to slow down; the next step asks again.
    if (rented.length === asked || outcome.kind === 'busy') return rented.length === asked;
    this.refusals.recordRefusal(type, zone, pool.spot, clock());
    log.info({ event: 'rental-refused', pool: pool.key, zone, asked, why: outcome.kind }, 'capacity refused');
    return false;
  }

  /** Each machine in the zone with the fewest of its type, of those that have not just refused. */
  private machinesByZone(pool: Pool, count: number): Map<string, number> {
    const { clock } = this.ports;
    const open = pool.type.zones.filter(
      (z) => !this.refusals.isRefused(pool.type.name, z, pool.spot, clock()),
    );
    const inZone = new Map(pool.type.zones.map((zone) => [zone, 0]));
    for (const { zone } of pool.machines) inZone.set(zone, (inZone.get(zone) ?? 0) + 1);
    const shares = new Map<string, number>();
    for (let left = count; left > 0; left--) {
      const zone = open.sort((a, b) => (inZone.get(a) ?? 0) - (inZone.get(b) ?? 0) || (a < b ? -1 : 1))[0];
      if (zone === undefined) break;
      inZone.set(zone, (inZone.get(zone) ?? 0) + 1);
      shares.set(zone, (shares.get(zone) ?? 0) + 1);
    }
    return shares;
  }

  /** Empty machines if there are any, else the least loaded are drained. */
  private scaleIn(pool: Pool, count: number): void {
    if (count === 0) return;
    const { wallClock, jobIndex, operator } = this.ports;
    const loads = jobIndex.machineLoads();
    const loadOf = (machine: LeasedMachine): number => {
      const load = loads.get(machine.id);
      return load ? slotsOf(load, pool.type, operator.ladder.slotShare) : 0;
    };
    // Placement fills machines in order of name, so the last ones empty first.
    const least = pool.machines
      .filter((machine) => wallClock() - machine.rentedAt >= minimumChargeMs)
      .sort((a, b) => loadOf(a) - loadOf(b) || (a.id < b.id ? 1 : -1));
    for (const machine of least.slice(0, count)) this.toDrain.add(machine.id);
  }

  /**
   * Releases unwanted machines once they are empty. A block's owner places nothing on a machine that its record calls
   * leaving; what it had committed before that record is in the job index by the time the record is.
   */
  private async releaseRepeatedly(): Promise<void> {
    const { cloud, term, log, jobIndex } = this.ports;
    while (!term.signal.aborted) {
      await sleep(this.tickMs / 2, term.signal);
      if (!this.ports.isStoreReachable()) continue;
      const busy = jobIndex.machineLoads();
      const leased = this.ports.leasedMachines();
      const due = [...this.toDrain, ...this.presumedTerminated].filter((id) => {
        const record = leased.get(id);
        return !busy.has(id) && (record ? record.draining : true);
      });
      const batch = due.slice(0, releaseLimit);
      if (batch.length === 0) continue;
      for (const id of batch) this.releasing.add(id);
      const released = await cloud.release(batch);
      for (const id of batch) this.releasing.delete(id);
      if (!released) continue;
      this.markTerminated(batch);
      log.info({ event: 'given-back', count: batch.length, machines: batch }, 'given back');
    }
  }
}
