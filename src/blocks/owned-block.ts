/** One block that is leased to this controller, from the start of its lease to the end. */
import { setMaxListeners } from 'node:events';

import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { runRoutine } from '../base/routine.js';
import type { MachineType } from '../model/types.js';
import { BlockState } from '../placement/block-state.js';
import type { JobIndex } from '../placement/job-index.js';
import type { LedgerLayout } from '../placement/ledger-layout.js';
import type { QueueOrder } from '../placement/queue-order.js';
import { Scheduler } from '../placement/scheduler.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { Mirror } from '../store/mirror.js';

/** What a monitor of machine health is given of the block whose machines it checks. */
export interface MonitoredBlock {
  blockState: BlockState;
  /** Fires when the lease of the block ends. */
  signal: AbortSignal;
  /** To be called after machines were proven terminated, so that their tasks wait again. */
  onTasksRequeued: () => void;
}

/** Checks the machines of one block and releases failed ones. */
export interface BlockHealthMonitor {
  /** Settles when the signal of the block fires. */
  run(): Promise<void>;
}

/** What a block needs from its controller. */
export interface OwnedBlockPorts {
  clock: Clock;
  /** Time of day in ms. */
  wallClock: () => number;
  log: Log;
  settings: Settings;
  store: StoreClient;
  commits: CommitQueue;
  mirror: Mirror;
  jobIndex: JobIndex;
  order: QueueOrder;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /** Supplied by the controller, since the health monitor of workers builds on this slice. */
  createHealthMonitor: (block: MonitoredBlock) => BlockHealthMonitor;
}

/** State and routines of one owned block. */
export class OwnedBlock {
  /** The block's jobs, tasks and machines, loaded from the replica of the store. */
  readonly blockState: BlockState;
  /** Places the block's waiting tasks. */
  readonly scheduler: Scheduler;
  private readonly abortController = new AbortController();

  /**
   * Loads the state of the block and starts its scheduler and its health monitor. `layout`: how entries of
   * the block's ledger are written for as long as this object lives.
   */
  constructor(
    readonly block: number,
    readonly layout: LedgerLayout,
    ports: OwnedBlockPorts,
  ) {
    const { settings, log, clock, wallClock, mirror, order, jobIndex } = ports;
    const { signal } = this.abortController;
    // Every commit that waits to be retried listens on it.
    setMaxListeners(0, signal);
    const blockState = new BlockState({
      block,
      layout,
      heartbeatIntervalMs: settings.heartbeatIntervalMs,
      teams: settings.teams,
      clock,
      wallClock,
      queueOrder: order,
      dependencyFactsOf: (spec) => jobIndex.dependencyFactsOf(spec),
    });
    blockState.load(mirror);
    const scheduler = new Scheduler({ ...ports, blockState, signal });
    const healthMonitor = ports.createHealthMonitor({
      blockState,
      signal,
      onTasksRequeued: () => scheduler.requestRound(),
    });
    void runRoutine(`scheduler-${block}`, signal, log, () => scheduler.run());
    void runRoutine(`health-monitor-${block}`, signal, log, () => healthMonitor.run());
    this.blockState = blockState;
    this.scheduler = scheduler;
  }

  /** Ends the routines of the block; nothing is placed or released for it after that. */
  stop(): void {
    this.abortController.abort();
  }
}
