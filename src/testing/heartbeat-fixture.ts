/** Test fixture: a heartbeat handler for one block. The test supplies the outcome of each commit. */
import { silentLog } from '../base/log.js';
import type { Reply } from '../base/replies.js';
import type { CommitOutcome } from '../store/transactions.js';
import { jobKey, type StoredValue } from '../wire/keys.js';
import {
  HeartbeatHandler,
  type HeartbeatHandlerPorts,
  type OwnedMachine,
} from '../workers/heartbeat-handler.js';
import type { HeartbeatExchange } from '../workers/heartbeat-log.js';
import { type BlockFixture, createBlockFixture, machineToken } from './block-fixture.js';

/** A task of the job `req-1` as a worker reports it in a heartbeat. */
export interface WorkerTask {
  index: number;
  status: string;
  cause?: string;
}

/** A block with a handler for the heartbeats of its machines m1 and m2. */
export interface HeartbeatFixture extends BlockFixture {
  handler: HeartbeatHandler;
  /** The records and outcomes in the replica of the store: at first, the record of `req-1`. */
  stored: Map<string, StoredValue>;
  /** The answered heartbeats that the handler has passed to its log. */
  exchanges: HeartbeatExchange[];
  /** All replies so far, in the order in which they were sent. */
  replies: Reply[];
  /** Sends the next heartbeat of the machine, by default with the current fencing token of the machine. */
  heartbeat: (machine: string, tasks?: WorkerTask[], fencingToken?: number) => void;
}

/** The options of a fixture: ports of the handler, the number of tasks, and the outcome of commits. */
export interface HeartbeatFixtureOptions extends Partial<HeartbeatHandlerPorts> {
  /** Number of tasks of the job. */
  tasks: number;
  commit?: () => CommitOutcome;
  /** Whether this controller owns the block. */
  ownsBlock?: () => boolean;
}

/**
 * Creates a fixture. By default the controller owns the block of m1 and m2, it may start tasks and answer
 * heartbeats, and every commit is applied.
 */
export function createHeartbeatFixture({
  tasks,
  commit,
  ownsBlock = () => true,
  ...ports
}: HeartbeatFixtureOptions): HeartbeatFixture {
  const blockFixture = createBlockFixture(commit ?? (() => ({ kind: 'applied', revision: 9 })), { tasks });
  const { blockState, scheduler } = blockFixture;
  const findMachine = (id: string): OwnedMachine | undefined => {
    const machine = blockState.machines.get(id);
    return machine && ownsBlock() ? { blockState, scheduler, machine } : undefined;
  };
  const stored = new Map<string, StoredValue>([[jobKey('req-1'), { value: {}, version: 3 }]]);
  const exchanges: HeartbeatExchange[] = [];
  const handler = new HeartbeatHandler({
    clock: () => 0,
    log: silentLog,
    heartbeatLog: { record: (exchange) => void exchanges.push(exchange) },
    label: 'keel-0',
    findMachine,
    ownerOf: () => undefined,
    leader: () => undefined,
    replica: { revision: machineToken, get: (key) => stored.get(key) },
    mayStartTasks: () => true,
    mayAnswerHeartbeats: () => true,
    areConnectionsScarce: () => false,
    heartbeatIntervalMs: 1000,
    maxCommitWaitMs: 250,
    ...ports,
  });
  const replies: Reply[] = [];
  let sequence = 0;
  const heartbeat = (machine: string, reported: WorkerTask[] = [], fencingToken = machineToken): void => {
    const pieces = reported.map(({ index, status, cause = '' }) => ({
      piece: `req-1/${index}`,
      try: 1,
      status,
      cause,
    }));
    const body = { host: machine, watch: 1, tick: ++sequence, helm: fencingToken, pieces };
    handler.handle(body, (reply) => void replies.push(reply));
  };
  return { ...blockFixture, handler, stored, exchanges, replies, heartbeat };
}

/** Sends all held responses, so that their timers do not keep the test process running. */
export function sendHeldResponses({ blockState }: BlockFixture): void {
  for (const machine of blockState.machines.values()) machine.sendHeldResponse?.();
}
