/** A heartbeat handler under test, before a block whose commits are answered by the test. */
import { silentLog } from '../base/log.js';
import type { Reply } from '../base/replies.js';
import type { CommitOutcome } from '../store/transactions.js';
import {
  HeartbeatHandler,
  type HeartbeatHandlerPorts,
  type OwnedMachine,
} from '../workers/heartbeat-handler.js';
import { type BlockStage, createBlockStage, machineToken } from './block-stage.js';

/** What a worker says of one of its tasks of the job `req-1`. */
export interface WorkerTask {
  index: number;
  status: string;
  cause?: string;
}

/** A block with a handler for the heartbeats of its machines m1 and m2. */
export interface HeartbeatFixture extends BlockStage {
  handler: HeartbeatHandler;
  /** All replies so far, in their order. */
  replies: Reply[];
  /** Sends the machine's next heartbeat, under the block's fencing token unless another is given. */
  heartbeat: (machine: string, tasks?: WorkerTask[], fencingToken?: number) => void;
}

/** What a test may set of the stage. */
export interface HeartbeatFixtureOptions extends Partial<HeartbeatHandlerPorts> {
  /** Tasks of the job. */
  tasks: number;
  commit?: () => CommitOutcome;
}

/** Unless the options say otherwise, the handler owns m1 and m2 and may start tasks, and every commit is applied. */
export function createHeartbeatFixture({
  tasks,
  commit,
  ...ports
}: HeartbeatFixtureOptions): HeartbeatFixture {
  const stage = createBlockStage(commit ?? (() => ({ kind: 'applied', revision: 9 })), { tasks });
  const { blockState, scheduler } = stage;
  const findMachine = (id: string): OwnedMachine | undefined => {
    const machine = blockState.machines.get(id);
    return machine && { blockState, scheduler, machine };
  };
  const handler = new HeartbeatHandler({
    clock: () => 0,
    log: silentLog,
    label: 'keel-0',
    findMachine,
    ownerOf: () => undefined,
    leader: () => undefined,
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
  return { ...stage, handler, replies, heartbeat };
}

/** Ends what is held, so that no timer outlives the test for long. */
export function sendHeldResponses({ blockState }: BlockStage): void {
  for (const machine of blockState.machines.values()) machine.sendHeldResponse?.();
}
