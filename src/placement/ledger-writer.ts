/**
 * Writes the pages of a block's ledger to the store: intents immediately, and changes that workers would
 * report again in their heartbeats later, when a transaction has space for them.
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
 * Minimum delay of deferred writes, as the number of writes that a controller's equal share of the write rate
 * admits in this time.
 */
const minDelayWrites = 4;
/** The same for each page in use: with many pages, the delay admits this many writes for each of them. */
const delayWritesPerPage = 1 / 2;
/** Minimum delay of deferred writes, in heartbeat intervals. */
const minDelayHeartbeats = 1 / 8;
/**
 * One commit of a page may place tasks of at most this many jobs for each write that a transaction can hold.
 * This uses half of the conditions that a transaction can hold.
 */
const maxJobsPerTransactionOp = 2;
/** Delay between a failed deletion of a retired page and the next read of it, in heartbeat intervals. */
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
  /** Called after the commit of a page was applied or has failed; writes what changed during the commit. */
  onCommitSettled: () => void;
}

/** One commit of a page, with the state at its start that is needed to process the outcome. */
interface PageCommit {
  page: LedgerPage;
  key: string;
  snapshot: PageSnapshot;
  /** The condition of the commit on the version of the block's record. */
  blockCondition: Condition;
  /** Versions of the records of the jobs whose tasks the commit places; conditions of the commit as well. */
  jobVersions: ReadonlyMap<JobState, number>;
  /** Attempt number, at the start of the commit, of each task that the commit places. */
  attempts: ReadonlyMap<Task, number>;
}

/**
 * Writes the changes of the block's state to the ledger pages in the store. Every commit is conditioned on
 * the versions of the block's record and of the page, so that only the owner of the block can make it. It is
 * also conditioned on the versions of the records of the jobs whose tasks it places.
 */
export class LedgerWriter {
  /** The version of the block's record for which the store last reported a commit conflict. */
  private rejectedBlockVersion: number | undefined;

  constructor(private readonly ports: LedgerWriterPorts) {}

  /** Time in ms after which the caller should check again whether deferred writes are due. */
  get nextCheckMs(): number {
    return this.deferredWriteDelayMs(this.ports.blockState.ledger.usedPageCount) / 2;
  }

  /**
   * Whether a commit can be sent without waiting for the rate limit. The block's record changes often, so a
   * commit that waited would fail with a conflict. This is also false after a conflict on the block's record,
   * until a newer version of the record has been read.
   */
  get canCommit(): boolean {
    const { blockState, store } = this.ports;
    return blockState.version !== this.rejectedBlockVersion && store.writeWaitMs('duty') === 0;
  }

  /** Starts the commits of all pages that are due. May be called only while `canCommit` is true. */
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
   * Time in ms for which completions are collected before a page is written only to record them. If the store
   * admits few writes, or the ledger has many pages, these deferred writes must not delay the commits of
   * intents.
   */
  private deferredWriteDelayMs(pageCount: number): number {
    const { heartbeatIntervalMs, controllers, state } = this.ports.settings;
    const delayWrites = Math.max(minDelayWrites, pageCount * delayWritesPerPage);
    const writesMs = (delayWrites * controllers * 1000) / state.writeRps;
    return Math.max(heartbeatIntervalMs * minDelayHeartbeats, writesMs);
  }

  /**
   * Writes at most as many deferred pages as fit into the next transaction: more of them would delay pages
   * that become urgent afterwards.
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

  /** Commits a page. Only after this commit has confirmed an intent may the start be sent to the machine. */
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
      // Pages that became dirty during the commit are written immediately.
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
   * Conditions of the commit. The record of a job is deleted when the job ends, so a condition on its version
   * guarantees that the job is open and that its tasks are still assigned to blocks as this controller has
   * read it.
   */
  private conditionsOf({ page, key, blockCondition, jobVersions }: PageCommit): Condition[] {
    const openJobs = [...jobVersions].map(([job, version]) => ({ key: jobKey(job.id), version }));
    return [blockCondition, { key, version: page.version }, ...openJobs];
  }

  /** Postpones the commit of a page that is too large: it is written after enough of its tasks are done. */
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
      // The machine may have been removed during the commit and another one chosen. This commit does not
      // cover that attempt.
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
   * Withdraws the intents of jobs whose records have changed: the job has ended, or the leader has dispatched
   * its tasks again. No start of these intents was sent to a worker.
   */
  private withdrawRejectedIntents({ snapshot, jobVersions }: PageCommit, failedKeys: string[]): void {
    for (const task of snapshot.placing) {
      const { job } = task;
      if (!failedKeys.includes(jobKey(job.id))) continue;
      // Stores the version that had the conflict, not the current one: a newer version may have been read
      // already.
      job.rejectedVersion = jobVersions.get(job);
      if (task.phase === 'placing') this.ports.blockState.unassign(task);
    }
  }

  /**
   * Updates the version of the page after a commit that had a conflict on the page or whose outcome is
   * unknown. After a malformed commit, waits for one heartbeat interval instead. While this controller owns
   * the block, only this controller writes the page. So the version in the store is from one of its own
   * commits, and the next commit is conditioned on it. An earlier commit that is still in transit then fails,
   * since it is conditioned on an older version.
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
      'could not read a ledger page; its last known version is kept',
    );
  }
}
