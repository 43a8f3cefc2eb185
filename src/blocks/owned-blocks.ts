import { setMaxListeners } from 'node:events';
import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { runRoutine } from '../base/routine.js';
import type { CloudClient } from '../cloud/client.js';
import type { MachineType } from '../model/types.js';
import { BlockState } from '../placement/block-state.js';
import type { JobIndex } from '../placement/job-index.js';
import type { QueueOrder } from '../placement/queue-order.js';
import { Scheduler } from '../placement/scheduler.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { Mirror } from '../store/mirror.js';
import { type LedgerLayout, ledgerLayout } from '../placement/ledger-layout.js';
import type { BlockRecord } from '../wire/block-records.js';
import type { Change } from '../wire/state.js';
import { HealthMonitor } from '../workers/health-monitor.js';
import type { MachineState } from '../placement/machine-state.js';
import { BlockWriter } from './block-writer.js';
import { transferBlock } from './block-assignment.js';
import type { BlockRegistry } from './block-registry.js';

export interface OwnedBlocksPorts {
  clock: Clock;
  wallClock: () => number;
  log: Log;
  settings: Settings;
  operator: OperatorSettings;
  store: StoreClient;
  commits: CommitQueue;
  mirror: Mirror;
  jobIndex: JobIndex;
  registry: BlockRegistry;
  cloud: CloudClient;
  /** The store has lately answered us. */
  isStoreReachable: () => boolean;
  /** None of the machines of a block is heard of. */
  onNoHeartbeats: () => void;
  order: QueueOrder;
  incarnation: string;
  signal: AbortSignal;
  machineTypes: () => ReadonlyMap<string, MachineType>;
}

interface OwnedBlock {
  blockState: BlockState;
  scheduler: Scheduler;
  abortController: AbortController;
  layout: LedgerLayout;
}

/** The blocks that are leased to this controller, each with its state and its duties. */
export class OwnedBlocks {
  private readonly owned = new Map<number, OwnedBlock>();
  private isRenewing = false;
  /** Revisions of renewals, which the copy must have reached before a block is begun. */
  private readonly renewalRevisions = new Map<number, number>();
  /** Those of them that were for the sake of a new layout of the ledger. */
  private readonly layoutRenewalRevisions = new Map<number, number>();
  private readonly writer: BlockWriter;

  constructor(private readonly ports: OwnedBlocksPorts) {
    this.writer = new BlockWriter(ports);
    // A controller that is stopping must not go on judging machines that it no longer hears.
    const endAll = (): void => {
      for (const [block, heldBlock] of this.owned) this.stopBlock(block, heldBlock);
    };
    ports.signal.addEventListener('abort', endAll, { once: true });
  }

  blockStates(): BlockState[] {
    return [...this.owned.values()].map((heldBlock) => heldBlock.blockState);
  }

  findMachine(
    machine: string,
  ): { blockState: BlockState; scheduler: Scheduler; machine: MachineState } | undefined {
    for (const { blockState, scheduler } of this.owned.values()) {
      const found = blockState.machines.get(machine);
      if (found && found.fencingToken > 0) return { blockState, scheduler, machine: found };
    }
    return undefined;
  }

  /** Called after every batch of changes of the copy, which is where leases come and go. */
  applyChanges(changes: Change[]): void {
    const { registry, settings, incarnation, signal } = this.ports;
    if (signal.aborted) return;
    const blocks = registry.blocks();
    const layout = ledgerLayout(settings, registry.isClusterUpgraded);
    for (const [block, heldBlock] of this.owned) {
      const record = blocks.get(block);
      if (record?.owner !== settings.label || record.incarnation !== incarnation)
        this.stopBlock(block, heldBlock);
      else if (this.isLayoutRenewed(block, heldBlock, layout)) this.stopBlock(block, heldBlock);
      else if (heldBlock.blockState.applyChanges(changes)) heldBlock.scheduler.requestRound();
    }
    for (const [block, record] of blocks) {
      if (record.owner !== settings.label) continue;
      const version = registry.blockVersion(block);
      const isOfEarlierLife = record.incarnation !== incarnation;
      const isOutdated = this.hasOutdatedLayout(this.owned.get(block), layout);
      const isDue = isOfEarlierLife || (isOutdated && !this.layoutRenewalRevisions.has(block));
      if (isDue && !this.isRenewing) void this.renewLease(block, record, isOutdated);
      // Nothing may be committed in the old layout under the version of the renewal.
      if (isOfEarlierLife || (isOutdated && this.isRenewing)) continue;
      if (version < (this.renewalRevisions.get(block) ?? 0)) continue;
      const heldBlock = this.owned.get(block) ?? this.startBlock(block, layout);
      if (heldBlock.blockState.version === version) continue;
      heldBlock.blockState.applyBlockRecord(record, version);
      heldBlock.scheduler.requestRound();
    }
  }

  private hasOutdatedLayout(heldBlock: OwnedBlock | undefined, layout: LedgerLayout): boolean {
    return heldBlock !== undefined && heldBlock.layout.chunkTasks !== layout.chunkTasks;
  }

  /**
   * All controllers read ledgers of the new layout by now. The block goes on as it is until its lease has been renewed, with
   * fresh tokens and a version that leaves what is still under way without its condition, and is then begun anew as after a
   * restart.
   */
  private isLayoutRenewed(block: number, heldBlock: OwnedBlock, layout: LedgerLayout): boolean {
    const relaidAt = this.layoutRenewalRevisions.get(block) ?? Infinity;
    return this.hasOutdatedLayout(heldBlock, layout) && this.ports.registry.blockVersion(block) >= relaidAt;
  }

  /**
   * A block leased to an earlier life of this process. That life knew which reports were the latest and may have left
   * transactions under way; fresh tokens and a new version of the block put both behind us.
   */
  private async renewLease(block: number, record: BlockRecord, isOutdated: boolean): Promise<void> {
    const { settings, incarnation, log } = this.ports;
    this.isRenewing = true;
    const renewed = { ...record, machines: record.machines.map((m) => ({ ...m })) };
    transferBlock(renewed, { label: settings.label, incarnation, zone: settings.zone });
    const { outcome } = await this.writer.write(block, renewed);
    if (outcome.kind === 'applied') {
      this.renewalRevisions.set(block, outcome.revision);
      if (isOutdated) this.layoutRenewalRevisions.set(block, outcome.revision);
    }
    log.info({ event: 'lease-renewed', block, outcome: outcome.kind }, 'lease of an earlier life renewed');
    // Whether it was applied, the watch tells; were it not, the next change tries again.
    this.isRenewing = false;
  }

  private startBlock(block: number, layout: LedgerLayout): OwnedBlock {
    const { ports } = this;
    const { settings, log, clock, wallClock, mirror, order, jobIndex } = ports;
    const stop = new AbortController();
    const { signal } = stop;
    // Every commit that waits for better times listens on it.
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
    const scheduler = new Scheduler({ ...ports, blockState, signal: stop.signal });
    const healthMonitor = new HealthMonitor({
      ...ports,
      blockState,
      signal: stop.signal,
      onTasksRequeued: () => scheduler.requestRound(),
    });
    const heldBlock = { blockState, scheduler, abortController: stop, layout };
    this.owned.set(block, heldBlock);
    void runRoutine(`scheduler-${block}`, signal, log, () => scheduler.run());
    void runRoutine(`health-monitor-${block}`, signal, log, () => healthMonitor.run());
    const { chunkTasks } = layout;
    log.info({ event: 'lease-begins', block, jobs: blockState.jobs.size, chunkTasks }, 'block is ours');
    return heldBlock;
  }

  private stopBlock(block: number, heldBlock: OwnedBlock): void {
    heldBlock.abortController.abort();
    this.owned.delete(block);
    this.ports.log.info({ event: 'lease-over', block }, 'block is no longer ours');
  }
}
