/** Tests the comparison that lets CI pass if only tests on the list of known failures fail. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { compareWithKnownFailures } from './known-red.js';

const outcomesOfRun = 'pass a\nfail b, with a comma\npass c\n';
const knownFailure = 'b, with a comma | the clock drifts | #13\n';

test('only listed tests may fail, and the listed tests are printed', () => {
  assert.deepEqual(compareWithKnownFailures(knownFailure, outcomesOfRun, true), {
    passes: true,
    lines: [`known to fail: ${knownFailure.trim()}`],
  });
  assert.deepEqual(compareWithKnownFailures('', 'pass a\n', false), { passes: true, lines: [] });
  assert.deepEqual(compareWithKnownFailures('', outcomesOfRun, true), {
    passes: false,
    lines: ['error: failed: b, with a comma'],
  });
});

test('a run fails if the list of known failures is malformed, too long or contradicts the outcomes', () => {
  const fails = (list: string, outcomes = outcomesOfRun): boolean =>
    !compareWithKnownFailures(list, outcomes, true).passes;
  assert.ok(fails(`${knownFailure}a | it passes | #13\n`));
  assert.ok(fails(`${knownFailure}z | it does not exist | #13\n`));
  assert.ok(fails('b, with a comma | no issue\n'));
  assert.ok(fails('b, with a comma\n'));
  const fourTests = ['d', 'e', 'f', 'g'];
  const list = fourTests.map((name) => `${name} | cause | #13\n`);
  const outcomes = fourTests.map((name) => `fail ${name}\n`);
  assert.ok(fails(list.join(''), outcomes.join('')));
  assert.ok(!fails(list.slice(1).join(''), outcomes.slice(1).join('')));
});

test('a run fails if no test ran, or if the runner failed although no test failed', () => {
  assert.equal(compareWithKnownFailures('', '', false).passes, false);
  assert.equal(compareWithKnownFailures('', 'pass a\n', true).passes, false);
});
