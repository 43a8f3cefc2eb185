import { setMaxListeners } from 'node:events';
import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { runRoutine } from '../base/routine.js';
import type { CloudClient } from '../cloud/client.js';
import type { MachineType } from '../model/types.js';
import { BlockState } from '../placement/block-state.js';
import type { JobIndex } from '../placement/job-index.js';
import type { OrderOfWork } from '../placement/order.js';
import { Scheduler } from '../placement/scheduler.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-stage.js';
import type { Mirror } from '../store/mirror.js';
import { type LedgerLayout, ledgerLayout } from '../placement/ledger-layout.js';
import type { BlockRecord } from '../wire/block-records.js';
import type { Change } from '../wire/state.js';
import { HealthMonitor } from '../workers/health-monitor.js';
import type { MachineState } from '../workers/machine-state.js';
import { BlockWriter } from './block-writer.js';
import { giveTo } from './leasing.js';
import type { Registry } from './registry.js';

export interface BlockLeasesPorts {
  clock: Clock;
  wallClock: () => number;
  log: Log;
  settings: Settings;
  operator: OperatorSettings;
  store: StoreClient;
  commits: CommitQueue;
  mirror: Mirror;
  jobIndex: JobIndex;
  registry: Registry;
  cloud: CloudClient;
  /** The store has lately answered us. */
  inTouch: () => boolean;
  /** None of the machines of a block is heard of. */
  onUnheard: () => void;
  order: OrderOfWork;
  boot: string;
  signal: AbortSignal;
  types: () => ReadonlyMap<string, MachineType>;
}

interface HeldBlock {
  blockState: BlockState;
  scheduler: Scheduler;
  stop: AbortController;
  layout: LedgerLayout;
}

/** The blocks that are leased to this controller, each with its state and its duties. */
export class BlockLeases {
  private readonly held = new Map<number, HeldBlock>();
  private renewing = false;
  /** Revisions of renewals, which the copy must have reached before a block is begun. */
  private readonly renewedAt = new Map<number, number>();
  /** Those of them that were for the sake of a new layout of the ledger. */
  private readonly relaidAt = new Map<number, number>();
  private readonly writer: BlockWriter;

  constructor(private readonly ports: BlockLeasesPorts) {
    this.writer = new BlockWriter(ports);
    // A controller that is stopping must not go on judging machines that it no longer hears.
    const endAll = (): void => {
      for (const [block, heldBlock] of this.held) this.end(block, heldBlock);
    };
    ports.signal.addEventListener('abort', endAll, { once: true });
  }

  blockStates(): BlockState[] {
    return [...this.held.values()].map((heldBlock) => heldBlock.blockState);
  }

  find(machine: string): { blockState: BlockState; scheduler: Scheduler; machine: MachineState } | undefined {
    for (const { blockState, scheduler } of this.held.values()) {
      const found = blockState.machines.get(machine);
      if (found && found.token > 0) return { blockState, scheduler, machine: found };
    }
    return undefined;
  }

  /** Called after every batch of changes of the copy, which is where leases come and go. */
  follow(changes: Change[]): void {
    const { registry, settings, boot, signal } = this.ports;
    if (signal.aborted) return;
    const blocks = registry.blocks();
    const layout = ledgerLayout(settings, registry.upgraded);
    for (const [block, heldBlock] of this.held) {
      const record = blocks.get(block);
      if (record?.owner !== settings.label || record.boot !== boot) this.end(block, heldBlock);
      else if (this.isRelaid(block, heldBlock, layout)) this.end(block, heldBlock);
      else if (heldBlock.blockState.apply(changes)) heldBlock.scheduler.poke();
    }
    for (const [block, record] of blocks) {
      if (record.owner !== settings.label) continue;
      const version = registry.version(block);
      const isOfEarlierLife = record.boot !== boot;
      const isOutdated = this.isOutdated(this.held.get(block), layout);
      const isDue = isOfEarlierLife || (isOutdated && !this.relaidAt.has(block));
      if (isDue && !this.renewing) void this.renew(block, record, isOutdated);
      // Nothing may be committed in the old layout under the version of the renewal.
      if (isOfEarlierLife || (isOutdated && this.renewing)) continue;
      if (version < (this.renewedAt.get(block) ?? 0)) continue;
      const heldBlock = this.held.get(block) ?? this.begin(block, layout);
      if (heldBlock.blockState.version === version) continue;
      heldBlock.blockState.applyBlock(record, version);
      heldBlock.scheduler.poke();
    }
  }

  private isOutdated(heldBlock: HeldBlock | undefined, layout: LedgerLayout): boolean {
    return heldBlock !== undefined && heldBlock.layout.chunkTasks !== layout.chunkTasks;
  }

  /**
   * All controllers read ledgers of the new layout by now. The block goes on as it is until its lease has been renewed, with
   * fresh tokens and a version that leaves what is still under way without its condition, and is then begun anew as after a
   * restart.
   */
  private isRelaid(block: number, heldBlock: HeldBlock, layout: LedgerLayout): boolean {
    const relaidAt = this.relaidAt.get(block) ?? Infinity;
    return this.isOutdated(heldBlock, layout) && this.ports.registry.version(block) >= relaidAt;
  }

  /**
   * A block leased to an earlier life of this process. That life knew which reports were the latest and may have left
   * transactions under way; fresh tokens and a new version of the block put both behind us.
   */
  private async renew(block: number, record: BlockRecord, isOutdated: boolean): Promise<void> {
    const { settings, boot, log } = this.ports;
    this.renewing = true;
    const renewed = { ...record, machines: record.machines.map((m) => ({ ...m })) };
    giveTo(renewed, { label: settings.label, boot, zone: settings.zone });
    const { outcome } = await this.writer.write(block, renewed);
    if (outcome.kind === 'applied') {
      this.renewedAt.set(block, outcome.revision);
      if (isOutdated) this.relaidAt.set(block, outcome.revision);
    }
    log.info({ event: 'lease-renewed', block, outcome: outcome.kind }, 'lease of an earlier life renewed');
    // Whether it was applied, the watch tells; were it not, the next change tries again.
    this.renewing = false;
  }

  private begin(block: number, layout: LedgerLayout): HeldBlock {
    const { ports } = this;
    const { settings, log, clock, wallClock, mirror, order, jobIndex } = ports;
    const stop = new AbortController();
    const { signal } = stop;
    // Every commit that waits for better times listens on it.
    setMaxListeners(0, signal);
    const blockState = new BlockState({
      block,
      layout,
      reportMs: settings.reportMs,
      teams: settings.teams,
      clock,
      wallClock,
      order,
      chainOf: (spec) => jobIndex.chainOf(spec),
    });
    blockState.load(mirror);
    const scheduler = new Scheduler({ ...ports, blockState, signal: stop.signal });
    const healthMonitor = new HealthMonitor({
      ...ports,
      blockState,
      signal: stop.signal,
      onFreed: () => scheduler.poke(),
    });
    const heldBlock = { blockState, scheduler, stop, layout };
    this.held.set(block, heldBlock);
    void runRoutine(`scheduler-${block}`, signal, log, () => scheduler.run());
    void runRoutine(`health-monitor-${block}`, signal, log, () => healthMonitor.run());
    const { chunkTasks } = layout;
    log.info({ event: 'lease-begins', block, jobs: blockState.jobs.size, chunkTasks }, 'block is ours');
    return heldBlock;
  }

  private end(block: number, heldBlock: HeldBlock): void {
    heldBlock.stop.abort();
    this.held.delete(block);
    this.ports.log.info({ event: 'lease-over', block }, 'block is no longer ours');
  }
}
