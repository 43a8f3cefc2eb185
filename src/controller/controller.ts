import { randomUUID } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { type Clock, sleep, steadyClock } from '../base/clock.js';
import { ConnectionLoad } from '../base/connection-load.js';
import type { Log } from '../base/log.js';
import { runRoutine } from '../base/routine.js';
import { type RequestHandler, serveWeb } from '../base/web.js';
import { BlockAllocator } from '../blocks/block-allocator.js';
import { BlockRegistry } from '../blocks/block-registry.js';
import { OwnedBlocks } from '../blocks/owned-blocks.js';
import { InitialDispatcher } from '../blocks/initial-dispatcher.js';
import { BootedMachines } from '../blocks/booted-machines.js';
import { CloudClient } from '../cloud/client.js';
import { Cancellations } from '../intake/cancellations.js';
import { Cascade } from '../dependencies/cascade.js';
import { EndReader } from '../intake/end-reader.js';
import { Intake } from '../intake/intake.js';
import { Autoscaler } from '../ladder/autoscaler.js';
import {
  type HeartbeatAnswerFacts,
  answerHeartbeatsUntil,
  answeringSpanMs,
  peerHasStoreAfterLeaseExpiry,
} from '../leadership/heartbeat-answering.js';
import { Election } from '../leadership/election.js';
import { Membership } from '../leadership/membership.js';
import type { Term } from '../leadership/term.js';
import type { MachineType } from '../model/types.js';
import { PeerLinks, splitAddress } from '../peers/peer-links.js';
import { JobIndex } from '../placement/job-index.js';
import { QueueOrder } from '../placement/queue-order.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Settings } from '../settings/settings.js';
import { type TrafficClass, StoreClient } from '../store/client.js';
import { CommitQueue } from '../store/commit-queue.js';
import { Mirror } from '../store/mirror.js';
import { outcomeRecord, parseOutcome } from '../wire/job-records.js';
import { outcomeKey, jobOfOutcomeKey, leaderKey } from '../wire/keys.js';
import type { PeerStatus } from '../wire/peer-status.js';
import { HealthMonitor } from '../workers/health-monitor.js';
import { HeartbeatHandler } from '../workers/heartbeat-handler.js';

const storeProbeIntervalMs = 400;
const machineTypesRefreshMs = 30_000;
const machineTypesRetryMs = 1000;
/** Bounds of the stages, as multiples of the operations that one transaction can hold. */
const stageCapacityTransactions = { duty: 4, lead: 4, writes: 4, confirms: 8 };
const requestSocketsRatio = 0.8;
/** One turn of the event loop serves reports for this part of a report interval, before it looks at other sockets. */
const heartbeatTurnBudgetRatio = 1 / 80;
/** A connection that has been idle for so many leases is closed: users and workers alike speak several times in one. */
const idleTimeoutLeases = 2;
/**
 * An objective shorter than so many report intervals orders nothing: what has just come would always go before what has
 * waited for a moment, and in a burst nearly everything would wait for its end.
 */
const minObjectiveHeartbeats = 4;
/** Without the store for this part of a grant's life, a controller sends users to those that have it. */
const servingContactAgeDivisor = 3;
/** Older knowledge than so many report intervals starts nothing. */
const maxStartKnowledgeAgeHeartbeats = 2;
/** A watch that has brought nothing of what others have seen for so long is lost; a slow one takes less than that. */
const watchPatienceHeartbeats = 1.5;
/** A job is said to wait for others only on knowledge that is younger than this part of the time for a cancellation. */
const cancellationKnowledgeAgeRatio = 1 / 4;
/** How long the peers are told of machines that have come up, or are proven gone. */
const machineNewsMs = 20_000;

interface SharedPorts {
  clock: Clock;
  wallClock: () => number;
  log: Log;
  settings: Settings;
  operator: OperatorSettings;
  incarnation: string;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  store: StoreClient;
  mirror: Mirror;
  jobIndex: JobIndex;
  registry: BlockRegistry;
  cloud: CloudClient;
  /** Everything that is not a user's commits. */
  commits: CommitQueue;
  order: QueueOrder;
  /** The store has answered us within the life of a grant: what we were entitled to, we may still be. */
  isStoreReachable: () => boolean;
}

/** Wires the slices of one controller together. */
export class Controller {
  private readonly clock = steadyClock;
  private readonly incarnation = randomUUID();
  private readonly answeringSpanMs: number;
  private readonly machineTypes = new Map<string, MachineType>();
  /** What most slices need; a term adds itself for what only a leader runs. */
  private readonly sharedPorts: SharedPorts;
  private readonly stages: Record<TrafficClass | 'lead', CommitQueue>;
  private readonly store: StoreClient;
  private readonly mirror: Mirror;
  private readonly jobIndex: JobIndex;
  private readonly registry: BlockRegistry;
  private readonly cloud: CloudClient;
  private readonly leases: OwnedBlocks;
  private readonly membership: Membership;
  private readonly election: Election;
  private readonly peers: PeerLinks;
  private readonly intake: Intake;
  private readonly cascade: Cascade;
  private fleet: Autoscaler | undefined;
  private readonly upMachines: BootedMachines;
  private storeUseLoggedAt = -Infinity;

  constructor(
    private readonly settings: Settings,
    private readonly operator: OperatorSettings,
    private readonly log: Log,
    private readonly signal: AbortSignal,
  ) {
    const { clock, incarnation } = this;
    this.answeringSpanMs = answeringSpanMs(settings);
    // Every call in flight listens on it, and there may be many.
    setMaxListeners(0, signal);
    const store = new StoreClient(settings, clock, signal);
    const mirror = new Mirror(store, store.watchGapMs, storeProbeIntervalMs);
    const cancellations = new Cancellations(() => mirror.initialRevision);
    const jobIndex = new JobIndex(clock, (id) => mirror.outcomeOf(id));
    const ends = new EndReader({ store, mirror });
    const labels = [settings.label, ...settings.peers.map((peer) => peer.label)];
    const registry = new BlockRegistry(mirror, labels);
    const cloud = new CloudClient(settings, clock, signal);
    const stage = (lane: TrafficClass, transactions: number): CommitQueue =>
      new CommitQueue(store, lane, settings, signal, transactions * settings.state.txnOps);
    this.stages = {
      duty: stage('duty', stageCapacityTransactions.duty),
      // What all blocks wait for does not queue behind the pages of one.
      lead: stage('duty', stageCapacityTransactions.lead),
      intake: stage('intake', stageCapacityTransactions.writes),
      confirm: stage('confirm', stageCapacityTransactions.confirms),
    };
    const commits = this.stages.duty;
    const types = (): ReadonlyMap<string, MachineType> => this.machineTypes;
    const shared = {
      clock,
      wallClock: Date.now,
      log,
      settings,
      operator,
      incarnation,
      machineTypes: types,
      store,
      mirror,
      jobIndex,
      registry,
      cloud,
      commits,
      isStoreReachable: () => !store.failing && store.contactAgeMs(clock()) < this.membership.leaseTtlMs,
      order: new QueueOrder(settings.objectives, settings.heartbeatIntervalMs * minObjectiveHeartbeats),
    };
    this.sharedPorts = shared;
    // Only others can keep the workers' tasks then: they are leased our blocks as soon as our grant is gone.
    const onUnheard = (): void => this.membership.resign(settings.cancelDeadlineMs);
    this.leases = new OwnedBlocks({
      ...shared,
      signal,
      createHealthMonitor: (block) => new HealthMonitor({ ...shared, ...block, onNoHeartbeats: onUnheard }),
    });
    this.membership = new Membership(shared);
    const generator = xoroshiro128plus(Number.parseInt(incarnation.slice(0, 8), 16));
    this.election = new Election({
      ...shared,
      membership: this.membership,
      random: () => uniformFloat64(generator),
      onElected: (term) => this.runLeaderDuties(term),
    });
    this.cascade = new Cascade({
      ...shared,
      isLeading: () => this.election.term !== undefined,
      readEnd: (id) => ends.read(id),
    });
    this.upMachines = new BootedMachines({
      wallClock: Date.now,
      machineTypes: types,
      leasedMachines: () => registry.leasedMachines(),
    });
    const jobHome = new InitialDispatcher({
      ...shared,
      bootedMachines: this.upMachines,
      ownBlocks: () => new Set(this.leases.blockStates().map(({ block }) => block)),
      leader: () => this.election.leader,
    });
    this.intake = new Intake({
      ...shared,
      ends,
      cascade: this.cascade,
      supportsDependencies: () => registry.isClusterUpgraded,
      knowsCancellations: () =>
        clock() - this.changesKnownUntil < settings.cancelDeadlineMs * cancellationKnowledgeAgeRatio,
      writes: this.stages.intake,
      confirms: this.stages.confirm,
      isUp: () => this.isServing(),
      home: (spec) => jobHome.initialRanges(spec),
    });
    this.peers = new PeerLinks({
      clock,
      log,
      settings,
      incarnation,
      storeRevision: () => mirror.revision,
      localStatus: () => ({
        storeContactAgeMs: store.contactAgeMs(clock()),
        fencingToken: this.election.term?.fencingToken ?? 0,
        terminatedMachines: this.leases
          .blockStates()
          .flatMap((blockState) => blockState.machinesTerminatedSince(clock() - machineNewsMs)),
        bootedMachines: this.leases
          .blockStates()
          .flatMap((blockState) => blockState.machinesUpSince(clock() - machineNewsMs)),
      }),
      cancellationsSince: (revision) => cancellations.since(revision),
      onStatus: (status) => this.applyPeerStatus(status),
    });
    this.store = store;
    this.mirror = mirror;
    this.jobIndex = jobIndex;
    this.registry = registry;
    this.cloud = cloud;
    let loaded = false;
    mirror.listen((changes) => {
      for (const change of changes) {
        const id = jobOfOutcomeKey(change.key);
        if (id !== undefined && parseOutcome(change.value)?.outcome === 'cancelled')
          cancellations.learn(id, change.version);
      }
      if (loaded) jobIndex.applyChanges(changes);
      else jobIndex.load(mirror);
      loaded = true;
      this.leases.applyChanges(changes);
    });
  }

  async run(): Promise<void> {
    const { settings, log, clock, signal, mirror } = this;
    const load = new ConnectionLoad(Math.floor(settings.quota.sockets * requestSocketsRatio));
    const reportHandler = new HeartbeatHandler({
      areConnectionsScarce: () => load.isCrowded,
      clock,
      label: settings.label,
      leases: this.leases,
      registry: this.registry,
      leader: () => this.election.leader,
      mayStartTasks: () => this.mayStartTasks(),
      mayRespondToWorkers: () => this.mayAnswerHeartbeats(),
      heartbeatIntervalMs: settings.heartbeatIntervalMs,
      maxCommitWaitMs: settings.heartbeatIntervalMs / 4,
    });
    const lean = [reportHandler.route, this.intake.health];
    const loadHandler = async (): Promise<RequestHandler> => {
      const { createUserHandler } = await import('../base/user-handler.js');
      return createUserHandler(this.intake.routes, lean, log);
    };
    const listen = {
      ...splitAddress(settings.serveOn),
      lean,
      loadHandler,
      log,
      clock,
      load,
      idleMs: settings.workerLeaseMs * idleTimeoutLeases,
      sliceMs: settings.heartbeatIntervalMs * heartbeatTurnBudgetRatio,
    };
    log.info({ event: 'start', boot: this.incarnation, zone: settings.zone }, 'starting');
    await Promise.all([
      runRoutine('web', signal, log, (s) => serveWeb(listen, s)),
      runRoutine('mirror', signal, log, (s) => mirror.follow(s), storeProbeIntervalMs),
      runRoutine('machine-types', signal, log, (s) => this.refreshMachineTypes(s), machineTypesRetryMs),
      runRoutine('store-contact', signal, log, (s) => this.keepStoreContact(s), storeProbeIntervalMs),
      runRoutine('membership', signal, log, (s) => this.membership.run(s), storeProbeIntervalMs),
      runRoutine('election', signal, log, (s) => this.election.run(s)),
      runRoutine('cascade', signal, log, (s) => this.cascade.run(s), storeProbeIntervalMs),
      this.peers.run(signal),
    ]);
  }

  /** Everything that only a leader does, for as long as its term lasts. */
  private async runLeaderDuties(term: Term): Promise<void> {
    const { operator, log, mirror, registry } = this;
    // The copy must hold all that earlier leaders committed.
    while (!term.signal.aborted && mirror.revision < term.fencingToken) await sleep(20, term.signal);
    if (term.signal.aborted) return;
    const shared = { ...this.sharedPorts, commits: this.stages.lead, term };
    const fleet = new Autoscaler({
      ...shared,
      isFirstTerm: registry.blocks().size === 0,
      leasedMachines: () => registry.leasedMachines(),
    });
    const allocator = new BlockAllocator({
      ...shared,
      fleet,
      quotaSharePeriodMs: operator.blocks.quotaSharePeriodS * 1000,
      lookahead: operator.blocks.lookahead,
      isBooted: (machine) => this.upMachines.isBooted(machine),
    });
    this.fleet = fleet;
    try {
      await Promise.all([
        runRoutine('block-allocator', term.signal, log, () => allocator.run()),
        fleet.run(),
      ]);
    } finally {
      this.fleet = undefined;
    }
  }

  private applyPeerStatus(status: PeerStatus): void {
    this.upMachines.markBooted(status.bootedMachines);
    this.fleet?.markTerminated(status.terminatedMachines);
    const { term } = this.election;
    if (term && status.fencingToken > term.fencingToken) term.end(`${status.from} leads with a higher token`);
    for (const [id, version] of status.cancelled) {
      this.mirror.recordOutcome(outcomeKey(id), {
        value: outcomeRecord({ outcome: 'cancelled', tasks: 0 }),
        version,
      });
    }
  }

  /** Without the store we cannot know whom users were told is cancelled, so leases must run out in time. */
  private mayAnswerHeartbeats(): boolean {
    const { leaseTtlMs } = this.membership;
    const now = this.clock();
    const { lastContactAt } = this.store;
    // The usual case, asked for with every report: no word of any peer could shorten this.
    if (now <= this.changesKnownUntil + this.answeringSpanMs && now - lastContactAt <= leaseTtlMs)
      return true;
    const { cancelDeadlineMs, workerLeaseMs, heartbeatIntervalMs, peers } = this.settings;
    const facts: HeartbeatAnswerFacts = {
      now,
      changesKnownUntil: this.changesKnownUntil,
      lastStoreContactAt: lastContactAt,
      cancelDeadlineMs: cancelDeadlineMs,
      workerLeaseMs: workerLeaseMs,
      heartbeatIntervalMs: heartbeatIntervalMs,
      peers: peers.map((peer) => this.peers.lastStatus(peer.label)),
    };
    return now <= answerHeartbeatsUntil(facts) && !peerHasStoreAfterLeaseExpiry(facts, leaseTtlMs);
  }

  /** The knowledge horizon: every change of the store before this moment is in our copy. */
  private get changesKnownUntil(): number {
    return this.store.knownUntil(this.mirror.revision);
  }

  /** Nothing is started on knowledge that is older than a few reports: what it is for may be over. */
  private mayStartTasks(): boolean {
    return (
      !this.store.failing &&
      this.clock() - this.changesKnownUntil <
        this.settings.heartbeatIntervalMs * maxStartKnowledgeAgeHeartbeats
    );
  }

  /**
   * A controller that alone has lost the store sends users elsewhere. Where all have lost it there is no better
   * place, and turning unhealthy together would cost users their connections.
   */
  private isServing(): boolean {
    if (!this.mirror.ready || this.machineTypes.size === 0) return false;
    const limit = this.membership.leaseTtlMs / servingContactAgeDivisor;
    if (this.store.contactAgeMs(this.clock()) < limit) return true;
    return this.settings.peers.every(
      (peer) => (this.peers.lastStatus(peer.label)?.storeContactAgeMs ?? Infinity) >= limit,
    );
  }

  private updateStoreShare(): void {
    const { registry, settings, store, election } = this;
    const alive = Math.max(1, registry.liveMembers().length);
    let own = 0;
    let all = 0;
    for (const { owner, machines } of registry.blocks().values()) {
      all += machines.length;
      if (owner === settings.label) own += machines.length;
    }
    store.setRole({ leading: election.term !== undefined, alive, machines: all > 0 ? own / all : 1 / alive });
  }

  /** For the people on call: what the changes of the state service are spent on, once a period. */
  private logStoreUse(): void {
    const { log, clock, operator, store, jobIndex } = this;
    if (clock() - this.storeUseLoggedAt < operator.ladder.periodS * 1000) return;
    this.storeUseLoggedAt = clock();
    log.info({ event: 'store', ...store.takeChangeCounts() }, 'changes of the state service');
    const { duty, lead, intake, confirm } = this.stages;
    const queued = {
      duty: duty.writableLength,
      lead: lead.writableLength,
      intake: intake.writableLength,
      confirm: confirm.writableLength,
    };
    const heapMb = Math.round(process.memoryUsage().heapUsed / 2 ** 20);
    log.info({ event: 'load', heapMb, queued, open: jobIndex.jobs.size }, 'memory and queues');
  }

  private async refreshMachineTypes(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const type of await this.cloud.machineTypes()) this.machineTypes.set(type.name, type);
      await sleep(machineTypesRefreshMs, signal);
    }
  }

  /**
   * Asks the store something cheap when nothing else has lately, so that its silence is noticed and we know how recent our
   * copy is: a comparison names the store's revision whether or not anything has changed.
   */
  private async keepStoreContact(signal: AbortSignal): Promise<void> {
    const { store, mirror } = this;
    let watchRenewedAt = this.clock();
    while (!signal.aborted) {
      if (store.failing || this.clock() - store.lastRevisionSeenAt > storeProbeIntervalMs * 2) {
        await store.commit('duty', [{ key: leaderKey, version: mirror.version(leaderKey) }], []);
      }
      // Others are answered and the watch brings nothing: it is lost, or waits as in an outage.
      const lateMs = store.lastRevisionSeenAt - this.changesKnownUntil;
      const patienceMs = this.settings.heartbeatIntervalMs * watchPatienceHeartbeats;
      if (mirror.ready && lateMs > patienceMs && this.clock() - watchRenewedAt > patienceMs) {
        watchRenewedAt = this.clock();
        store.restartWatch();
      }
      this.leases.applyChanges([]);
      // What peers are told, our own leader has to hear as well.
      for (const blockState of this.leases.blockStates()) {
        this.upMachines.markBooted(blockState.machinesUpSince(this.clock() - machineNewsMs));
        this.fleet?.markTerminated(blockState.machinesTerminatedSince(this.clock() - machineNewsMs));
      }
      this.updateStoreShare();
      this.logStoreUse();
      await sleep(storeProbeIntervalMs, signal);
    }
  }
}
