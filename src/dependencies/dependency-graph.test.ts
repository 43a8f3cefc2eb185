import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { JobSpec } from '../model/types.js';
import { jobSpec } from '../testing/block-stage.js';
import type { OutcomeRecord } from '../wire/job-records.js';
import { DependencyGraph } from './dependency-graph.js';

const done: OutcomeRecord = { outcome: 'done', tasks: 1, endedAt: 5000 };
const cancelled: OutcomeRecord = { outcome: 'cancelled', tasks: 1, endedAt: 5000 };
const everythingOpen = (): boolean => true;

function needs(id: string, dependencies: string[], change: Partial<JobSpec> = {}): JobSpec {
  return { ...jobSpec(id, 1), dependencies, ...change };
}

/** A diamond: `last` needs `left` and `right`, which need `first`. */
function diamond(graph: DependencyGraph): void {
  graph.add(needs('last', ['left', 'right'], { deadlineS: 100, estimatedRunS: 8, urgency: 'high' }));
  graph.add(needs('left', ['first'], { estimatedRunS: 25 }));
  graph.add(needs('right', ['first'], { estimatedRunS: 20, urgency: 'best_effort' }));
}

describe('the graph of dependencies', () => {
  test('a job is ready once all that it needs are done, in whatever order that becomes known', () => {
    const graph = new DependencyGraph(() => 0);
    diamond(graph);
    assert.deepEqual(graph.noteEnd('first', done), ['left', 'right']);
    assert.deepEqual(graph.noteEnd('right', done), []);
    assert.equal(graph.stateOf('last', everythingOpen), 'waiting');
    assert.deepEqual(graph.noteEnd('left', done), ['last']);
    assert.equal(graph.stateOf('last', everythingOpen), 'ready');
  });

  test('times count from the last end that a job waited for, or from its acceptance', () => {
    const graph = new DependencyGraph(() => 0);
    const job = needs('b', ['a', 'z'], { acceptedAt: 1000 });
    graph.add(job);
    graph.noteEnd('a', { ...done, endedAt: 9000 });
    // Earlier versions kept no time of an end.
    graph.noteEnd('z', { outcome: 'done', tasks: 1 });
    assert.equal(graph.readyAt(job), 9000);
    assert.equal(graph.readyAt(needs('c', ['z'], { acceptedAt: 1000 })), 1000);
  });

  test('a cancellation dooms all that needs the job, known before it or after', () => {
    let now = 1;
    const graph = new DependencyGraph(() => now);
    diamond(graph);
    graph.noteEnd('first', cancelled);
    now = 2;
    graph.add(needs('later', ['last']));
    assert.deepEqual(
      [...graph.doomed()],
      [
        ['left', 1],
        ['last', 1],
        ['right', 1],
        ['later', 2],
      ],
    );
    for (const id of ['left', 'right', 'last', 'later']) graph.remove(id);
    assert.deepEqual([...graph.doomed()], []);
  });

  test('a chain of ten in reverse order, and a hundred that need one job, are doomed at once', () => {
    const graph = new DependencyGraph(() => 0);
    for (let i = 9; i > 0; i--) graph.add(needs(`chain-${i}`, [`chain-${i - 1}`]));
    for (let i = 0; i < 100; i++) graph.add(needs(`wide-${i}`, ['chain-9']));
    graph.noteEnd('chain-0', cancelled);
    assert.equal(graph.doomed().size, 109);
  });

  test('a job is unresolved while neither a record nor an end of some job before it is known', () => {
    const graph = new DependencyGraph(() => 0);
    graph.add(needs('last', ['middle']));
    graph.add(needs('middle', ['first']));
    const open = (id: string): boolean => id === 'middle' || id === 'last';
    assert.equal(graph.stateOf('last', open), 'unresolved');
    assert.deepEqual([...graph.unresolved(open)], ['first']);
    graph.noteEnd('first', done);
    assert.equal(graph.stateOf('last', open), 'waiting');
    assert.equal(graph.unresolved(open).size, 0);
  });

  test('ends that this controller has learned before the job count at once', () => {
    const ends = new Map([
      ['a', done],
      ['z', cancelled],
    ]);
    const graph = new DependencyGraph(
      () => 0,
      (id) => ends.get(id),
    );
    graph.add(needs('b', ['a']));
    graph.add(needs('c', ['a', 'z']));
    assert.equal(graph.stateOf('b', everythingOpen), 'ready');
    assert.equal(graph.stateOf('c', everythingOpen), 'doomed');
    assert.equal(graph.isDoomedBy(['z']), true);
    assert.equal(graph.areDone(['a']), true);
  });

  test('priority and the latest end pass backwards, through the longest way', () => {
    const graph = new DependencyGraph(() => 0);
    diamond(graph);
    assert.deepEqual(graph.demandOn(jobSpec('left', 1)), { urgency: 'high', endBy: 92_000 });
    // 100 s, less the 8 of the last one and the 25 of the longer way.
    assert.deepEqual(graph.demandOn(jobSpec('first', 1)), { urgency: 'high', endBy: 67_000 });
    assert.deepEqual(graph.demandOn(jobSpec('alone', 1)), { urgency: 'standard', endBy: undefined });
    graph.remove('last');
    assert.deepEqual(graph.demandOn(jobSpec('first', 1)), { urgency: 'standard', endBy: undefined });
  });
});
