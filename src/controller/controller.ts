/** One controller of the cluster: creates its modules, connects them and runs them. */
import { randomUUID } from 'node:crypto';
import { setMaxListeners } from 'node:events';

import { monotonicClock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { RefusalLog } from '../base/refusals.js';
import { runRoutine } from '../base/routine.js';
import { BootedMachines } from '../blocks/booted-machines.js';
import type { OwnedBlocks } from '../blocks/owned-blocks.js';
import { CloudClient } from '../cloud/client.js';
import { CancellationCascade } from '../dependencies/cancellation-cascade.js';
import type { Intake } from '../intake/intake.js';
import { Election } from '../leadership/election.js';
import { controllerLeaseTtlMs, Membership } from '../leadership/membership.js';
import { PeerLinks } from '../peers/peer-links.js';
import { QueueOrder } from '../placement/queue-order.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Settings } from '../settings/settings.js';
import type { HeartbeatLog } from '../workers/heartbeat-log.js';
import { createOwnedBlocks } from './block-ownership.js';
import { queueLengths } from './commit-queues.js';
import { Housekeeping } from './housekeeping.js';
import type { HttpService } from './http-service.js';
import { LeaderDuties } from './leader-duties.js';
import { MachineEvents } from './machine-events.js';
import { MachineTypeCatalog } from './machine-type-catalog.js';
import { PeerStatusHandler } from './peer-status-handler.js';
import { seededRandom } from './random-source.js';
import { ReplicaChangeHandler } from './replica-change-handler.js';
import { StateAccess } from './state-access.js';
import { StoreContactMonitor, storeProbeIntervalMs } from './store-contact-monitor.js';
import { UsageLog } from './usage-log.js';
import { createIntake } from './user-service.js';
import { createHeartbeatLog, createHttpService } from './worker-service.js';

const machineTypesRetryMs = 1000;
/**
 * An objective limits, for example, how long jobs of a class may wait to start. If one objective of a job
 * leaves at most this number of heartbeat intervals to start the job, and another objective leaves more, the
 * queue order ignores the shorter objective. If the shorter objective counted, new jobs would always start
 * before jobs that have already waited for a moment. During a burst of submissions, nearly all jobs would
 * then wait until the end of the burst.
 */
const minObjectiveHeartbeats = 4;

/**
 * Composes one controller. Modules are connected only here: the constructor call of each module lists all its
 * dependencies.
 */
export class Controller {
  private readonly clock = monotonicClock;
  private readonly incarnation = randomUUID();
  private readonly leaseTtlMs: number;
  private readonly state: StateAccess;
  private readonly cloud: CloudClient;
  private readonly machineTypes: MachineTypeCatalog;
  private readonly order: QueueOrder;
  private readonly bootedMachines: BootedMachines;
  private readonly membership: Membership;
  private readonly refusalLog: RefusalLog;
  private readonly ownedBlocks: OwnedBlocks;
  private readonly machineEvents: MachineEvents;
  private readonly heartbeatLog: HeartbeatLog;
  private readonly leaderDuties: LeaderDuties;
  private readonly election: Election;
  private readonly cascade: CancellationCascade;
  private readonly peerLinks: PeerLinks;
  private readonly intake: Intake;
  private readonly httpService: HttpService;
  private readonly storeContactMonitor: StoreContactMonitor;

  /** When `signal` fires, the controller stops. */
  constructor(
    private readonly settings: Settings,
    private readonly operator: OperatorSettings,
    private readonly log: Log,
    private readonly signal: AbortSignal,
  ) {
    // Every request in flight adds a listener to the signal. Without this call, Node.js would warn of a
    // listener leak.
    setMaxListeners(0, signal);
    const { clock } = this;
    this.leaseTtlMs = controllerLeaseTtlMs(settings, operator);
    this.refusalLog = new RefusalLog(log, clock);
    const onRefusal = this.refusalLog.record;
    this.state = new StateAccess({ clock, settings, signal, onRefusal, leaseTtlMs: this.leaseTtlMs });
    this.cloud = new CloudClient({ settings, clock, signal, onRefusal });
    this.machineTypes = new MachineTypeCatalog(this.cloud);
    this.order = new QueueOrder(settings.objectives, settings.heartbeatIntervalMs * minObjectiveHeartbeats);
    this.bootedMachines = this.createBootedMachines();
    this.membership = this.createMembership();
    this.ownedBlocks = this.createOwnedBlocks();
    this.machineEvents = new MachineEvents(clock, () => this.ownedBlocks.blockStates());
    this.heartbeatLog = createHeartbeatLog({ clock, log, settings, state: this.state });
    this.leaderDuties = this.createLeaderDuties();
    this.election = this.createElection();
    this.cascade = this.createCascade();
    this.peerLinks = this.createPeerLinks();
    this.intake = this.createIntake();
    this.httpService = this.createHttpService();
    this.storeContactMonitor = this.createStoreContactMonitor();
    this.listenToReplica();
  }

  /**
   * Runs all modules until the signal fires. If a module throws, the error is logged and the module
   * restarted.
   */
  async run(): Promise<void> {
    const { settings, log, incarnation, clock } = this;
    const startedAt = clock();
    log.info({ event: 'start', incarnation, zone: settings.zone }, 'controller is starting');
    await Promise.all([
      this.keepRunning('web', (signal) => this.httpService.run(signal)),
      this.keepRunning('mirror', (signal) => this.state.replica.follow(signal), storeProbeIntervalMs),
      this.keepRunning('machine-types', (signal) => this.machineTypes.run(signal), machineTypesRetryMs),
      this.keepRunning(
        'store-contact',
        (signal) => this.storeContactMonitor.run(signal),
        storeProbeIntervalMs,
      ),
      this.keepRunning('membership', (signal) => this.membership.run(signal), storeProbeIntervalMs),
      this.keepRunning('election', (signal) => this.election.run(signal)),
      this.keepRunning('cascade', (signal) => this.cascade.run(signal), storeProbeIntervalMs),
      this.peerLinks.run(this.signal),
    ]);
    log.info({ event: 'stop', incarnation, ranForMs: clock() - startedAt }, 'controller was told to stop');
  }

  private keepRunning(
    name: string,
    duty: (signal: AbortSignal) => Promise<void>,
    pauseMs?: number,
  ): Promise<void> {
    return runRoutine(name, this.signal, this.log, duty, pauseMs);
  }

  private createBootedMachines(): BootedMachines {
    return new BootedMachines({
      wallClock: Date.now,
      machineTypes: () => this.machineTypes.types,
      leasedMachines: () => this.state.registry.leasedMachines(),
    });
  }

  private createMembership(): Membership {
    return new Membership({
      clock: this.clock,
      log: this.log,
      store: this.state.store,
      commits: this.state.commitQueues.duty,
      replica: this.state.replica,
      label: this.settings.label,
      zone: this.settings.zone,
      incarnation: this.incarnation,
      leaseTtlMs: this.leaseTtlMs,
    });
  }

  private createOwnedBlocks(): OwnedBlocks {
    return createOwnedBlocks({
      clock: this.clock,
      log: this.log,
      settings: this.settings,
      operator: this.operator,
      incarnation: this.incarnation,
      signal: this.signal,
      state: this.state,
      cloud: this.cloud,
      order: this.order,
      machineTypes: this.machineTypes,
      membership: this.membership,
      lastPeerStatus: (label) => this.peerLinks.lastStatus(label),
      leaseTtlMs: this.leaseTtlMs,
    });
  }

  private createLeaderDuties(): LeaderDuties {
    return new LeaderDuties({
      clock: this.clock,
      wallClock: Date.now,
      log: this.log,
      settings: this.settings,
      operator: this.operator,
      incarnation: this.incarnation,
      store: this.state.store,
      replica: this.state.replica,
      commits: this.state.commitQueues.leader,
      cloud: this.cloud,
      registry: this.state.registry,
      jobIndex: this.state.jobIndex,
      order: this.order,
      bootedMachines: this.bootedMachines,
      machineTypes: () => this.machineTypes.types,
      isStoreReachable: () => this.state.replicaFreshness.isStoreReachable(),
    });
  }

  private createElection(): Election {
    return new Election({
      clock: this.clock,
      log: this.log,
      store: this.state.store,
      commits: this.state.commitQueues.duty,
      replica: this.state.replica,
      membership: this.membership,
      label: this.settings.label,
      incarnation: this.incarnation,
      random: seededRandom(this.incarnation),
      onElected: (term) => this.leaderDuties.run(term),
    });
  }

  private createCascade(): CancellationCascade {
    return new CancellationCascade({
      clock: this.clock,
      wallClock: Date.now,
      log: this.log,
      settings: this.settings,
      store: this.state.store,
      replica: this.state.replica,
      jobIndex: this.state.jobIndex,
      commits: this.state.commitQueues.duty,
      isLeading: () => this.election.term !== undefined,
      readOutcome: (id) => this.state.outcomeReader.read(id),
    });
  }

  private createPeerLinks(): PeerLinks {
    const statusHandler = new PeerStatusHandler({
      bootedMachines: this.bootedMachines,
      leaderDuties: this.leaderDuties,
      term: () => this.election.term,
      replica: this.state.replica,
    });
    return new PeerLinks({
      clock: this.clock,
      log: this.log,
      settings: this.settings,
      incarnation: this.incarnation,
      storeRevision: () => this.state.replica.revision,
      localStatus: () => ({
        storeContactAgeMs: this.state.store.contactAgeMs(this.clock()),
        fencingToken: this.election.term?.fencingToken ?? 0,
        terminatedMachines: this.machineEvents.terminated(),
        bootedMachines: this.machineEvents.booted(),
      }),
      cancellationsSince: (revision) => this.state.cancellations.listSince(revision),
      onStatus: (status) => statusHandler.apply(status),
      onRefusal: this.refusalLog.record,
    });
  }

  private createIntake(): Intake {
    return createIntake({
      clock: this.clock,
      settings: this.settings,
      state: this.state,
      machineTypes: this.machineTypes,
      bootedMachines: this.bootedMachines,
      ownedBlocks: this.ownedBlocks,
      election: this.election,
      cascade: this.cascade,
      peerLinks: this.peerLinks,
      leaseTtlMs: this.leaseTtlMs,
    });
  }

  private createHttpService(): HttpService {
    return createHttpService({
      clock: this.clock,
      log: this.log,
      settings: this.settings,
      state: this.state,
      onRefusal: this.refusalLog.record,
      heartbeatLog: this.heartbeatLog,
      intake: this.intake,
      ownedBlocks: this.ownedBlocks,
      election: this.election,
      peerLinks: this.peerLinks,
      leaseTtlMs: this.leaseTtlMs,
    });
  }

  private createStoreContactMonitor(): StoreContactMonitor {
    const housekeeping = this.createHousekeeping();
    return new StoreContactMonitor({
      clock: this.clock,
      store: this.state.store,
      replica: this.state.replica,
      changesKnownUntil: () => this.state.replicaFreshness.changesKnownUntil,
      heartbeatIntervalMs: this.settings.heartbeatIntervalMs,
      onChecked: () => housekeeping.runOnce(),
    });
  }

  private createHousekeeping(): Housekeeping {
    const usageLog = new UsageLog({
      clock: this.clock,
      log: this.log,
      store: this.state.store,
      queueLengths: () => queueLengths(this.state.commitQueues),
      openJobs: () => this.state.jobIndex.jobs.size,
      takeHeartbeatCounts: () => this.heartbeatLog.takeCounts(),
      periodMs: this.operator.ladder.adjustmentPeriodS * 1000,
    });
    return new Housekeeping({
      label: this.settings.label,
      ownedBlocks: this.ownedBlocks,
      machineEvents: this.machineEvents,
      bootedMachines: this.bootedMachines,
      leaderDuties: this.leaderDuties,
      registry: this.state.registry,
      store: this.state.store,
      isLeading: () => this.election.term !== undefined,
      usageLog,
    });
  }

  private listenToReplica(): void {
    const changeHandler = new ReplicaChangeHandler({
      replica: this.state.replica,
      cancellations: this.state.cancellations,
      jobIndex: this.state.jobIndex,
      ownedBlocks: this.ownedBlocks,
    });
    this.state.replica.listen((changes) => changeHandler.apply(changes));
  }
}
