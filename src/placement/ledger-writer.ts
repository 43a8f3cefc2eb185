/** Writes the pages of a block's ledger: intents at once, what workers can tell again when there is room for it. */
import { type Clock, sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { CommitOutcome } from '../store/transactions.js';
import { blockKey, jobKey, ledgerKey } from '../wire/keys.js';
import { ledgerPage } from '../wire/ledger-records.js';
import type { Condition } from '../wire/state.js';
import type { BlockState } from './block-state.js';
import type { JobState } from './job-state.js';
import { type LedgerPage, type PageSnapshot, type RetiredPage, snapshotPage } from './ledger.js';

/** A controller's even share of the changes of so long is what gathering completions may cost at most. */
const minGatherChanges = 4;
/** Likewise for each page of the ledger. */
const gatherChangesPerPage = 1 / 2;
/** Jobs that one commit of a page places tasks of, likewise: half of the conditions that a transaction can hold. */
const jobsPerTransactionOp = 2;

export interface LedgerWriterPorts {
  clock: Clock;
  log: Log;
  settings: Settings;
  store: Pick<StoreClient, 'read' | 'failing' | 'writeWaitMs'>;
  commits: CommitQueue;
  blockState: BlockState;
  /** Ends with the lease of the block. */
  signal: AbortSignal;
  /** A page has been committed, or turned down: what changed meanwhile is to be written at once. */
  onCommitSettled: () => void;
}

/** Keeps the pages in the store in step with the state of the block. */
export class LedgerWriter {
  private rejectedBlockVersion = -1;

  constructor(private readonly ports: LedgerWriterPorts) {}

  /**
   * How long completions are gathered before a page is written for their sake alone. Where the store takes few changes, or
   * the pages are many, these must not keep intents waiting.
   */
  private gatherTimeMs(pages: number): number {
    const { heartbeatIntervalMs, controllers, state } = this.ports.settings;
    const changes = Math.max(minGatherChanges, pages * gatherChangesPerPage);
    return Math.max(heartbeatIntervalMs / 8, (changes * controllers * 1000) / state.writeRps);
  }

  /** When pages that nothing waits for are worth another look. */
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

  /** Commits the pages that are due; only while it may. */
  writePages(): void {
    const { blockState, commits, clock, settings } = this.ports;
    const { ledger } = blockState;
    const gatherMs = this.gatherTimeMs(ledger.pagesInUse);
    const now = clock();
    const pages = [...ledger.pages.values()].filter((page) => !page.isCommitting);
    for (const page of pages) {
      if (commits.full) return;
      if (page.writeUrgency === 'now') page.commit = this.commitPage(page);
    }
    // What can be learned again fills up the next transaction: behind more of it, what comes to press would wait.
    const due = pages
      .filter((page) => page.writeUrgency === 'soon' && now - page.dirtySince > gatherMs)
      .sort((a, b) => a.dirtySince - b.dirtySince);
    for (const page of due.slice(0, Math.max(0, settings.state.txnOps - commits.writableLength))) {
      page.commit = this.commitPage(page);
    }
    if (commits.writableLength === 0)
      for (const page of ledger.removablePages()) void this.dropRetiredPage(page);
  }

  private async dropRetiredPage(page: RetiredPage): Promise<void> {
    const { blockState, commits, store, settings, signal, log } = this.ports;
    const key = ledgerKey(blockState.block, page.index);
    page.isDropping = true;
    const outcome = await commits.commit(
      [this.blockCondition, { key, version: page.version }],
      [{ drop: key }],
    );
    if (outcome.kind === 'applied') {
      blockState.ledger.retiredPages.delete(page.index);
      return;
    }
    await sleep(settings.heartbeatIntervalMs / 4, signal);
    try {
      const stored = await store.read(key);
      if (stored) page.version = stored.version;
      else blockState.ledger.retiredPages.delete(page.index);
    } catch (error) {
      log.debug({ event: 'page-read-failed', key, err: error }, 'page not read');
    } finally {
      page.isDropping = false;
    }
  }

  private get blockCondition(): Condition {
    return { key: blockKey(this.ports.blockState.block), version: this.ports.blockState.version };
  }

  /** Intent before action: only what this commit has confirmed may be sent to a machine. */
  private async commitPage(page: LedgerPage): Promise<void> {
    const { blockState, commits, settings } = this.ports;
    const { blockCondition } = this;
    const key = ledgerKey(blockState.block, page.index);
    page.isCommitting = true;
    page.writeUrgency = 'clean';
    const { pageBytes } = blockState.ledger;
    const mostJobs = settings.state.txnOps * jobsPerTransactionOp;
    const pageSnapshot = snapshotPage(page, mostJobs, (task) => blockState.unassign(task), pageBytes);
    if (pageSnapshot.bytes > pageBytes) return this.postponePage(page);
    // A job's record goes with its end, so its version says that the job is open, and placed as we know it.
    const jobs = new Map(pageSnapshot.placing.map(({ job }) => [job, job.version]));
    const attempts = new Map(pageSnapshot.placing.map((task) => [task, task.attempt]));
    const open = [...jobs].map(([job, version]) => ({ key: jobKey(job.id), version }));
    const outcome = await commits.commit(
      [blockCondition, { key, version: page.version }, ...open],
      [{ put: key, value: ledgerPage(pageSnapshot.entries) }],
      pageSnapshot.bytes,
    );
    page.isCommitting = false;
    if (outcome.kind === 'applied') {
      page.version = outcome.revision;
      blockState.ledger.markWritten(pageSnapshot.chunks);
      for (const task of pageSnapshot.placing) {
        // Its machine may have gone meanwhile, and another been chosen, which this commit knows nothing of.
        if (task.phase !== 'placing' || task.attempt !== attempts.get(task)) continue;
        task.phase = 'placed';
        blockState.machines.get(task.machine)?.sendHeldResponse?.();
      }
      for (const { job, indices } of pageSnapshot.done) job.markDoneCommitted(indices);
    } else
      await this.recoverFromFailedCommit(page, pageSnapshot, outcome, { block: blockCondition, key, jobs });
    // What became dirty meanwhile goes at once.
    if (!this.ports.signal.aborted && !this.ports.store.failing) this.ports.onCommitSettled();
  }

  /** Too large for a value: it is written once enough of its tasks are done. */
  private postponePage(page: LedgerPage): void {
    for (const chunk of page.chunks) chunk.entry = undefined;
    page.isCommitting = false;
    page.markDirty('soon', this.ports.clock());
    this.ports.log.info(
      { event: 'page-put-off', page: page.index },
      'a page of the ledger is too large for now',
    );
  }

  private async recoverFromFailedCommit(
    page: LedgerPage,
    snapshot: PageSnapshot,
    outcome: CommitOutcome,
    commit: { block: Condition; key: string; jobs: ReadonlyMap<JobState, number> },
  ): Promise<void> {
    const { blockState, clock } = this.ports;
    for (const chunk of page.chunks) chunk.entry = undefined;
    if (outcome.kind === 'conflict') {
      for (const task of snapshot.placing) {
        // Ended, or dispatched anew by the leader: the watch will tell. Nothing of these intents was sent to anybody.
        if (!outcome.failed.includes(jobKey(task.job.id))) continue;
        // The version that was turned down: the watch may have brought its successor by now.
        task.job.rejectedVersion = commit.jobs.get(task.job) ?? -1;
        if (task.phase === 'placing') blockState.unassign(task);
      }
    }
    page.markDirty(snapshot.placing.some((task) => task.phase === 'placing') ? 'now' : 'soon', clock());
    await this.refreshPageVersion(outcome, commit.block, commit.key, page);
  }

  private noteRejectedBlock(outcome: CommitOutcome, block: Condition): void {
    if (outcome.kind === 'conflict' && outcome.failed.includes(block.key))
      this.rejectedBlockVersion = block.version;
  }

  /**
   * After a commit that failed or whose fate is unknown. Only this owner writes the page while the block is ours, so
   * whatever version it has now came from one of our own commits, and the next one is built on it. An older one that
   * is still on its way is conditioned on a version that is gone by then.
   */
  private async refreshPageVersion(
    outcome: CommitOutcome,
    block: Condition,
    key: string,
    page: LedgerPage,
  ): Promise<void> {
    const { store, signal, log, settings } = this.ports;
    this.noteRejectedBlock(outcome, block);
    if (signal.aborted || outcome.kind === 'refused') return;
    if (outcome.kind === 'malformed') {
      log.error({ event: 'page-refused', key }, 'the state service calls a page malformed');
      page.isCommitting = true;
      await sleep(settings.heartbeatIntervalMs, signal);
      page.isCommitting = false;
      return;
    }
    if (outcome.kind === 'conflict' && !outcome.failed.includes(key)) return;
    page.isCommitting = true;
    try {
      page.version = (await store.read(key))?.version ?? 0;
    } catch (error) {
      log.debug({ event: 'page-read-failed', key, err: error }, 'page not read');
    } finally {
      page.isCommitting = false;
    }
  }
}
