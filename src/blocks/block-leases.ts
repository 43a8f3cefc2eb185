import { setMaxListeners } from 'node:events';
import type { Clock } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { runRoutine } from '../base/routine.js';
import type { CloudClient } from '../cloud/client.js';
import type { MachineType } from '../model/types.js';
import { Board } from '../placement/board.js';
import type { Census } from '../placement/census.js';
import type { OrderOfWork } from '../placement/order.js';
import { Scheduler } from '../placement/scheduler.js';
import type { OperatorSettings } from '../settings/operator.js';
import type { Settings } from '../settings/settings.js';
import type { StoreClient } from '../store/client.js';
import type { CommitStage } from '../store/commit-stage.js';
import type { Mirror } from '../store/mirror.js';
import { type BlockRecord, blockKey, blockRecord, leastPageBytes } from '../wire/records.js';
import type { Change } from '../wire/state.js';
import { HealthMonitor } from '../workers/health-monitor.js';
import type { MachineState } from '../workers/machine-state.js';
import { giveTo } from './leasing.js';
import type { Registry } from './registry.js';

export interface TenancyPorts {
  clock: Clock;
  wallClock: () => number;
  log: Log;
  settings: Settings;
  operator: OperatorSettings;
  store: StoreClient;
  commits: CommitStage;
  mirror: Mirror;
  census: Census;
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

/** Changes a second that a controller's share allows for each page that its round is spread over. */
const changesPerPage = 8;
const mostPages = 8;

/**
 * Every page that changes is read by every controller, so small pages cost less where the store takes changes enough. Where
 * it takes few, one page has to carry a whole round.
 */
export function pagesPerValue({ state, controllers }: Pick<Settings, 'state' | 'controllers'>): number {
  const most = Math.min(mostPages, Math.floor(state.valueBytes / leastPageBytes));
  return Math.max(1, Math.min(most, Math.floor(state.writeRps / controllers / changesPerPage)));
}

interface Tenure {
  board: Board;
  scheduler: Scheduler;
  stop: AbortController;
}

/** The blocks that are leased to this controller, each with its board and its duties. */
export class Tenancy {
  private readonly tenures = new Map<number, Tenure>();
  private renewing = false;

  constructor(private readonly ports: TenancyPorts) {
    // A controller that is stopping must not go on judging machines that it no longer hears.
    const endAll = (): void => {
      for (const [block, tenure] of this.tenures) this.end(block, tenure);
    };
    ports.signal.addEventListener('abort', endAll, { once: true });
  }

  boards(): Board[] {
    return [...this.tenures.values()].map((tenure) => tenure.board);
  }

  find(machine: string): { board: Board; scheduler: Scheduler; machine: MachineState } | undefined {
    for (const { board, scheduler } of this.tenures.values()) {
      const found = board.machines.get(machine);
      if (found && found.token > 0) return { board, scheduler, machine: found };
    }
    return undefined;
  }

  /** Called after every batch of changes of the copy, which is where leases come and go. */
  follow(changes: Change[]): void {
    const { registry, settings, boot, signal } = this.ports;
    if (signal.aborted) return;
    const blocks = registry.blocks();
    for (const [block, tenure] of this.tenures) {
      const record = blocks.get(block);
      if (record?.owner !== settings.label || record.boot !== boot) this.end(block, tenure);
      else if (tenure.board.apply(changes)) tenure.scheduler.poke();
    }
    for (const [block, record] of blocks) {
      if (record.owner !== settings.label) continue;
      const version = registry.version(block);
      if (record.boot !== boot) {
        if (!this.renewing) void this.renew(block, record, version);
        continue;
      }
      const tenure = this.tenures.get(block) ?? this.begin(block);
      if (tenure.board.version === version) continue;
      tenure.board.applyBlock(record, version);
      tenure.scheduler.poke();
    }
  }

  /**
   * A block leased to an earlier life of this process. That life knew which reports were the latest and may have left
   * transactions under way; fresh tokens and a new version of the block put both behind us.
   */
  private async renew(block: number, record: BlockRecord, version: number): Promise<void> {
    const { commits, settings, boot, log } = this.ports;
    this.renewing = true;
    const renewed = { ...record, machines: record.machines.map((m) => ({ ...m })) };
    giveTo(renewed, { label: settings.label, boot, zone: settings.zone });
    const outcome = await commits.commit(
      [{ key: blockKey(block), version }],
      [{ put: blockKey(block), value: blockRecord(renewed) }],
    );
    log.info({ event: 'lease-renewed', block, outcome: outcome.kind }, 'lease of an earlier life renewed');
    // Whether it was applied, the watch tells; were it not, the next change tries again.
    this.renewing = false;
  }

  private begin(block: number): Tenure {
    const { ports } = this;
    const { settings, log, clock, wallClock, mirror, order } = ports;
    const stop = new AbortController();
    const { signal } = stop;
    // Every commit that waits for better times listens on it.
    setMaxListeners(0, signal);
    const { valueBytes } = settings.state;
    const pageBytes = valueBytes / pagesPerValue(settings);
    const board = new Board({
      block,
      valueBytes,
      pageBytes,
      reportMs: settings.reportMs,
      teams: settings.teams,
      clock,
      wallClock,
      order,
    });
    board.load(mirror);
    const scheduler = new Scheduler({ ...ports, board, signal: stop.signal });
    const healthMonitor = new HealthMonitor({
      ...ports,
      board,
      signal: stop.signal,
      onFreed: () => scheduler.poke(),
    });
    const tenure = { board, scheduler, stop };
    this.tenures.set(block, tenure);
    void runRoutine(`scheduler-${block}`, signal, log, () => scheduler.run());
    void runRoutine(`health-monitor-${block}`, signal, log, () => healthMonitor.run());
    log.info({ event: 'lease-begins', block, jobs: board.jobs.size }, 'block is ours');
    return tenure;
  }

  private end(block: number, tenure: Tenure): void {
    tenure.stop.abort();
    this.tenures.delete(block);
    this.ports.log.info({ event: 'lease-over', block }, 'block is no longer ours');
  }
}
