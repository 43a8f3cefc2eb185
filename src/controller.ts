import { randomUUID } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { type Clock, sleep, steadyClock } from './base/clock.js';
import { ConnectionLoad } from './base/connection-load.js';
import type { Log } from './base/log.js';
import { runRoutine } from './base/routine.js';
import { type RequestHandler, serveWeb } from './base/web.js';
import { BlockAllocator } from './blocks/block-allocator.js';
import { Registry } from './blocks/registry.js';
import { BlockLeases } from './blocks/block-leases.js';
import { JobHome } from './blocks/job-home.js';
import { UpMachines } from './blocks/up-machines.js';
import { CloudClient } from './cloud/client.js';
import { Cancellations } from './intake/cancellations.js';
import { Cascade } from './dependencies/cascade.js';
import { EndReader } from './intake/end-reader.js';
import { Intake } from './intake/intake.js';
import { Fleet } from './ladder/fleet.js';
import { type AnsweringFacts, answerUntil, answeringSpan, peerIsServed } from './leadership/answering.js';
import { Election } from './leadership/election.js';
import { Membership } from './leadership/membership.js';
import type { Term } from './leadership/term.js';
import type { MachineType } from './model/types.js';
import { PeerLinks, splitAddress } from './peers/links.js';
import { JobIndex } from './placement/job-index.js';
import { OrderOfWork } from './placement/order.js';
import type { OperatorSettings } from './settings/operator.js';
import type { Settings } from './settings/settings.js';
import { type TrafficClass, StoreClient } from './store/client.js';
import { CommitQueue } from './store/commit-stage.js';
import { Mirror } from './store/mirror.js';
import { endRecord, parseEnd } from './wire/job-records.js';
import { endKey, endedJob, leadKey } from './wire/keys.js';
import type { PeerStatus } from './wire/peer-status.js';
import { ReportHandler } from './workers/report-handler.js';

const probeMs = 400;
const typesEveryMs = 30_000;
const typesRetryMs = 1000;
/** Bounds of the stages, as multiples of the operations that one transaction can hold. */
const stageTransactions = { duty: 4, lead: 4, writes: 4, confirms: 8 };
const socketShare = 0.8;
/** One turn of the event loop serves reports for this part of a report interval, before it looks at other sockets. */
const sliceReports = 1 / 80;
/** A connection that has been idle for so many leases is closed: users and workers alike speak several times in one. */
const idleLeases = 2;
/**
 * An objective shorter than so many report intervals orders nothing: what has just come would always go before what has
 * waited for a moment, and in a burst nearly everything would wait for its end.
 */
const tellingReports = 4;
/** Without the store for this part of a grant's life, a controller sends users to those that have it. */
const servingShare = 3;
/** Older knowledge than so many report intervals starts nothing. */
const startingReports = 2;
/** A watch that has brought nothing of what others have seen for so long is lost; a slow one takes less than that. */
const watchReports = 1.5;
/** A job is said to wait for others only on knowledge that is younger than this part of the time for a cancellation. */
const freshShare = 1 / 4;
/** How long the peers are told of machines that have come up, or are proven gone. */
const toldMs = 20_000;

interface Parts {
  clock: Clock;
  wallClock: () => number;
  log: Log;
  settings: Settings;
  operator: OperatorSettings;
  boot: string;
  types: () => ReadonlyMap<string, MachineType>;
  store: StoreClient;
  mirror: Mirror;
  jobIndex: JobIndex;
  registry: Registry;
  cloud: CloudClient;
  /** Everything that is not a user's commits. */
  commits: CommitQueue;
  order: OrderOfWork;
  /** The store has answered us within the life of a grant: what we were entitled to, we may still be. */
  inTouch: () => boolean;
}

/** Wires the slices of one controller together. */
export class Controller {
  private readonly clock = steadyClock;
  private readonly boot = randomUUID();
  private readonly answeringSpanMs: number;
  private readonly types = new Map<string, MachineType>();
  /** What most slices need; a term adds itself for what only a leader runs. */
  private readonly parts: Parts;
  private readonly stages: Record<TrafficClass | 'lead', CommitQueue>;
  private readonly store: StoreClient;
  private readonly mirror: Mirror;
  private readonly jobIndex: JobIndex;
  private readonly registry: Registry;
  private readonly cloud: CloudClient;
  private readonly leases: BlockLeases;
  private readonly membership: Membership;
  private readonly election: Election;
  private readonly peers: PeerLinks;
  private readonly intake: Intake;
  private readonly cascade: Cascade;
  private fleet: Fleet | undefined;
  private readonly upMachines: UpMachines;
  private storeLoggedAt = -Infinity;

  constructor(
    private readonly settings: Settings,
    private readonly operator: OperatorSettings,
    private readonly log: Log,
    private readonly signal: AbortSignal,
  ) {
    const { clock, boot } = this;
    this.answeringSpanMs = answeringSpan(settings);
    // Every call in flight listens on it, and there may be many.
    setMaxListeners(0, signal);
    const store = new StoreClient(settings, clock, signal);
    const mirror = new Mirror(store, store.watchGapMs, probeMs);
    const cancellations = new Cancellations(() => mirror.initialRevision);
    const jobIndex = new JobIndex(clock, (id) => mirror.outcomeOf(id));
    const ends = new EndReader({ store, mirror });
    const labels = [settings.label, ...settings.peers.map((peer) => peer.label)];
    const registry = new Registry(mirror, labels);
    const cloud = new CloudClient(settings, clock, signal);
    const stage = (lane: TrafficClass, transactions: number): CommitQueue =>
      new CommitQueue(store, lane, settings, signal, transactions * settings.state.txnOps);
    this.stages = {
      duty: stage('duty', stageTransactions.duty),
      // What all blocks wait for does not queue behind the pages of one.
      lead: stage('duty', stageTransactions.lead),
      intake: stage('intake', stageTransactions.writes),
      confirm: stage('confirm', stageTransactions.confirms),
    };
    const commits = this.stages.duty;
    const types = (): ReadonlyMap<string, MachineType> => this.types;
    const shared = {
      clock,
      wallClock: Date.now,
      log,
      settings,
      operator,
      boot,
      types,
      store,
      mirror,
      jobIndex,
      registry,
      cloud,
      commits,
      inTouch: () => !store.failing && store.contactAgeMs(clock()) < this.membership.ttlMs,
      order: new OrderOfWork(settings.objectives, settings.reportMs * tellingReports),
    };
    this.parts = shared;
    // Only others can keep the workers' tasks then: they are leased our blocks as soon as our grant is gone.
    const onUnheard = (): void => this.membership.stepAside(settings.cancelMs);
    this.leases = new BlockLeases({ ...shared, signal, onUnheard });
    this.membership = new Membership(shared);
    const generator = xoroshiro128plus(Number.parseInt(boot.slice(0, 8), 16));
    this.election = new Election({
      ...shared,
      membership: this.membership,
      random: () => uniformFloat64(generator),
      onTerm: (term) => this.lead(term),
    });
    this.cascade = new Cascade({
      ...shared,
      isLeading: () => this.election.term !== undefined,
      readEnd: (id) => ends.read(id),
    });
    this.upMachines = new UpMachines({
      wallClock: Date.now,
      types,
      leased: () => registry.machines(),
    });
    const jobHome = new JobHome({
      ...shared,
      up: this.upMachines,
      ownBlocks: () => new Set(this.leases.blockStates().map(({ block }) => block)),
      leader: () => this.election.leader,
    });
    this.intake = new Intake({
      ...shared,
      ends,
      cascade: this.cascade,
      supportsDependencies: () => registry.upgraded,
      knowsCancellations: () => clock() - this.knownUntil < settings.cancelMs * freshShare,
      writes: this.stages.intake,
      confirms: this.stages.confirm,
      isUp: () => this.isServing(),
      home: (spec) => jobHome.of(spec),
    });
    this.peers = new PeerLinks({
      clock,
      log,
      settings,
      boot,
      revision: () => mirror.revision,
      facts: () => ({
        contactAge: store.contactAgeMs(clock()),
        token: this.election.term?.token ?? 0,
        gone: this.leases.blockStates().flatMap((blockState) => blockState.goneSince(clock() - toldMs)),
        up: this.leases.blockStates().flatMap((blockState) => blockState.upSince(clock() - toldMs)),
      }),
      vouch: (revision) => cancellations.since(revision),
      onStatus: (status) => this.heed(status),
    });
    this.store = store;
    this.mirror = mirror;
    this.jobIndex = jobIndex;
    this.registry = registry;
    this.cloud = cloud;
    let loaded = false;
    mirror.listen((changes) => {
      for (const change of changes) {
        const id = endedJob(change.key);
        if (id !== undefined && parseEnd(change.value)?.end === 'cancelled')
          cancellations.learn(id, change.version);
      }
      if (loaded) jobIndex.apply(changes);
      else jobIndex.load(mirror);
      loaded = true;
      this.leases.follow(changes);
    });
  }

  async run(): Promise<void> {
    const { settings, log, clock, signal, mirror } = this;
    const load = new ConnectionLoad(Math.floor(settings.quota.sockets * socketShare));
    const reportHandler = new ReportHandler({
      isCrowded: () => load.isCrowded,
      clock,
      label: settings.label,
      leases: this.leases,
      registry: this.registry,
      leader: () => this.election.leader,
      mayStart: () => this.mayStart(),
      mayAnswer: () => this.mayAnswer(),
      reportMs: settings.reportMs,
      settleMs: settings.reportMs / 4,
    });
    const lean = [reportHandler.route, this.intake.health];
    const loadHandler = async (): Promise<RequestHandler> => {
      const { createUserHandler } = await import('./base/user-handler.js');
      return createUserHandler(this.intake.routes, lean, log);
    };
    const listen = {
      ...splitAddress(settings.serveOn),
      lean,
      loadHandler,
      log,
      clock,
      load,
      idleMs: settings.leaseMs * idleLeases,
      sliceMs: settings.reportMs * sliceReports,
    };
    log.info({ event: 'start', boot: this.boot, zone: settings.zone }, 'starting');
    await Promise.all([
      runRoutine('web', signal, log, (s) => serveWeb(listen, s)),
      runRoutine('mirror', signal, log, (s) => mirror.follow(s), probeMs),
      runRoutine('machine-types', signal, log, (s) => this.followTypes(s), typesRetryMs),
      runRoutine('store-contact', signal, log, (s) => this.keepContact(s), probeMs),
      runRoutine('membership', signal, log, (s) => this.membership.run(s), probeMs),
      runRoutine('election', signal, log, (s) => this.election.run(s)),
      runRoutine('cascade', signal, log, (s) => this.cascade.run(s), probeMs),
      this.peers.run(signal),
    ]);
  }

  /** Everything that only a leader does, for as long as its term lasts. */
  private async lead(term: Term): Promise<void> {
    const { operator, log, mirror, registry } = this;
    // The copy must hold all that earlier leaders committed.
    while (!term.signal.aborted && mirror.revision < term.token) await sleep(20, term.signal);
    if (term.signal.aborted) return;
    const shared = { ...this.parts, commits: this.stages.lead, term };
    const fleet = new Fleet({
      ...shared,
      firstEver: registry.blocks().size === 0,
      leased: () => registry.machines(),
    });
    const allocator = new BlockAllocator({
      ...shared,
      fleet,
      periodMs: operator.blocks.periodS * 1000,
      lookahead: operator.blocks.lookahead,
      up: (machine) => this.upMachines.has(machine),
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

  private heed(status: PeerStatus): void {
    this.upMachines.note(status.up);
    this.fleet?.noteGone(status.gone);
    const { term } = this.election;
    if (term && status.token > term.token) term.end(`${status.from} leads with a higher token`);
    for (const [id, version] of status.cancelled) {
      this.mirror.recordOutcome(endKey(id), { value: endRecord({ end: 'cancelled', tasks: 0 }), version });
    }
  }

  /** Without the store we cannot know whom users were told is cancelled, so leases must run out in time. */
  private mayAnswer(): boolean {
    const { ttlMs } = this.membership;
    const now = this.clock();
    const { lastContactAt } = this.store;
    // The usual case, asked for with every report: no word of any peer could shorten this.
    if (now <= this.knownUntil + this.answeringSpanMs && now - lastContactAt <= ttlMs) return true;
    const { cancelMs, leaseMs, reportMs, peers } = this.settings;
    const facts: AnsweringFacts = {
      now,
      knownUntil: this.knownUntil,
      lastContact: lastContactAt,
      cancelMs,
      leaseMs,
      reportMs,
      peers: peers.map((peer) => this.peers.word(peer.label)),
    };
    return now <= answerUntil(facts) && !peerIsServed(facts, ttlMs);
  }

  /** The knowledge horizon: every change of the store before this moment is in our copy. */
  private get knownUntil(): number {
    return this.store.knownUntil(this.mirror.revision);
  }

  /** Nothing is started on knowledge that is older than a few reports: what it is for may be over. */
  private mayStart(): boolean {
    return !this.store.failing && this.clock() - this.knownUntil < this.settings.reportMs * startingReports;
  }

  /**
   * A controller that alone has lost the store sends users elsewhere. Where all have lost it there is no better
   * place, and turning unhealthy together would cost users their connections.
   */
  private isServing(): boolean {
    if (!this.mirror.ready || this.types.size === 0) return false;
    const limit = this.membership.ttlMs / servingShare;
    if (this.store.contactAgeMs(this.clock()) < limit) return true;
    return this.settings.peers.every(
      (peer) => (this.peers.word(peer.label)?.contactAge ?? Infinity) >= limit,
    );
  }

  private shareStore(): void {
    const { registry, settings, store, election } = this;
    const alive = Math.max(1, registry.alive().length);
    let own = 0;
    let all = 0;
    for (const { owner, machines } of registry.blocks().values()) {
      all += machines.length;
      if (owner === settings.label) own += machines.length;
    }
    store.setRole({ leading: election.term !== undefined, alive, machines: all > 0 ? own / all : 1 / alive });
  }

  /** For the people on call: what the changes of the state service are spent on, once a period. */
  private logStore(): void {
    const { log, clock, operator, store, jobIndex } = this;
    if (clock() - this.storeLoggedAt < operator.ladder.periodS * 1000) return;
    this.storeLoggedAt = clock();
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

  private async followTypes(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const type of await this.cloud.machineTypes()) this.types.set(type.name, type);
      await sleep(typesEveryMs, signal);
    }
  }

  /**
   * Asks the store something cheap when nothing else has lately, so that its silence is noticed and we know how recent our
   * copy is: a comparison names the store's revision whether or not anything has changed.
   */
  private async keepContact(signal: AbortSignal): Promise<void> {
    const { store, mirror } = this;
    let watchRenewedAt = this.clock();
    while (!signal.aborted) {
      if (store.failing || this.clock() - store.lastRevisionSeenAt > probeMs * 2) {
        await store.commit('duty', [{ key: leadKey, version: mirror.version(leadKey) }], []);
      }
      // Others are answered and the watch brings nothing: it is lost, or waits as in an outage.
      const lateMs = store.lastRevisionSeenAt - this.knownUntil;
      const patienceMs = this.settings.reportMs * watchReports;
      if (mirror.ready && lateMs > patienceMs && this.clock() - watchRenewedAt > patienceMs) {
        watchRenewedAt = this.clock();
        store.restartWatch();
      }
      this.leases.follow([]);
      // What peers are told, our own leader has to hear as well.
      for (const blockState of this.leases.blockStates()) {
        this.upMachines.note(blockState.upSince(this.clock() - toldMs));
        this.fleet?.noteGone(blockState.goneSince(this.clock() - toldMs));
      }
      this.shareStore();
      this.logStore();
      await sleep(probeMs, signal);
    }
  }
}
