/**
 * Test fixture: one block, that is, a set of machines with the work placed on them, and its scheduler. The
 * test supplies the outcome of each commit.
 */
import { nextEventLoopIteration } from '../base/event-loop.js';
import { silentLog } from '../base/log.js';
import type { Heartbeat } from '../model/types.js';
import { BlockState } from '../placement/block-state.js';
import { JobIndex } from '../placement/job-index.js';
import type { Task } from '../placement/job-state.js';
import type { LedgerLayout } from '../placement/ledger-layout.js';
import { Scheduler } from '../placement/scheduler.js';
import type { StoreClient } from '../store/client.js';
import type { CommitQueue } from '../store/commit-queue.js';
import type { CommitOutcome } from '../store/transactions.js';
import { parseMachineTypes } from '../wire/cloud.js';
import type { LeasedMachine, QuotaShares } from '../wire/block-records.js';
import { plainTasksPerChunk } from '../wire/ledger-records.js';
import type { Condition } from '../wire/state.js';
import type { MachineState } from '../placement/machine-state.js';
import { machineType } from './cloud-standin.js';
import { jobSpec } from './job-specs.js';
import { testSettings } from './settings.js';

/** Maximum size of a value in the state service in these tests, in bytes. */
export const valueBytes = 32 * 1024;
/** Ledger layout with pages as large as the maximum size of a value in the state service. */
export const valueLayout: LedgerLayout = {
  pageBytes: valueBytes,
  chunkTasks: plainTasksPerChunk(valueBytes),
  isLegacy: true,
};
const jobId = 'req-1';
const firstBlockVersion = 7;
/** The fencing token of the machines m1 and m2. */
export const machineToken = 7;

/** A heartbeat of a machine without tasks. */
export function emptyHeartbeat(machine: string, seq: number): Omit<Heartbeat, 'fencingToken'> {
  const place = { address: 'x', type: 'c8', zone: 'a', spot: false, preemptionNoticeS: null };
  return { machine, ...place, agentEpoch: 1, sequence: seq, tasks: [] };
}

export interface BlockFixture {
  blockState: BlockState;
  scheduler: Scheduler;
  /**
   * Applies the record of the job to the state of the block. `version` is the store revision of the record.
   */
  applyJobRecord: (version: number) => void;
  /**
   * Applies a record of the block to the state of the block. `version` is the store revision of the record,
   * and `leaving` lists the draining machines. The quota shares are those of the fixture's options unless
   * `shares` is given.
   */
  applyBlockRecord: (version: number, change: { shares?: QuotaShares; leaving?: string[] }) => void;
  /** Applies a heartbeat of the machine, which makes the machine usable, and then places tasks on it. */
  place: (machine: string) => Promise<void>;
  stop: AbortController;
  task: (index?: number) => Task | undefined;
}

export interface BlockFixtureOptions {
  /** The team of the job: `blue` has no quota, `red` has a quota. */
  team?: string;
  tasks?: number;
  shares?: QuotaShares;
}

/**
 * Creates a block with the machines m1 and m2 and the job `req-1`.
 *
 * @param answer returns the outcome of a commit with these conditions; may change the block before it returns
 */
export function createBlockFixture(
  answer: (conditions: Condition[], fixture: BlockFixture) => CommitOutcome,
  { team = 'blue', tasks = 1, shares = {} }: BlockFixtureOptions = {},
): BlockFixture {
  const settings = testSettings();
  const blockState = new BlockState({
    block: 0,
    layout: valueLayout,
    heartbeatIntervalMs: 1000,
    clock: () => 0,
    teams: settings.teams,
  });
  const stop = new AbortController();
  const commits = {
    full: false,
    commit: (conditions: Condition[]) => Promise.resolve(answer(conditions, fixture)),
  } as unknown as CommitQueue;
  const scheduler = new Scheduler({
    clock: () => 0,
    wallClock: () => 0,
    log: silentLog,
    settings,
    signal: stop.signal,
    store: { failing: false, writeWaitMs: () => 0 } as unknown as StoreClient,
    commits,
    blockState,
    jobIndex: new JobIndex(() => 0),
    machineTypes: () => new Map(parseMachineTypes({ hulls: [machineType] }).map((t) => [t.name, t])),
  });
  const record = { spec: { ...jobSpec(jobId, { tasks }), team }, parts: [[0, 0, tasks]] };
  const fixture: BlockFixture = {
    blockState,
    scheduler,
    stop,
    applyJobRecord: (version) =>
      void blockState.applyChanges([{ key: `job/${jobId}`, value: record, version, deleted: false }]),
    applyBlockRecord: (version, change) =>
      blockState.applyBlockRecord(
        {
          owner: 'k',
          incarnation: 'b',
          quotaShares: change.shares ?? shares,
          machines: leasedMachines(change.leaving ?? []),
        },
        version,
      ),
    place: async (id) => {
      const machine = blockState.machines.get(id) as MachineState;
      blockState.applyHeartbeat(
        machine,
        { ...emptyHeartbeat(id, machine.sequence + 1), fencingToken: machineToken },
        true,
      );
      scheduler.placeOn(machine);
      await nextEventLoopIteration();
    },
    task: (index = 0) => blockState.jobs.get(jobId)?.tasks.get(index),
  };
  fixture.applyBlockRecord(firstBlockVersion, {});
  fixture.applyJobRecord(3);
  return fixture;
}

function leasedMachines(draining: string[]): LeasedMachine[] {
  return ['m1', 'm2'].map((id) => ({
    id,
    fencingToken: machineToken,
    type: 'c8',
    zone: 'a',
    spot: false,
    rentedAt: 0,
    draining: draining.includes(id),
  }));
}
