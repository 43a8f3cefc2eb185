/** Writes the pages of a block's ledger: intents at once, what workers can tell again when there is room for it. */
import { type Clock, sleep } from '../base/clock.js';
import { logDefect } from '../base/defects.js';
import type { Log } from '../base/log.js';
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

/** Gathering completions may cost at most so many changes of a controller's even share. */
const minGatherChanges = 4;
/** Likewise for each page of the ledger. */
const gatherChangesPerPage = 1 / 2;
/** Completions are gathered for this part of a heartbeat interval at least. */
const minGatherHeartbeats = 1 / 8;
/** One commit of a page places tasks of so many jobs at most: half of the conditions that a transaction can hold. */
const jobsPerTransactionOp = 2;
/** After a failed commit a page is left alone for this part of a heartbeat interval before it is read. */
const retryHeartbeats = 1 / 4;

/** What the writer uses. */
export interface LedgerWriterPorts {
  clock: Clock;
  log: Log;
  settings: Pick<Settings, 'heartbeatIntervalMs' | 'controllers' | 'state'>;
  store: Pick<StoreClient, 'read' | 'failing' | 'writeWaitMs'>;
  commits: Pick<CommitQueue, 'commit' | 'full' | 'writableLength'>;
  blockState: BlockState;
  /** Ends with the lease of the block. */
  signal: AbortSignal;
  /** A page has been committed, or turned down: what changed meanwhile is to be written at once. */
  onCommitSettled: () => void;
}

/** One commit of a page, with what its outcome has to be compared with. */
interface PageCommit {
  page: LedgerPage;
  key: string;
  snapshot: PageSnapshot;
  /** The version of the block's record that the commit is conditioned on. */
  blockCondition: Condition;
  /** Likewise for the jobs whose tasks it places. */
  jobVersions: ReadonlyMap<JobState, number>;
  /** The attempts that it confirms. */
  attempts: ReadonlyMap<Task, number>;
}

/**
 * Keeps the pages in the store in step with the state of the block. Every commit is conditioned on the block's record and on
 * the page, so that only the owner of the block can make it, and on the records of the jobs whose tasks it places.
 */
export class LedgerWriter {
  /** The version of the block's record that the store has turned down. */
  private rejectedBlockVersion: number | undefined;

  constructor(private readonly ports: LedgerWriterPorts) {}

  /** In how many ms pages that nothing waits for are worth another look. */
  get nextCheckMs(): number {
    return this.gatherTimeMs(this.ports.blockState.ledger.pagesInUse) / 2;
  }

  /**
   * Only what can go out at once is gathered: the block's record changes often, and what waits for its turn has been
   * turned down by then. Nor can anything be committed while the store knows the block under another version.
   */
  get canCommit(): boolean {
    const { blockState, store } = this.ports;
    return blockState.version !== this.rejectedBlockVersion && store.writeWaitMs('duty') === 0;
  }

  /** Starts the commits of pages that are due; to be called only while `canCommit`. */
  writePages(): void {
    const { blockState, commits } = this.ports;
    const pages = [...blockState.ledger.pages.values()].filter((page) => !page.isCommitting);
    for (const page of pages) {
      if (commits.full) return;
      if (page.writeUrgency === 'immediate') page.commit = this.commitPage(page);
    }
    this.writeDeferredPages(pages);
    if (commits.writableLength === 0) this.dropRetiredPages();
  }

  /**
   * How long completions are gathered before a page is written for their sake alone. Where the store takes few changes, or
   * the pages are many, these must not keep intents waiting.
   */
  private gatherTimeMs(pages: number): number {
    const { heartbeatIntervalMs, controllers, state } = this.ports.settings;
    const changes = Math.max(minGatherChanges, pages * gatherChangesPerPage);
    const changesMs = (changes * controllers * 1000) / state.writeRps;
    return Math.max(heartbeatIntervalMs * minGatherHeartbeats, changesMs);
  }

  /** They fill up the next transaction: behind more of them, what becomes urgent would wait. */
  private writeDeferredPages(pages: LedgerPage[]): void {
    const { blockState, commits, clock, settings } = this.ports;
    const gatherMs = this.gatherTimeMs(blockState.ledger.pagesInUse);
    const now = clock();
    const due = pages
      .filter((page) => page.writeUrgency === 'deferred' && now - page.dirtySince > gatherMs)
      .sort((a, b) => a.dirtySince - b.dirtySince);
    const room = Math.max(0, settings.state.txnOps - commits.writableLength);
    for (const page of due.slice(0, room)) page.commit = this.commitPage(page);
  }

  private dropRetiredPages(): void {
    for (const page of this.ports.blockState.ledger.removablePages()) void this.dropRetiredPage(page);
  }

  private async dropRetiredPage(page: RetiredPage): Promise<void> {
    const { blockState, commits, settings, signal, log } = this.ports;
    const key = ledgerKey(blockState.block, page.index);
    try {
      page.isDropping = true;
      const conditions = [this.blockCondition, { key, version: page.version }];
      const outcome = await commits.commit(conditions, [{ drop: key }]);
      if (outcome.kind === 'applied') {
        blockState.ledger.retiredPages.delete(page.index);
        return;
      }
      await sleep(settings.heartbeatIntervalMs * retryHeartbeats, signal);
      await this.refreshRetiredPage(page, key);
    } catch (error) {
      logDefect(log, 'removal of a ledger page', error);
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
      page.isDropping = false;
    }
  }

  private get blockCondition(): Condition {
    const { block, version } = this.ports.blockState;
    return { key: blockKey(block), version };
  }

  /** Intent before action: only what this commit has confirmed may be sent to a machine. */
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
      // What became dirty meanwhile goes at once.
      if (!signal.aborted && !store.failing) onCommitSettled();
    } catch (error) {
      logDefect(log, 'commit of a ledger page', error);
      throw error;
    }
  }

  private prepareCommit(page: LedgerPage): PageCommit {
    const { blockState, settings } = this.ports;
    const { blockCondition } = this;
    page.isCommitting = true;
    page.writeUrgency = undefined;
    const maxJobs = settings.state.txnOps * jobsPerTransactionOp;
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

  /** A job's record goes with its end, so its version says that the job is open, and placed as we know it. */
  private conditionsOf({ page, key, blockCondition, jobVersions }: PageCommit): Condition[] {
    const openJobs = [...jobVersions].map(([job, version]) => ({ key: jobKey(job.id), version }));
    return [blockCondition, { key, version: page.version }, ...openJobs];
  }

  /** Too large for a value: it is written once enough of its tasks are done. */
  private postponePage(page: LedgerPage): void {
    const { clock, log } = this.ports;
    page.discardBuiltEntries();
    page.isCommitting = false;
    page.markDirty('deferred', clock());
    log.info({ event: 'page-postponed', page: page.index }, 'a page of the ledger is too large for now');
  }

  private confirmCommit({ page, snapshot, attempts }: PageCommit, revision: number): void {
    const { blockState } = this.ports;
    page.version = revision;
    blockState.ledger.markWritten(snapshot.chunks);
    for (const task of snapshot.placing) {
      // Its machine may have gone meanwhile, and another been chosen, which this commit knows nothing of.
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

  /** Their jobs have ended, or the leader has dispatched them anew. Nothing of these intents was sent to anybody. */
  private withdrawRejectedIntents({ snapshot, jobVersions }: PageCommit, failedKeys: string[]): void {
    for (const task of snapshot.placing) {
      const { job } = task;
      if (!failedKeys.includes(jobKey(job.id))) continue;
      // The version that was turned down: its successor may be known here by now.
      job.rejectedVersion = jobVersions.get(job);
      if (task.phase === 'placing') this.ports.blockState.unassign(task);
    }
  }

  /**
   * After a commit that failed or whose fate is unknown. Only this owner writes the page while the block is ours, so
   * whatever version it has now came from one of our own commits, and the next one is built on it. An older one that
   * is still on its way is conditioned on a version that is gone by then.
   */
  private async refreshPageVersion({ page, key }: PageCommit, outcome: CommitOutcome): Promise<void> {
    const { signal, log, settings } = this.ports;
    if (signal.aborted || outcome.kind === 'refused') return;
    if (outcome.kind === 'malformed') {
      log.error({ event: 'page-refused', key }, 'the state service calls a page malformed');
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
    this.ports.log.debug({ event: 'page-read-failed', key, err: error }, 'page not read');
  }
}
