import { readFileSync } from 'node:fs';
import { valueLayout } from './block-stage.js';
import type { JobSpec, ReportedTask } from '../model/types.js';
import { BlockState } from '../placement/block-state.js';
import type { TaskRange } from '../wire/job-records.js';

/**
 * Runs a kept trace against a block. A line is an event; a line that starts with `=` is what must come of the
 * event before it. `#` starts a comment. Events:
 *
 *     block 5 m1:10 m2:10!           the block's record at version 5: machines with tokens, `!` is leaving
 *     job a v3 0..4                  job a at version 3; this block has tasks 0 to 4
 *     end a                          job a has been cancelled
 *     place a/0 m1                   an intent, not committed yet
 *     commit a                       what is placed of job a is committed
 *     report m1 s1 n2 t10 a/0.1=running b/1.1=done
 *     gone m1                        the cloud has proven the machine gone
 */
export function runTrace(path: string): { expected: string[]; actual: string[] } {
  const blockState = new BlockState({
    block: 0,
    layout: valueLayout,
    heartbeatIntervalMs: 1000,
    clock: () => now,
    teams: new Map(),
  });
  let now = 0;
  const expected: string[] = [];
  const actual: string[] = [];
  for (const rawLine of readFileSync(path, 'utf8').split('\n')) {
    const line = rawLine.replace(/#.*/, '').trim();
    if (line === '') continue;
    if (line.startsWith('=')) {
      expected.push(line.slice(1).trim());
      continue;
    }
    now += 100;
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
    case 'end': {
      const change = {
        key: `end/${subject}`,
        value: { end: 'cancelled', tasks: 0 },
        version: now,
        deleted: false,
      };
      blockState.applyChanges([change]);
      return [];
    }
    case 'place':
      return applyPlaceEvent(blockState, subject, rest[0] ?? '', now);
    case 'commit':
      for (const task of blockState.jobs.get(subject)?.tasks.values() ?? []) {
        if (task.phase === 'placing') task.phase = 'placed';
      }
      return [];
    case 'gone':
      return blockState.removeTerminated(subject).map((task) => `waits ${task.job.id}/${task.index}`);
    case 'report':
      return applyHeartbeatEvent(blockState, subject, rest);
    default:
      throw new Error(`no such event: ${event}`);
  }
}

function applyBlockEvent(blockState: BlockState, version: number, machines: string[]): string[] {
  const leased = machines.map((word) => {
    const [id = '', token] = word.replace('!', '').split(':');
    const place = { type: 'c8', zone: 'a', spot: false, rentedAt: 0 };
    return { id, fencingToken: Number(token), draining: word.endsWith('!'), ...place };
  });
  blockState.applyBlockRecord({ owner: 'k', incarnation: 'b', quotaShares: {}, machines: leased }, version);
  return [];
}

function applyJobEvent(blockState: BlockState, id: string, version: number, ranges: string[]): string[] {
  const parts: TaskRange[] = ranges.map((range) => {
    const [first = 0, last = 0] = range.split('..').map(Number);
    return { block: 0, first, count: last - first + 1 };
  });
  const spec = { id, team: 'red', tasks: 10, cpus: 1, accelerators: 0, memoryGb: 1, image: 'i' } as JobSpec;
  const value = { spec, parts: parts.map((p) => [p.block, p.first, p.count]) };
  blockState.applyChanges([{ key: `job/${id}`, value, version, deleted: false }]);
  return [];
}

function applyPlaceEvent(blockState: BlockState, task: string, machine: string, now: number): string[] {
  const [id = '', index] = task.split('/');
  const state = blockState.jobs.get(id);
  const on = blockState.machines.get(machine);
  const next = state?.nextWaitingTask();
  if (!state || !on || !next) return ['nothing to place'];
  if (next.index !== Number(index)) return [`next is ${id}/${next.index}`];
  state.placeTask(next, machine, now);
  blockState.addTask(next, on);
  return [];
}

function applyHeartbeatEvent(blockState: BlockState, machine: string, words: string[]): string[] {
  const numberOf = (letter: string): number =>
    Number(words.find((w) => w.startsWith(letter) && !w.includes('/'))?.slice(1));
  const tasks: ReportedTask[] = words
    .filter((word) => word.includes('/'))
    .map((word) => {
      const [, jobId = '', index, attempt, state = ''] = /^(\w+)\/(\d+)\.(\d+)=(\w+)$/.exec(word) ?? [];
      const active = state === 'running' || state === 'fetching' || state === 'saving';
      const ref = { job: jobId, index: Number(index), attempt: Number(attempt) };
      return { ...ref, state: active ? state : 'ended', cause: active ? '' : state };
    });
  const found = blockState.machines.get(machine);
  if (!found) return ['not ours'];
  const facts = { machine, address: 'x', type: 'c8', zone: 'a', spot: false, preemptionNoticeS: null, tasks };
  const numbers = { agentEpoch: numberOf('s'), sequence: numberOf('n'), fencingToken: numberOf('t') };
  const result = blockState.applyHeartbeat(found, { ...facts, ...numbers }, true);
  const findings = result.findings.map((f) =>
    f.kind === 'completed'
      ? `completed ${f.job.id}/${f.index}`
      : `${f.kind} ${f.task.job.id}/${f.task.index}${f.kind === 'left' ? ` ${f.cause}` : ''}`,
  );
  const orders = result.commands.map((o) => `${o.kind} ${o.job}/${o.index}.${o.attempt}`);
  return [result.verdict, ...findings, ...orders];
}
