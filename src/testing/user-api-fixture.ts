/** Test fixture: the users' API of one controller, called without HTTP. */
import type { Reply, Route } from '../base/replies.js';
import { silentLog } from '../base/log.js';
import { CancellationCascade } from '../dependencies/cancellation-cascade.js';
import { OutcomeReader } from '../intake/outcome-reader.js';
import { Intake, type IntakePorts } from '../intake/intake.js';
import { JobIndex } from '../placement/job-index.js';
import type { StoreClient } from '../store/client.js';
import { CommitQueue } from '../store/commit-queue.js';
import { StoreReplica } from '../store/store-replica.js';
import type { TrafficClass } from '../store/request-pacing.js';
import { parseMachineTypes } from '../wire/cloud.js';
import type { Item } from '../wire/state.js';
import { machineType } from './cloud-standin.js';

import { type InMemoryStore, runPendingCallbacks } from './in-memory-store.js';
import { testSettings } from './settings.js';
import { submission } from './submission.js';

const maxQueuedCommits = 100;

export interface UserApiFixtureOptions {
  /**
   * Time in ms that a commit would wait in the controller's queue because of the controller's share of the
   * rate limits of the store.
   */
  writeWaitMs?: number;
  /** If true, the replica of the store initially contains all open jobs. */
  loadsOpenJobs?: boolean;
  /** If true, all controllers are known to support dependencies. True by default. */
  supportsDependencies?: boolean;
  /**
   * If true, the replica counts as recent enough to show whether a dependency of a job was cancelled. True by
   * default.
   */
  knowsCancellations?: boolean;
}

/** Returns the initial content of the replica for a key prefix. */
async function initialList(
  store: InMemoryStore,
  prefix: string,
  { loadsOpenJobs }: UserApiFixtureOptions,
): Promise<{ items: Item[]; revision: number }> {
  if (loadsOpenJobs !== true || prefix !== 'job/') return { items: [], revision: 0 };
  return store.listPage(prefix, '', Infinity);
}

/**
 * Sends requests to the users' API of one controller, by default about one job. The controller's replica of
 * the store receives only the changes that the controller commits itself, and no changes from other
 * controllers.
 */
export class UserApiFixture {
  private readonly routes: Route[];

  private constructor(
    ports: IntakePorts,
    private readonly id: string,
    readonly cascade: CancellationCascade,
  ) {
    this.routes = new Intake(ports).routes;
  }

  static async create(
    store: InMemoryStore,
    id: string,
    options: UserApiFixtureOptions = {},
  ): Promise<UserApiFixture> {
    const settings = testSettings();
    const { signal } = new AbortController();
    const createQueue = (lane: TrafficClass): CommitQueue =>
      new CommitQueue(store, lane, settings, signal, maxQueuedCommits);
    const replica = new StoreReplica(
      { list: (prefix) => initialList(store, prefix, options), watch: () => new Promise(() => undefined) },
      0,
    );
    const jobIndex = new JobIndex(
      () => 0,
      (id) => replica.outcomeOf(id),
    );
    replica.listen((changes) => jobIndex.applyChanges(changes));
    void replica.follow(signal);
    await runPendingCallbacks();
    const types = new Map(parseMachineTypes({ hulls: [machineType] }).map((type) => [type.name, type]));
    const client = {
      failing: false,
      writeWaitMs: () => options.writeWaitMs ?? 0,
      read: (key: string) => store.read(key),
      listPage: (prefix: string, after: string, limit: number) => store.listPage(prefix, after, limit),
    } as unknown as StoreClient;
    const outcomeReader = new OutcomeReader({ store: client, replica });
    const cascade = new CancellationCascade({
      clock: () => 0,
      wallClock: () => 0,
      log: silentLog,
      settings,
      store: client,
      replica,
      jobIndex,
      commits: createQueue('duty'),
      isLeading: () => true,
      readOutcome: (id) => outcomeReader.read(id),
    });
    const ports = {
      wallClock: () => 0,
      settings,
      replica,
      machineTypes: () => types,
      store: client,
      writes: createQueue('intake'),
      comparisons: createQueue('confirm'),
      initialRanges: () => [],
      isServing: () => true,
      jobIndex,
      outcomeReader,
      cascade,
      supportsDependencies: () => options.supportsDependencies ?? true,
      knowsCancellations: () => options.knowsCancellations ?? true,
    } as unknown as IntakePorts;
    return new UserApiFixture(ports, id, cascade);
  }

  /** Submits the job; `change` replaces fields of the submission. */
  async submit(change: Record<string, unknown> = {}, id = this.id): Promise<Reply> {
    return this.request(0, submission(id, 1, change), id);
  }

  async query(id = this.id): Promise<Reply> {
    return this.request(1, undefined, id);
  }

  async cancel(id = this.id): Promise<Reply> {
    return this.request(2, {}, id);
  }

  private async request(routeIndex: number, body: unknown, id: string): Promise<Reply> {
    return (this.routes[routeIndex] as Route).handle(body, [id]);
  }
}
