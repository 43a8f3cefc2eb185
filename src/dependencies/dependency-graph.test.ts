import assert from 'node:assert/strict';
import { describe, test } from 'node:test';

import type { JobSpec } from '../model/types.js';
import { jobSpec } from '../testing/job-specs.js';
import type { OutcomeRecord } from '../wire/job-records.js';
import { DependencyGraph } from './dependency-graph.js';

const done: OutcomeRecord = { outcome: 'done', tasks: 1, endedAt: 5000 };
const cancelled: OutcomeRecord = { outcome: 'cancelled', tasks: 1, endedAt: 5000 };
const allOpen = (): boolean => true;

function jobWithDependencies(id: string, dependencies: string[], change: Partial<JobSpec> = {}): JobSpec {
  return { ...jobSpec(id, { tasks: 1 }), dependencies, ...change };
}

/** Adds a diamond: `last` depends on `left` and `right`, and both depend on `first`. */
function addDiamond(graph: DependencyGraph): void {
  graph.add(
    jobWithDependencies('last', ['left', 'right'], { deadlineS: 100, estimatedRunS: 8, urgency: 'high' }),
  );
  graph.add(jobWithDependencies('left', ['first'], { estimatedRunS: 25 }));
  graph.add(jobWithDependencies('right', ['first'], { estimatedRunS: 20, urgency: 'best_effort' }));
}

describe('the dependency graph', () => {
  test('a job becomes ready when its last open dependency is done, in any order of the outcomes', () => {
    const graph = new DependencyGraph(() => 0);
    addDiamond(graph);
    assert.deepEqual(graph.recordOutcome('first', done), ['left', 'right']);
    assert.deepEqual(graph.recordOutcome('right', done), []);
    assert.equal(graph.stateOf('last', allOpen), 'waiting');
    assert.deepEqual(graph.recordOutcome('left', done), ['last']);
    assert.equal(graph.stateOf('last', allOpen), 'ready');
  });

  test('waiting time counts from the latest end of a dependency or from acceptance, whichever is later', () => {
    const graph = new DependencyGraph(() => 0);
    const job = jobWithDependencies('b', ['a', 'z'], { acceptedAt: 1000 });
    graph.add(job);
    graph.recordOutcome('a', { ...done, endedAt: 9000 });
    // Outcome records that were written by earlier versions of the program have no `endedAt`.
    graph.recordOutcome('z', { outcome: 'done', tasks: 1 });
    assert.equal(graph.readyAt(job), 9000);
    assert.equal(graph.readyAt(jobWithDependencies('c', ['z'], { acceptedAt: 1000 })), 1000);
  });

  test('a cancellation marks all transitive dependents, whether they are added before or after the cancellation', () => {
    let now = 1;
    const graph = new DependencyGraph(() => now);
    addDiamond(graph);
    graph.recordOutcome('first', cancelled);
    now = 2;
    graph.add(jobWithDependencies('later', ['last']));
    assert.deepEqual(
      [...graph.upstreamCancelled()],
      [
        ['left', 1],
        ['last', 1],
        ['right', 1],
        ['later', 2],
      ],
    );
    for (const id of ['left', 'right', 'last', 'later']) graph.remove(id);
    assert.deepEqual([...graph.upstreamCancelled()], []);
  });

  test('cancelling the first job marks a chain added in reverse order and the hundred dependents of its last job', () => {
    const graph = new DependencyGraph(() => 0);
    for (let i = 9; i > 0; i--) graph.add(jobWithDependencies(`chain-${i}`, [`chain-${i - 1}`]));
    for (let i = 0; i < 100; i++) graph.add(jobWithDependencies(`wide-${i}`, ['chain-9']));
    graph.recordOutcome('chain-0', cancelled);
    assert.equal(graph.upstreamCancelled().size, 109);
  });

  test('a job is unresolved if neither the record nor the outcome of some upstream job is known', () => {
    const graph = new DependencyGraph(() => 0);
    graph.add(jobWithDependencies('last', ['middle']));
    graph.add(jobWithDependencies('middle', ['first']));
    const isOpen = (id: string): boolean => id === 'middle' || id === 'last';
    assert.equal(graph.stateOf('last', isOpen), 'unresolved');
    assert.deepEqual([...graph.unresolved(isOpen)], ['first']);
    graph.recordOutcome('first', done);
    assert.equal(graph.stateOf('last', isOpen), 'waiting');
    assert.equal(graph.unresolved(isOpen).size, 0);
  });

  test('a job whose dependencies already have outcomes is ready or due for cancellation when it is added', () => {
    const knownOutcomes = new Map([
      ['a', done],
      ['z', cancelled],
    ]);
    const graph = new DependencyGraph(
      () => 0,
      (id) => knownOutcomes.get(id),
    );
    graph.add(jobWithDependencies('b', ['a']));
    graph.add(jobWithDependencies('c', ['a', 'z']));
    assert.equal(graph.stateOf('b', allOpen), 'ready');
    assert.equal(graph.stateOf('c', allOpen), 'upstream-cancelled');
    assert.equal(graph.hasCancelledUpstream(['z']), true);
    assert.equal(graph.areDone(['a']), true);
  });

  test('a job inherits the highest urgency of its dependents, and its latest end time from the longest path', () => {
    const graph = new DependencyGraph(() => 0);
    addDiamond(graph);
    assert.deepEqual(graph.downstreamDemand(jobSpec('left', { tasks: 1 })), {
      urgency: 'high',
      endBy: 92_000,
    });
    // The deadline of `last` (100 s) less the run times of `last` (8 s) and `left` (25 s). The run time of
    // `right` is 20 s, so the path through `left` is the longest.
    assert.deepEqual(graph.downstreamDemand(jobSpec('first', { tasks: 1 })), {
      urgency: 'high',
      endBy: 67_000,
    });
    assert.deepEqual(graph.downstreamDemand(jobSpec('alone', { tasks: 1 })), {
      urgency: 'standard',
      endBy: undefined,
    });
    graph.remove('last');
    assert.deepEqual(graph.downstreamDemand(jobSpec('first', { tasks: 1 })), {
      urgency: 'standard',
      endBy: undefined,
    });
  });
});
