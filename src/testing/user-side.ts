/** The users' side of one controller, for tests without sockets. */
import type { Reply, Route } from '../base/replies.js';
import { silentLog } from '../base/log.js';
import { CancellationCascade } from '../dependencies/cancellation-cascade.js';
import { OutcomeReader } from '../intake/outcome-reader.js';
import { Intake, type IntakePorts } from '../intake/intake.js';
import { JobIndex } from '../placement/job-index.js';
import type { StoreClient } from '../store/client.js';
import { CommitQueue } from '../store/commit-queue.js';
import { Mirror } from '../store/mirror.js';
import type { TrafficClass } from '../store/request-pacing.js';
import { parseMachineTypes } from '../wire/cloud.js';
import type { Item } from '../wire/state.js';
import { machineType } from './cloud-standin.js';
import { submission } from './cluster.js';
import { type HeldStore, settled } from './held-store.js';
import { testSettings } from './settings.js';

const stageBound = 100;

export interface UserSideOptions {
  /** How long a commit would wait for its turn, by the controller's share of the store's limits. */
  writeWaitMs?: number;
  /** Its copy of the store begins with all jobs that are open. */
  listsJobs?: boolean;
  /** All controllers are known to heed dependencies. */
  supportsDependencies?: boolean;
  /** The copy of the store is recent enough to say that no job before one is cancelled. */
  knowsCancellations?: boolean;
}

/** What a copy of the store begins with. */
async function listFor(
  store: HeldStore,
  prefix: string,
  { listsJobs }: UserSideOptions,
): Promise<{ items: Item[]; revision: number }> {
  if (listsJobs !== true || prefix !== 'job/') return { items: [], revision: 0 };
  return store.listPage(prefix, '', Infinity);
}

/** Requests, most of them about one job, to one controller, whose copy of the store learns nothing but what it commits itself. */
export class UserSide {
  private readonly routes: Route[];

  private constructor(
    ports: IntakePorts,
    private readonly id: string,
    readonly cascade: CancellationCascade,
  ) {
    this.routes = new Intake(ports).routes;
  }

  static async create(store: HeldStore, id: string, options: UserSideOptions = {}): Promise<UserSide> {
    const settings = testSettings();
    const { signal } = new AbortController();
    const stage = (lane: TrafficClass): CommitQueue =>
      new CommitQueue(store, lane, settings, signal, stageBound);
    const mirror = new Mirror(
      { list: (prefix) => listFor(store, prefix, options), watch: () => new Promise(() => undefined) },
      0,
    );
    const jobIndex = new JobIndex(
      () => 0,
      (id) => mirror.outcomeOf(id),
    );
    mirror.listen((changes) => jobIndex.applyChanges(changes));
    void mirror.follow(signal);
    await settled();
    const types = new Map(parseMachineTypes({ hulls: [machineType] }).map((type) => [type.name, type]));
    const client = {
      failing: false,
      writeWaitMs: () => options.writeWaitMs ?? 0,
      read: (key: string) => store.read(key),
      listPage: (prefix: string, after: string, most: number) => store.listPage(prefix, after, most),
    } as unknown as StoreClient;
    const outcomeReader = new OutcomeReader({ store: client, mirror });
    const cascade = new CancellationCascade({
      clock: () => 0,
      wallClock: () => 0,
      log: silentLog,
      settings,
      store: client,
      mirror,
      jobIndex,
      commits: stage('duty'),
      isLeading: () => true,
      readOutcome: (id) => outcomeReader.read(id),
    });
    const ports = {
      wallClock: () => 0,
      settings,
      mirror,
      machineTypes: () => types,
      store: client,
      writes: stage('intake'),
      comparisons: stage('confirm'),
      initialRanges: () => [],
      isServing: () => true,
      jobIndex,
      outcomeReader,
      cascade,
      supportsDependencies: () => options.supportsDependencies ?? true,
      knowsCancellations: () => options.knowsCancellations ?? true,
    } as unknown as IntakePorts;
    return new UserSide(ports, id, cascade);
  }

  /** A submission of the job; `change` makes it differ from the others. */
  async submit(change: Record<string, unknown> = {}, id = this.id): Promise<Reply> {
    return this.request(0, submission(id, 1, change), id);
  }

  async query(id = this.id): Promise<Reply> {
    return this.request(1, undefined, id);
  }

  async cancel(id = this.id): Promise<Reply> {
    return this.request(2, {}, id);
  }

  private async request(route: number, body: unknown, id: string): Promise<Reply> {
    return (this.routes[route] as Route).handle(body, [id]);
  }
}
