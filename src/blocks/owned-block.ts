/**
 * Manages one block from the start to the end of its lease to this controller. A block is a set of machines
 * with the tasks placed on them.
 */
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
import type { StoreReplica } from '../store/store-replica.js';

/** The part of an owned block that its health monitor uses. */
export interface MonitoredBlock {
  blockState: BlockState;
  /** Fires when the lease of the block ends. */
  signal: AbortSignal;
  /**
   * Called by the health monitor after machines have been proven to be terminated and their tasks are waiting
   * again.
   */
  onTasksRequeued: () => void;
}

/** Checks the machines of one block and releases the machines that have failed. */
export interface BlockHealthMonitor {
  /** Runs the checks. Settles when the signal of the block fires. */
  run(): Promise<void>;
}

/** The dependencies of an owned block. */
export interface OwnedBlockPorts {
  clock: Clock;
  /** Wall-clock time in ms since the epoch. */
  wallClock: () => number;
  log: Log;
  settings: Settings;
  store: StoreClient;
  commits: CommitQueue;
  replica: StoreReplica;
  jobIndex: JobIndex;
  order: QueueOrder;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /**
   * Creates the health monitor. The controller supplies this function, so that `src/blocks` does not depend
   * on the health monitor in `src/workers`.
   */
  createHealthMonitor: (block: MonitoredBlock) => BlockHealthMonitor;
}

/** The state of one owned block, with its scheduler and its health monitor. */
export class OwnedBlock {
  /** The jobs, tasks and machines of the block, loaded from the replica of the store. */
  readonly blockState: BlockState;
  /** Places the waiting tasks of the block on its machines. */
  readonly scheduler: Scheduler;
  private readonly abortController = new AbortController();

  /**
   * Loads the state of the block, and starts its scheduler and its health monitor. `layout`: the layout in
   * which this object writes entries of the block's ledger.
   */
  constructor(
    readonly block: number,
    readonly layout: LedgerLayout,
    ports: OwnedBlockPorts,
  ) {
    const { settings, log, clock, wallClock, replica, order, jobIndex } = ports;
    const { signal } = this.abortController;
    // Each commit that waits for a retry adds a listener to the signal, so the number of listeners must not
    // be limited.
    setMaxListeners(0, signal);
    const blockState = new BlockState({
      block,
      layout,
      heartbeatIntervalMs: settings.heartbeatIntervalMs,
      teams: settings.teams,
      clock,
      wallClock,
      queueOrder: order,
      dependencyConstraintsOf: (spec) => jobIndex.dependencyConstraintsOf(spec),
    });
    blockState.load(replica);
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

  /**
   * Stops the scheduler and the health monitor. After that, no task of the block is placed and no machine of
   * the block is released by this controller.
   */
  stop(): void {
    this.abortController.abort();
  }
}
