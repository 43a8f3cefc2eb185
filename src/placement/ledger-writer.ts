/**
 * Writes the pages of a block's ledger to the store. An intent (a task attempt that has to be committed
 * before its start command is sent) is written immediately. A change that workers would report again in their
 * heartbeats is written later, when a transaction has space for it.
 */
import { type Clock, sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { logUnexpectedFailure } from '../base/unexpected-failures.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { CommitOutcome } from '../store/transactions.js';
import { blockKey, jobKey, ledgerKey } from '../wire/keys.js';
import { ledgerPage } from '../wire/ledger-records.js';
import type { Condition } from '../wire/state.js';
import type { BlockState } from './block-state.js';
import type { JobState, Task } from './job-state.js';
import type { LedgerPage, RetiredPage } from './ledger.js';
import { type PageSnapshot, snapshotPage } from './page-snapshot.js';

/**
 * Minimum delay of deferred writes, expressed as a number of writes. The delay is the time in which a
 * controller's equal share of the write rate admits this many writes.
 */
const minDelayWrites = 4;
/**
 * Minimum delay of deferred writes if many pages are in use. In this time, a controller's equal share of the
 * write rate admits this many writes for each page in use.
 */
const delayWritesPerPage = 1 / 2;
/** Minimum delay of deferred writes, in heartbeat intervals. */
const minDelayHeartbeats = 1 / 8;
/**
 * Maximum number of jobs whose tasks one commit of a page may place, for each write that a transaction can
 * hold. The conditions on the records of these jobs are at most half of the conditions that a transaction can
 * hold.
 */
const maxJobsPerTransactionOp = 2;
/**
 * Delay between a failed deletion of a retired page and the next read of its version, in heartbeat intervals.
 */
const retryDelayHeartbeats = 1 / 4;

/** Dependencies of the ledger writer. */
export interface LedgerWriterPorts {
  clock: Clock;
  log: Log;
  settings: Pick<Settings, 'heartbeatIntervalMs' | 'controllers' | 'state'>;
  store: Pick<StoreClient, 'read' | 'failing' | 'writeWaitMs'>;
  commits: Pick<CommitQueue, 'commit' | 'full' | 'writableLength'>;
  blockState: BlockState;
  /** Aborted when the lease of the block ends. */
  signal: AbortSignal;
  /**
   * Called after a commit of a page was applied or has failed, so that changes made during the commit are
   * written.
   */
  onCommitSettled: () => void;
}

/** A commit of one page, with the state at the start of the commit that is needed to process its outcome. */
interface PageCommit {
  page: LedgerPage;
  key: string;
  snapshot: PageSnapshot;
  /** Condition of the commit on the version of the block's record. */
  blockCondition: Condition;
  /**
   * Versions of the records of the jobs whose tasks the commit places. The commit is conditioned on these
   * versions too.
   */
  jobVersions: ReadonlyMap<JobState, number>;
  /** Attempt number of each task that the commit places, as of the start of the commit. */
  attempts: ReadonlyMap<Task, number>;
}

/**
 * Writes the changes of the block's state to the ledger pages in the store. Every commit is conditioned on
 * the versions of the block's record and of the page, so that only commits of the block's owner are applied.
 * A commit is also conditioned on the versions of the records of the jobs whose tasks it places.
 */
export class LedgerWriter {
  /** Version of the block's record that the store has most recently rejected as a commit condition. */
  private rejectedBlockVersion: number | undefined;

  constructor(private readonly ports: LedgerWriterPorts) {}

  /** Time in ms after which the caller should check again whether deferred writes are due. */
  get nextCheckMs(): number {
    return this.deferredWriteDelayMs(this.ports.blockState.ledger.usedPageCount) / 2;
  }

  /**
   * Whether a commit can be sent without waiting for the rate limit. The block's record changes often, so a
   * commit that waited would fail with a conflict. After a conflict on the block's record, the result is
   * false until a newer version of the record has been read.
   */
  get canCommit(): boolean {
    const { blockState, store } = this.ports;
    return blockState.version !== this.rejectedBlockVersion && store.writeWaitMs('duty') === 0;
  }

  /** Starts the commits of all pages that are due. May be called only if `canCommit` is true. */
  writePages(): void {
    const { blockState, commits } = this.ports;
    const pages = [...blockState.ledger.pages.values()].filter((page) => !page.isCommitting);
    for (const page of pages) {
      if (commits.full) return;
      if (page.writeUrgency === 'immediate') page.commit = this.commitPage(page);
    }
    this.writeDeferredPages(pages);
    if (commits.writableLength === 0) this.deleteRetiredPages();
  }

  /**
   * Returns the time in ms for which completions are collected before a page is written only to record them.
   * The delay is longer if the store admits few writes or the ledger has many pages, so that deferred writes
   * do not delay the commits of intents.
   */
  private deferredWriteDelayMs(pageCount: number): number {
    const { heartbeatIntervalMs, controllers, state } = this.ports.settings;
    const delayWrites = Math.max(minDelayWrites, pageCount * delayWritesPerPage);
    const writesMs = (delayWrites * controllers * 1000) / state.writeRps;
    return Math.max(heartbeatIntervalMs * minDelayHeartbeats, writesMs);
  }

  /**
   * Starts the commits of deferred pages that are due, with the oldest changes first. The number of these
   * commits is limited to the free space of the next transaction, because more of them would delay pages that
   * need an immediate write afterwards.
   */
  private writeDeferredPages(pages: LedgerPage[]): void {
    const { blockState, commits, clock, settings } = this.ports;
    const delayMs = this.deferredWriteDelayMs(blockState.ledger.usedPageCount);
    const now = clock();
    const duePages = pages
      .filter((page) => page.writeUrgency === 'deferred' && now - page.dirtySince > delayMs)
      .sort((a, b) => a.dirtySince - b.dirtySince);
    const freeWrites = Math.max(0, settings.state.txnOps - commits.writableLength);
    for (const page of duePages.slice(0, freeWrites)) page.commit = this.commitPage(page);
  }

  private deleteRetiredPages(): void {
    for (const page of this.ports.blockState.ledger.deletableRetiredPages())
      void this.deleteRetiredPage(page);
  }

  private async deleteRetiredPage(page: RetiredPage): Promise<void> {
    const { blockState, commits, settings, signal, log } = this.ports;
    const key = ledgerKey(blockState.block, page.index);
    try {
      page.isBeingDeleted = true;
      const conditions = [this.blockCondition, { key, version: page.version }];
      const outcome = await commits.commit(conditions, [{ drop: key }]);
      if (outcome.kind === 'applied') {
        blockState.ledger.retiredPages.delete(page.index);
        return;
      }
      await sleep(settings.heartbeatIntervalMs * retryDelayHeartbeats, signal);
      await this.refreshRetiredPage(page, key);
    } catch (error) {
      logUnexpectedFailure(log, 'removal of a ledger page', error);
      throw error;
    }
  }

  private async refreshRetiredPage(page: RetiredPage, key: string): Promise<void> {
    const { blockState, store } = this.ports;
    try {
      const stored = await store.read(key);
      if (stored) page.version = stored.version;
      else blockState.ledger.retiredPages.delete(page.index);
    } catch (error) {
      this.logReadFailure(key, error);
    } finally {
      page.isBeingDeleted = false;
    }
  }

  private get blockCondition(): Condition {
    const { block, version } = this.ports.blockState;
    return { key: blockKey(block), version };
  }

  /**
   * Commits a page. The start command of a task may be sent to its machine only after this commit has
   * confirmed the task's intent.
   */
  private async commitPage(page: LedgerPage): Promise<void> {
    const { commits, blockState, signal, store, log, onCommitSettled } = this.ports;
    try {
      const commit = this.prepareCommit(page);
      const { snapshot, key } = commit;
      if (snapshot.bytes > blockState.ledger.pageBytes) {
        this.postponePage(page);
        return;
      }
      const write = { put: key, value: ledgerPage(snapshot.entries) };
      const outcome = await commits.commit(this.conditionsOf(commit), [write], snapshot.bytes);
      page.isCommitting = false;
      if (outcome.kind === 'applied') this.confirmCommit(commit, outcome.revision);
      else await this.recoverFromFailedCommit(commit, outcome);
      // The callback starts the writes of pages that became dirty during the commit.
      if (!signal.aborted && !store.failing) onCommitSettled();
    } catch (error) {
      logUnexpectedFailure(log, 'commit of a ledger page', error);
      throw error;
    }
  }

  private prepareCommit(page: LedgerPage): PageCommit {
    const { blockState, settings } = this.ports;
    const { blockCondition } = this;
    page.isCommitting = true;
    page.writeUrgency = undefined;
    const maxJobs = settings.state.txnOps * maxJobsPerTransactionOp;
    const unassign = (task: Task): void => blockState.unassign(task);
    const snapshot = snapshotPage(page, maxJobs, unassign, blockState.ledger.pageBytes);
    return {
      page,
      key: ledgerKey(blockState.block, page.index),
      snapshot,
      blockCondition,
      jobVersions: new Map(snapshot.placing.map(({ job }) => [job, job.version])),
      attempts: new Map(snapshot.placing.map((task) => [task, task.attempt])),
    };
  }

  /**
   * Returns the conditions of the commit. The record of a job changes if the leader assigns the job's tasks
   * to other blocks, and it is deleted when the job ends. So a condition on its version guarantees that the
   * job is open and that the assignment of its tasks is the one that this controller has read.
   */
  private conditionsOf({ page, key, blockCondition, jobVersions }: PageCommit): Condition[] {
    const openJobs = [...jobVersions].map(([job, version]) => ({ key: jobKey(job.id), version }));
    return [blockCondition, { key, version: page.version }, ...openJobs];
  }

  /**
   * Postpones the commit of a page that is too large. The page is written after enough of its tasks are done.
   */
  private postponePage(page: LedgerPage): void {
    const { clock, log } = this.ports;
    page.discardBuiltEntries();
    page.isCommitting = false;
    page.markDirty('deferred', clock());
    log.info(
      { event: 'page-postponed', page: page.index },
      'ledger page exceeds its maximum size; it will be written after more of its tasks are done',
    );
  }

  private confirmCommit({ page, snapshot, attempts }: PageCommit, revision: number): void {
    const { blockState } = this.ports;
    page.version = revision;
    blockState.ledger.markWritten(snapshot.chunks);
    for (const task of snapshot.placing) {
      // If the machine was removed during the commit, the task may have been placed again as a new attempt.
      // This commit does not contain the new attempt.
      if (task.phase !== 'placing' || task.attempt !== attempts.get(task)) continue;
      task.phase = 'placed';
      blockState.machineOf(task)?.sendHeldResponse?.();
    }
    for (const { job, indices } of snapshot.done) job.markDoneCommitted(indices);
  }

  private async recoverFromFailedCommit(commit: PageCommit, outcome: CommitOutcome): Promise<void> {
    const { page, snapshot, blockCondition } = commit;
    page.discardBuiltEntries();
    if (outcome.kind === 'conflict') {
      this.withdrawRejectedIntents(commit, outcome.failed);
      if (outcome.failed.includes(blockCondition.key)) this.rejectedBlockVersion = blockCondition.version;
    }
    const hasIntents = snapshot.placing.some((task) => task.phase === 'placing');
    page.markDirty(hasIntents ? 'immediate' : 'deferred', this.ports.clock());
    await this.refreshPageVersion(commit, outcome);
  }

  /**
   * Withdraws the intents of jobs whose records have changed because the job has ended or the leader has
   * changed the dispatched task ranges. No start command for these intents has been sent to a worker.
   */
  private withdrawRejectedIntents({ snapshot, jobVersions }: PageCommit, failedKeys: string[]): void {
    for (const task of snapshot.placing) {
      const { job } = task;
      if (!failedKeys.includes(jobKey(job.id))) continue;
      // The rejected version is the version on which the commit was conditioned. `job.version` may be newer,
      // because a newer version of the record may have been read during the commit.
      job.rejectedVersion = jobVersions.get(job);
      if (task.phase === 'placing') this.ports.blockState.unassign(task);
    }
  }

  /**
   * Reads the version of the page from the store after a commit that had a conflict on the page or whose
   * outcome is unknown. After a malformed commit, waits for one heartbeat interval instead.
   *
   * While this controller owns the block, no other controller writes the page. So the version in the store
   * was written by a commit of this controller, and the next commit is conditioned on this version. An
   * earlier commit that is still in transit then fails, because it is conditioned on an older version.
   */
  private async refreshPageVersion({ page, key }: PageCommit, outcome: CommitOutcome): Promise<void> {
    const { signal, log, settings } = this.ports;
    if (signal.aborted || outcome.kind === 'refused') return;
    if (outcome.kind === 'malformed') {
      log.error(
        { event: 'page-refused', key },
        'state service rejected a ledger page as malformed; retrying after one heartbeat interval',
      );
      page.isCommitting = true;
      await sleep(settings.heartbeatIntervalMs, signal);
      page.isCommitting = false;
      return;
    }
    if (outcome.kind === 'conflict' && !outcome.failed.includes(key)) return;
    await this.readPageVersion(page, key);
  }

  private async readPageVersion(page: LedgerPage, key: string): Promise<void> {
    page.isCommitting = true;
    try {
      page.version = (await this.ports.store.read(key))?.version ?? 0;
    } catch (error) {
      this.logReadFailure(key, error);
    } finally {
      page.isCommitting = false;
    }
  }

  private logReadFailure(key: string, error: unknown): void {
    this.ports.log.debug(
      { event: 'page-read-failed', key, err: error },
      'could not read a ledger page; its version stays unchanged for the next commit or deletion',
    );
  }
}
