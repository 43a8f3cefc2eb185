/** Writes the pages of a block's ledger: intents at once, what workers can tell again when there is room for it. */
import { type Clock, sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { Settings } from '../settings/settings.js';
import type { CommitOutcome, StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-stage.js';
import { blockKey, jobKey, ledgerKey } from '../wire/keys.js';
import { ledgerPage } from '../wire/ledger-records.js';
import type { Condition } from '../wire/state.js';
import type { BlockState } from './block-state.js';
import type { JobState } from './job-state.js';
import { type LedgerPage, type PageSnapshot, type RetiredPage, snapshot } from './ledger.js';

/** A controller's even share of the changes of so long is what gathering completions may cost at most. */
const gatherChanges = 4;
/** Likewise for each page of the ledger. */
const gatherPages = 1 / 2;
/** Jobs that one commit of a page places tasks of, likewise: half of the conditions that a transaction can hold. */
const jobsPerCommit = 2;

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
  onWritten: () => void;
}

/** Keeps the pages in the store in step with the state of the block. */
export class LedgerWriter {
  private rejectedVersion = -1;

  constructor(private readonly ports: LedgerWriterPorts) {}

  /**
   * How long completions are gathered before a page is written for their sake alone. Where the store takes few changes, or
   * the pages are many, these must not keep intents waiting.
   */
  private gatherMs(pages: number): number {
    const { reportMs, controllers, state } = this.ports.settings;
    const changes = Math.max(gatherChanges, pages * gatherPages);
    return Math.max(reportMs / 8, (changes * controllers * 1000) / state.writeRps);
  }

  /** When pages that nothing waits for are worth another look. */
  get nextLookMs(): number {
    return this.gatherMs(this.ports.blockState.ledger.pagesInUse) / 2;
  }

  /**
   * Only what can go out at once is gathered: the block's record changes often, and what waits for its turn has been
   * turned down by then. Nor can anything be committed while the store knows the block under another version.
   */
  get mayCommit(): boolean {
    const { blockState, store } = this.ports;
    return blockState.version !== this.rejectedVersion && store.writeWaitMs('duty') === 0;
  }

  /** Commits the pages that are due; only while it may. */
  writePages(): void {
    const { blockState, commits, clock, settings } = this.ports;
    const { ledger } = blockState;
    const gatherMs = this.gatherMs(ledger.pagesInUse);
    const now = clock();
    const pages = [...ledger.pages.values()].filter((page) => !page.busy);
    for (const page of pages) {
      if (commits.full) return;
      if (page.dirt === 'now') page.commit = this.commitPage(page);
    }
    // What can be learned again fills up the next transaction: behind more of it, what comes to press would wait.
    const due = pages
      .filter((page) => page.dirt === 'soon' && now - page.dirtySince > gatherMs)
      .sort((a, b) => a.dirtySince - b.dirtySince);
    for (const page of due.slice(0, Math.max(0, settings.state.txnOps - commits.writableLength))) {
      page.commit = this.commitPage(page);
    }
    if (commits.writableLength === 0) for (const page of ledger.dispensable()) void this.dropPage(page);
  }

  private async dropPage(page: RetiredPage): Promise<void> {
    const { blockState, commits, store, settings, signal, log } = this.ports;
    const key = ledgerKey(blockState.block, page.index);
    page.busy = true;
    const outcome = await commits.commit([this.block, { key, version: page.version }], [{ drop: key }]);
    if (outcome.kind === 'applied') {
      blockState.ledger.retired.delete(page.index);
      return;
    }
    await sleep(settings.reportMs / 4, signal);
    try {
      const stored = await store.read(key);
      if (stored) page.version = stored.version;
      else blockState.ledger.retired.delete(page.index);
    } catch (error) {
      log.debug({ event: 'page-read-failed', key, err: error }, 'page not read');
    } finally {
      page.busy = false;
    }
  }

  private get block(): Condition {
    return { key: blockKey(this.ports.blockState.block), version: this.ports.blockState.version };
  }

  /** Intent before action: only what this commit has confirmed may be sent to a machine. */
  private async commitPage(page: LedgerPage): Promise<void> {
    const { blockState, commits, settings } = this.ports;
    const { block } = this;
    const key = ledgerKey(blockState.block, page.index);
    page.busy = true;
    page.dirt = 'clean';
    const { pageBytes } = blockState.ledger;
    const mostJobs = settings.state.txnOps * jobsPerCommit;
    const shot = snapshot(page, mostJobs, (task) => blockState.takeOff(task), pageBytes);
    if (shot.bytes > pageBytes) return this.putOff(page);
    // A job's record goes with its end, so its version says that the job is open, and placed as we know it.
    const jobs = new Map(shot.placing.map(({ job }) => [job, job.version]));
    const attempts = new Map(shot.placing.map((task) => [task, task.attempt]));
    const open = [...jobs].map(([job, version]) => ({ key: jobKey(job.id), version }));
    const outcome = await commits.commit(
      [block, { key, version: page.version }, ...open],
      [{ put: key, value: ledgerPage(shot.entries) }],
      shot.bytes,
    );
    page.busy = false;
    if (outcome.kind === 'applied') {
      page.version = outcome.revision;
      blockState.ledger.noteWritten(shot.chunks);
      for (const task of shot.placing) {
        // Its machine may have gone meanwhile, and another been chosen, which this commit knows nothing of.
        if (task.phase !== 'placing' || task.attempt !== attempts.get(task)) continue;
        task.phase = 'placed';
        blockState.machines.get(task.machine)?.wake?.();
      }
      for (const { job, indices } of shot.done) job.commitDone(indices);
    } else await this.recover(page, shot, outcome, { block, key, jobs });
    // What became dirty meanwhile goes at once.
    if (!this.ports.signal.aborted && !this.ports.store.failing) this.ports.onWritten();
  }

  /** Too large for a value: it is written once enough of its tasks are done. */
  private putOff(page: LedgerPage): void {
    for (const chunk of page.chunks) chunk.entry = undefined;
    page.busy = false;
    page.soil('soon', this.ports.clock());
    this.ports.log.info(
      { event: 'page-put-off', page: page.index },
      'a page of the ledger is too large for now',
    );
  }

  private async recover(
    page: LedgerPage,
    shot: PageSnapshot,
    outcome: CommitOutcome,
    at: { block: Condition; key: string; jobs: ReadonlyMap<JobState, number> },
  ): Promise<void> {
    const { blockState, clock } = this.ports;
    for (const chunk of page.chunks) chunk.entry = undefined;
    if (outcome.kind === 'conflict') {
      for (const task of shot.placing) {
        // Ended, or dispatched anew by the leader: the watch will tell. Nothing of these intents was sent to anybody.
        if (!outcome.failed.includes(jobKey(task.job.id))) continue;
        // The version that was turned down: the watch may have brought its successor by now.
        task.job.rejected = at.jobs.get(task.job) ?? -1;
        if (task.phase === 'placing') blockState.takeOff(task);
      }
    }
    page.soil(shot.placing.some((task) => task.phase === 'placing') ? 'now' : 'soon', clock());
    await this.settle(outcome, at.block, at.key, page);
  }

  private checkBlock(outcome: CommitOutcome, block: Condition): void {
    if (outcome.kind === 'conflict' && outcome.failed.includes(block.key))
      this.rejectedVersion = block.version;
  }

  /**
   * After a commit that failed or whose fate is unknown. Only this owner writes the page while the block is ours, so
   * whatever version it has now came from one of our own commits, and the next one is built on it. An older one that
   * is still on its way is conditioned on a version that is gone by then.
   */
  private async settle(
    outcome: CommitOutcome,
    block: Condition,
    key: string,
    page: LedgerPage,
  ): Promise<void> {
    const { store, signal, log, settings } = this.ports;
    this.checkBlock(outcome, block);
    if (signal.aborted || outcome.kind === 'refused') return;
    if (outcome.kind === 'malformed') {
      log.error({ event: 'page-refused', key }, 'the state service calls a page malformed');
      page.busy = true;
      await sleep(settings.reportMs, signal);
      page.busy = false;
      return;
    }
    if (outcome.kind === 'conflict' && !outcome.failed.includes(key)) return;
    page.busy = true;
    try {
      page.version = (await store.read(key))?.version ?? 0;
    } catch (error) {
      log.debug({ event: 'page-read-failed', key, err: error }, 'page not read');
    } finally {
      page.busy = false;
    }
  }
}
