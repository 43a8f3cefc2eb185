/** Checks that no response that renews a worker's lease leaves a reported task of an ended job without a stop. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import { nextEventLoopIteration } from '../base/event-loop.js';
import type { Reply } from '../base/replies.js';
import type { MachineState } from '../placement/machine-state.js';
import { machineToken } from '../testing/block-fixture.js';
import {
  createHeartbeatFixture,
  type HeartbeatFixture,
  sendHeldResponses,
} from '../testing/heartbeat-fixture.js';
import { jobSpec } from '../testing/job-specs.js';
import { seeded } from '../testing/seeded.js';
import { jobKey, outcomeKey } from '../wire/keys.js';

interface Order {
  verb: string;
  piece: string;
  try: number;
  leewayS?: number;
}

interface Piece {
  piece: string;
  try: number;
  status: string;
  cause?: string;
}

const cancelledOutcome = { end: 'cancelled', tasks: 0 };
const stop: Order = { verb: 'halt', piece: 'req-1/0', try: 1, leewayS: 0 };

function ordersOf(reply: Reply | undefined): Order[] {
  return (reply?.body as { orders: Order[] }).orders;
}

function machineOf(fixture: HeartbeatFixture, id: string): MachineState {
  const machine = fixture.blockState.machines.get(id);
  assert.ok(machine);
  return machine;
}

/** Ends the job in the replica, and in the state of the block if `isBlockTold`. */
function endJob({ stored, blockState }: HeartbeatFixture, id: string, isBlockTold = true): void {
  stored.delete(jobKey(id));
  stored.set(outcomeKey(id), { value: cancelledOutcome, version: 9 });
  if (!isBlockTold) return;
  blockState.applyChanges([{ key: outcomeKey(id), value: cancelledOutcome, version: 9, deleted: false }]);
}

describe('a task of a cancelled job is stopped by the response to a heartbeat', () => {
  test('that does not contain the fencing token yet; tasks of open jobs are not', () => {
    const fixture = createHeartbeatFixture({ tasks: 1 });
    fixture.heartbeat('m1', [{ index: 0, status: 'running' }], 0);
    endJob(fixture, 'req-1');
    fixture.heartbeat('m1', [{ index: 0, status: 'running' }], 0);
    assert.deepEqual(fixture.replies.map(ordersOf), [[], [stop]]);
  });

  test('that was overtaken by a later one', () => {
    const fixture = createHeartbeatFixture({ tasks: 1 });
    endJob(fixture, 'req-1');
    Object.assign(machineOf(fixture, 'm1'), { agentEpoch: 1, sequence: 10 });
    fixture.heartbeat('m1', [{ index: 0, status: 'running' }]);
    assert.deepEqual(ordersOf(fixture.replies[0]), [stop]);
  });

  test('whose response was held while the job was cancelled and the store became unreachable', async () => {
    let mayStart = true;
    const fixture = createHeartbeatFixture({ tasks: 1, mayStartTasks: () => mayStart });
    fixture.heartbeat('m1');
    for (let turn = 0; turn < 5; turn++) await nextEventLoopIteration();
    fixture.heartbeat('m1', [{ index: 0, status: 'running' }]);
    assert.equal(fixture.replies.length, 1);
    mayStart = false;
    endJob(fixture, 'req-1');
    assert.deepEqual(ordersOf(fixture.replies[1]), [stop]);
  });

  test('if the job is in no record of this controller any more', () => {
    const fixture = createHeartbeatFixture({ tasks: 1 });
    fixture.stored.delete(jobKey('req-1'));
    fixture.heartbeat('m1', [{ index: 0, status: 'running' }], 0);
    assert.deepEqual(ordersOf(fixture.replies[0]), [stop]);
  });

  test('a heartbeat is not answered with 200 if the replica is too old to tell whether the job has ended', () => {
    const replica = { revision: machineToken - 1, get: () => undefined };
    const fixture = createHeartbeatFixture({ tasks: 1, replica });
    fixture.heartbeat('m1', [{ index: 0, status: 'running' }], 0);
    assert.equal(fixture.replies[0]?.status, 503);
  });
});

/** What the controller knows of a job when the sequence of heartbeats begins. */
const jobOrigins = [
  'in block',
  'in other block',
  'ended in block',
  'ended elsewhere',
  'record gone',
] as const;
const jobIds = ['req-1', 'req-2', 'req-3', 'req-4'];
const taskStates = ['fetching', 'running', 'saving', 'ended'];
const tasksPerJob = 4;
const sequences = 200;
const heartbeatsPerSequence = 12;

/** Draws states of the controller and heartbeats, and records which response belongs to which heartbeat. */
class RandomHeartbeats {
  readonly fixture: HeartbeatFixture;
  private readonly replies: (Reply | undefined)[] = [];
  private readonly replica = { revision: machineToken, get: (key: string) => this.fixture.stored.get(key) };
  private mayStart = true;
  private mayAnswer = true;
  private isScarce = false;
  private ownsBlock = true;
  private sequence = 5;

  constructor(private readonly random: () => number) {
    this.fixture = createHeartbeatFixture({
      tasks: tasksPerJob,
      replica: this.replica,
      mayStartTasks: () => this.mayStart,
      mayAnswerHeartbeats: () => this.mayAnswer,
      areConnectionsScarce: () => this.isScarce,
      ownsBlock: () => this.ownsBlock,
    });
    for (const id of jobIds) this.createJob(id, this.pick(jobOrigins));
  }

  async run(): Promise<void> {
    for (let i = 0; i < heartbeatsPerSequence; i++) {
      this.mayStart = this.chance(0.8);
      this.mayAnswer = this.chance(0.9);
      this.isScarce = this.chance(0.3);
      if (!this.ownsBlock) this.regainBlock();
      this.replica.revision = this.chance(0.9) ? Infinity : 0;
      this.sendHeartbeat();
      if (this.chance(0.4)) this.changeSomething();
      for (let turn = 0; turn < 2; turn++) await nextEventLoopIteration();
      if (this.chance(0.4)) this.changeSomething();
      sendHeldResponses(this.fixture);
    }
  }

  /** The number of heartbeats that have not been answered. */
  get unanswered(): number {
    return this.replies.filter((reply) => reply === undefined).length;
  }

  /** A block that is leased to this controller again is loaded from the replica, with all outcomes. */
  private regainBlock(): void {
    this.ownsBlock = true;
    for (const id of jobIds.filter((id) => this.hasEnded(id))) endJob(this.fixture, id);
  }

  private hasEnded(id: string): boolean {
    return !this.fixture.stored.has(jobKey(id));
  }

  private createJob(id: string, origin: (typeof jobOrigins)[number]): void {
    const { stored, blockState } = this.fixture;
    stored.set(jobKey(id), { value: {}, version: 3 });
    if (origin === 'in block' || origin === 'ended in block') {
      const value = {
        spec: { ...jobSpec(id, { tasks: tasksPerJob }), team: 'blue' },
        parts: [[0, 0, tasksPerJob]],
      };
      blockState.applyChanges([{ key: jobKey(id), value, version: 3, deleted: false }]);
    }
    if (origin === 'ended in block') endJob(this.fixture, id);
    if (origin === 'ended elsewhere') endJob(this.fixture, id);
    if (origin === 'record gone') {
      stored.delete(jobKey(id));
      blockState.applyChanges([{ key: jobKey(id), value: undefined, version: 9, deleted: true }]);
    }
  }

  private sendHeartbeat(): void {
    const machine = machineOf(this.fixture, 'm1');
    const isLate = this.chance(0.2);
    const tick = isLate ? Math.max(0, this.sequence - 2) : ++this.sequence;
    const helm = machine.fencingToken + this.pick([-2, 0, 0, 0, 1]);
    const watch = this.chance(0.1) ? 2 : 1;
    const isNewer = watch > machine.agentEpoch || (watch === machine.agentEpoch && tick > machine.sequence);
    const isReconciled = isNewer && helm === machine.fencingToken;
    const pieces = this.drawPieces();
    const index = this.replies.push(undefined) - 1;
    this.fixture.handler.handle({ host: 'm1', watch, tick, helm, pieces }, (reply) => {
      assert.equal(this.replies[index], undefined, 'a heartbeat was answered twice');
      this.replies[index] = reply;
      this.checkReply(pieces, isReconciled, reply);
    });
  }

  /** The bound is that of the protocol: a response with status 200 renews the lease of the worker. */
  private checkReply(pieces: Piece[], isReconciled: boolean, { status, body }: Reply): void {
    if (status !== 200) return;
    const { orders } = body as { orders: Order[] };
    const stopped = (piece: Piece, verbs: Order[]): boolean =>
      verbs.some(
        (o) => o.verb === 'halt' && o.leewayS === 0 && o.piece === piece.piece && o.try === piece.try,
      );
    for (const piece of pieces.filter((p) => p.status !== 'ended')) {
      const id = piece.piece.split('/')[0] ?? '';
      if (this.hasEnded(id))
        assert.ok(stopped(piece, orders), `${piece.piece} of an ended job is not stopped`);
      else if (!isReconciled) assert.ok(!stopped(piece, orders), `${piece.piece} of an open job is stopped`);
    }
    for (const { verb, piece } of orders)
      if (verb === 'run') assert.ok(!this.hasEnded(piece.split('/')[0] ?? ''), `${piece} is started`);
  }

  private drawPieces(): Piece[] {
    return Array.from({ length: Math.floor(this.random() * 5) }, () => ({
      piece: `${this.pick(jobIds)}/${Math.floor(this.random() * tasksPerJob)}`,
      try: 1 + Math.floor(this.random() * 2),
      status: this.pick(taskStates),
      cause: this.pick(['done', 'stopped', 'error']),
    }));
  }

  private changeSomething(): void {
    const machine = machineOf(this.fixture, 'm1');
    const changes: (() => void)[] = [
      () => {
        endJob(this.fixture, this.pick(jobIds));
      },
      () => {
        this.mayStart = false;
      },
      () => {
        this.ownsBlock = false;
        endJob(this.fixture, this.pick(jobIds), false);
      },
      () => {
        machine.sequence++;
      },
      () => {
        machine.setFencingToken(machine.fencingToken + 3);
      },
      () => {
        machine.releaseReason ??= 'silent';
      },
    ];
    this.pick(changes)();
  }

  private chance(share: number): boolean {
    return this.random() < share;
  }

  private pick<T>(values: readonly T[]): T {
    return values[Math.floor(this.random() * values.length)] as T;
  }
}

test('in random sequences of heartbeats, every response with status 200 stops the reported tasks of ended jobs', async () => {
  for (let seed = 1; seed <= sequences; seed++) {
    const heartbeats = new RandomHeartbeats(seeded(seed));
    await heartbeats.run();
    assert.equal(heartbeats.unanswered, 0, `seed ${seed}`);
  }
});
