/**
 * Replays traces. A trace is a file with heartbeats and other events of one block, and the expected results
 * of each event.
 */
import { readFileSync } from 'node:fs';
import type { Heartbeat, JobSpec, ReportedTask, TaskState } from '../model/types.js';
import { BlockState } from '../placement/block-state.js';
import type { Finding } from '../placement/reconciliation.js';
import type { TaskRange } from '../wire/job-records.js';
import { valueLayout } from './block-fixture.js';

const msPerEvent = 100;

/**
 * Replays a trace against the state of a block, and returns the expected and the actual results. A line that
 * starts with `=` contains an expected result of the preceding event. Every other line is an event. A `#`
 * starts a comment. Events:
 *
 *     block 5 m1:10 m2:10!           record of the block at version 5: machines, fencing tokens; m2 drains
 *     job a v3 0..4                  record of job a at version 3; tasks 0 to 4 are assigned to this block
 *     cancel a                       job a has been cancelled
 *     place a/0 m1                   the scheduler plans to start task 0 of job a on m1 (uncommitted intent)
 *     commit a                       the intents of job a are committed to the ledger
 *     heartbeat m1 e1 s2 t10 a/0.1=running b/1.1=done
 *                                    agent epoch 1, sequence 2, fencing token 10; tasks with their attempts
 *     terminated m1                  the cloud has confirmed that m1 is terminated
 *
 * @throws Error if a line contains an unknown event
 */
export function runTrace(path: string): { expected: string[]; actual: string[] } {
  let now = 0;
  const blockState = new BlockState({
    block: 0,
    layout: valueLayout,
    heartbeatIntervalMs: 1000,
    clock: () => now,
    teams: new Map(),
  });
  const expected: string[] = [];
  const actual: string[] = [];
  for (const rawLine of readFileSync(path, 'utf8').split('\n')) {
    const line = rawLine.replace(/#.*/, '').trim();
    if (line === '') continue;
    if (line.startsWith('=')) {
      expected.push(line.slice(1).trim());
      continue;
    }
    now += msPerEvent;
    actual.push(...applyEvent(blockState, line.split(/\s+/), now));
  }
  return { expected, actual };
}

function applyEvent(
  blockState: BlockState,
  [event = '', subject = '', ...rest]: string[],
  now: number,
): string[] {
  switch (event) {
    case 'block':
      return applyBlockEvent(blockState, Number(subject), rest);
    case 'job':
      return applyJobEvent(blockState, subject, Number(rest[0]?.slice(1)), rest.slice(1));
    case 'cancel':
      return applyCancelEvent(blockState, subject, now);
    case 'place':
      return applyPlaceEvent(blockState, subject, rest[0] ?? '', now);
    case 'commit':
      return applyCommitEvent(blockState, subject);
    case 'terminated':
      return blockState.removeTerminated(subject).map((task) => `requeued ${task.job.id}/${task.index}`);
    case 'heartbeat':
      return applyHeartbeatEvent(blockState, subject, rest);
    default:
      throw new Error(`unknown trace event: ${event}`);
  }
}

function applyBlockEvent(blockState: BlockState, version: number, words: string[]): string[] {
  const machines = words.map((word) => {
    const [id = '', fencingToken] = word.replace('!', '').split(':');
    return {
      id,
      fencingToken: Number(fencingToken),
      draining: word.endsWith('!'),
      type: 'c8',
      zone: 'a',
      spot: false,
      rentedAt: 0,
    };
  });
  blockState.applyBlockRecord({ owner: 'k', incarnation: 'b', quotaShares: {}, machines }, version);
  return [];
}

function applyJobEvent(blockState: BlockState, id: string, version: number, words: string[]): string[] {
  const taskRanges: TaskRange[] = words.map((word) => {
    const [first = 0, last = 0] = word.split('..').map(Number);
    return { block: 0, first, count: last - first + 1 };
  });
  const spec = { id, team: 'red', tasks: 10, cpus: 1, accelerators: 0, memoryGb: 1, image: 'i' } as JobSpec;
  const value = { spec, parts: taskRanges.map(({ block, first, count }) => [block, first, count]) };
  blockState.applyChanges([{ key: `job/${id}`, value, version, deleted: false }]);
  return [];
}

function applyCancelEvent(blockState: BlockState, id: string, version: number): string[] {
  const value = { end: 'cancelled', tasks: 0 };
  blockState.applyChanges([{ key: `end/${id}`, value, version, deleted: false }]);
  return [];
}

function applyPlaceEvent(blockState: BlockState, taskName: string, machineId: string, now: number): string[] {
  const [jobId = '', index] = taskName.split('/');
  const job = blockState.jobs.get(jobId);
  const machine = blockState.machines.get(machineId);
  const task = job?.nextWaitingTask();
  if (!job || !machine || !task) return ['nothing to place'];
  if (task.index !== Number(index)) return [`next is ${jobId}/${task.index}`];
  job.placeTask(task, machineId, now);
  blockState.addTask(task, machine);
  return [];
}

function applyCommitEvent(blockState: BlockState, jobId: string): string[] {
  for (const task of blockState.jobs.get(jobId)?.tasks.values() ?? []) {
    if (task.phase === 'placing') task.phase = 'placed';
  }
  return [];
}

function applyHeartbeatEvent(blockState: BlockState, machineId: string, words: string[]): string[] {
  const machine = blockState.machines.get(machineId);
  if (!machine) return ['not ours'];
  const heartbeat = parseHeartbeatEvent(machineId, words);
  const { status, findings, commands } = blockState.applyHeartbeat(machine, heartbeat, true);
  return [
    status,
    ...findings.map(describeFinding),
    ...commands.map(({ kind, job, index, attempt }) => `${kind} ${job}/${index}.${attempt}`),
  ];
}

function parseHeartbeatEvent(machine: string, words: string[]): Heartbeat {
  const numberAfter = (letter: string): number =>
    Number(words.find((word) => word.startsWith(letter) && !word.includes('/'))?.slice(1));
  return {
    machine,
    address: 'x',
    type: 'c8',
    zone: 'a',
    spot: false,
    preemptionNoticeS: null,
    agentEpoch: numberAfter('e'),
    sequence: numberAfter('s'),
    fencingToken: numberAfter('t'),
    tasks: words.filter((word) => word.includes('/')).map(parseReportedTask),
  };
}

const activeStates = new Set<string>(['fetching', 'running', 'saving'] satisfies TaskState[]);

/**
 * Parses a task such as `a/0.1=running`: job, index, attempt and state. A word after `=` that is not an
 * active state is the cause of the task's end.
 */
function parseReportedTask(word: string): ReportedTask {
  const [, job = '', index, attempt, state = ''] = /^(\w+)\/(\d+)\.(\d+)=(\w+)$/.exec(word) ?? [];
  const ref = { job, index: Number(index), attempt: Number(attempt) };
  return activeStates.has(state)
    ? { ...ref, state: state as TaskState, cause: '' }
    : { ...ref, state: 'ended', cause: state };
}

function describeFinding(finding: Finding): string {
  switch (finding.kind) {
    case 'completed':
      return `completed ${finding.job.id}/${finding.index}`;
    case 'left':
      return `left ${finding.task.job.id}/${finding.task.index} ${finding.cause}`;
    case 'seen':
      return `seen ${finding.task.job.id}/${finding.task.index}`;
  }
}
