import { randomUUID } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { sleep, steadyClock } from './base/clock.js';
import type { Log } from './base/log.js';
import { runRoutine } from './base/routine.js';
import { createWebApp, serveWeb } from './base/web.js';
import { CloudClient } from './cloud/client.js';
import { Intake } from './intake/intake.js';
import { Fleet } from './ladder/fleet.js';
import type { AnsweringFacts } from './leadership/answering.js';
import { Election } from './leadership/election.js';
import type { Term } from './leadership/term.js';
import type { MachineType } from './model/types.js';
import { PeerLinks, type PeerStatus, splitAddress } from './peers/links.js';
import { Board } from './placement/board.js';
import { Scheduler } from './placement/scheduler.js';
import type { OperatorSettings } from './settings/operator.js';
import type { Settings } from './settings/settings.js';
import { StoreClient } from './store/client.js';
import { CommitStage } from './store/commit-stage.js';
import { Mirror } from './store/mirror.js';
import { leadKey, tasksPerPage } from './wire/records.js';
import { type Duty, WorkerDesk } from './workers/desk.js';

const watchGapMs = 200;
const probeMs = 400;
const typesEveryMs = 30_000;
const typesRetryMs = 1000;
/** Bounds of the stages, as multiples of the operations that one transaction can hold. */
const stageTransactions = { duty: 4, writes: 4, confirms: 8 };
const socketShare = 0.8;
const idleMs = 120_000;

/** Wires the slices of one controller together. */
export class Controller {
  private readonly clock = steadyClock;
  private readonly boot = randomUUID();
  private readonly types = new Map<string, MachineType>();
  private duty: (Duty & { scheduler: Scheduler | undefined }) | undefined;

  constructor(
    private readonly settings: Settings,
    private readonly operator: OperatorSettings,
    private readonly log: Log,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    const { settings, log, clock, boot, operator } = this;
    // Every call in flight listens on it, and there may be many.
    setMaxListeners(0, signal);
    const store = new StoreClient(settings, clock, signal);
    const stage = (lane: 'intake' | 'duty', transactions: number): CommitStage =>
      new CommitStage(store, lane, settings, signal, transactions * settings.state.txnOps);
    const commits = stage('duty', stageTransactions.duty);
    const mirror = new Mirror(store, watchGapMs);
    const cloud = new CloudClient(settings, clock, signal);
    const generator = xoroshiro128plus(Number.parseInt(boot.slice(0, 8), 16));
    const election: Election = new Election({
      ...{ clock, log, store, commits, mirror, settings, operator, boot },
      random: () => uniformFloat64(generator),
      onTerm: (term) => this.lead(term, { store, commits, mirror, cloud }),
    });
    const intake = new Intake({
      ...{ clock, log, settings, store, mirror },
      wallClock: Date.now,
      writes: stage('intake', stageTransactions.writes),
      confirms: stage('intake', stageTransactions.confirms),
      types: () => this.types,
      isUp: () => this.isUp(mirror, store, peers),
    });
    const peers: PeerLinks = new PeerLinks({
      ...{ clock, log, settings, boot },
      facts: () => ({
        contactAge: store.contactAge(clock()),
        token: this.duty?.term.token ?? 0,
        cancelled: intake.recentlyCancelled(),
      }),
      onStatus: (status) => this.heed(status),
    });
    const desk = new WorkerDesk({
      ...{ clock, log, label: settings.label },
      duty: () => this.duty,
      leader: () => election.leader,
      storeFailing: () => store.failing,
      answering: () => this.answeringFacts(store, peers),
      onNews: () => this.duty?.scheduler?.poke(),
    });
    const app = createWebApp([...intake.routes, desk.route], log);
    const listen = {
      ...splitAddress(settings.serveOn),
      maxConnections: Math.floor(settings.quota.sockets * socketShare),
      idleMs,
    };
    log.info({ event: 'start', boot, zone: settings.zone }, 'starting');
    await Promise.all([
      runRoutine('web', signal, log, (s) => serveWeb(app, listen, s)),
      runRoutine('mirror', signal, log, (s) => mirror.follow(s), probeMs),
      runRoutine('machine-types', signal, log, (s) => this.followTypes(cloud, s), typesRetryMs),
      runRoutine('store-contact', signal, log, (s) => this.keepContact(store, s), probeMs),
      runRoutine('election', signal, log, (s) => election.run(s)),
      peers.run(signal),
    ]);
  }

  /** Everything that only a leader does, for as long as its term lasts. */
  private async lead(
    term: Term,
    parts: { store: StoreClient; commits: CommitStage; mirror: Mirror; cloud: CloudClient },
  ): Promise<void> {
    const { settings, operator, log, clock } = this;
    const { store, commits, mirror, cloud } = parts;
    this.duty = { term, board: undefined, scheduler: undefined };
    try {
      // Nothing an earlier owner committed may be missing from the board, and it can commit no more.
      while (!term.signal.aborted && mirror.revision < term.token) await sleep(20, term.signal);
      if (term.signal.aborted) return;
      const perPage = tasksPerPage(settings.state.valueBytes);
      const board = new Board({ token: term.token, perPage, reportMs: settings.reportMs, clock });
      board.load(mirror);
      const types = (): ReadonlyMap<string, MachineType> => this.types;
      const scheduler = new Scheduler({ clock, log, settings, store, commits, board, term, types });
      const fleet = new Fleet({
        ...{ clock, log, settings, operator, cloud, board, term, types },
        onFreed: () => scheduler.poke(),
      });
      const unlisten = mirror.listen((changes) => {
        board.apply(changes);
        scheduler.poke();
      });
      this.duty = { term, board, scheduler };
      log.info(
        { event: 'term', token: term.token, jobs: board.jobs.size, machines: board.machines.size },
        'leading',
      );
      try {
        await Promise.all([runRoutine('scheduler', term.signal, log, () => scheduler.run()), fleet.run()]);
      } finally {
        unlisten();
      }
    } finally {
      this.duty = undefined;
    }
  }

  private heed(status: PeerStatus): void {
    const { duty } = this;
    if (!duty) return;
    if (status.token > duty.term.token) duty.term.end(`${status.from} leads with a higher token`);
    for (const id of status.cancelled) {
      const job = duty.board?.jobs.get(id);
      if (job && !job.ended) duty.board?.endJob(job, 'cancelled');
    }
  }

  private answeringFacts(store: StoreClient, peers: PeerLinks): AnsweringFacts {
    const { cancelMs, leaseMs, reportMs } = this.settings;
    return {
      now: this.clock(),
      lastContact: store.lastContact,
      cancelMs,
      leaseMs,
      reportMs,
      peers: this.settings.peers.map((peer) => peers.word(peer.label)),
    };
  }

  /**
   * A controller that alone has lost the store sends users elsewhere. Where all have lost it there is no better
   * place, and turning unhealthy together would cost users their connections.
   */
  private isUp(mirror: Mirror, store: StoreClient, peers: PeerLinks): boolean {
    if (!mirror.ready || this.types.size === 0) return false;
    const limit = this.settings.reportMs;
    if (store.contactAge(this.clock()) < limit) return true;
    return this.settings.peers.every((peer) => (peers.word(peer.label)?.contactAge ?? Infinity) >= limit);
  }

  private async followTypes(cloud: CloudClient, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const type of await cloud.machineTypes()) this.types.set(type.name, type);
      await sleep(typesEveryMs, signal);
    }
  }

  /** Asks the store something cheap when nothing else has lately, so that its silence is noticed. */
  private async keepContact(store: StoreClient, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (store.failing || store.contactAge(this.clock()) > probeMs * 2) {
        await store.read(leadKey).catch(() => undefined);
      }
      await sleep(probeMs, signal);
    }
  }
}
