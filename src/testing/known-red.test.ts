import assert from 'node:assert/strict';
import { test } from 'node:test';
import { judge } from './known-red.js';

const ran = 'pass a\nfail b, with a comma\npass c\n';
const line = 'b, with a comma | the clock drifts | #13\n';

test('exactly the listed tests may fail, and they are printed', () => {
  assert.deepEqual(judge(line, ran, true), { passes: true, lines: [`known to fail: ${line.trim()}`] });
  assert.deepEqual(judge('', 'pass a\n', false), { passes: true, lines: [] });
  assert.deepEqual(judge('', ran, true), { passes: false, lines: ['error: failed: b, with a comma'] });
});

test('a list that does not fit the run fails it', () => {
  const refused = (list: string, outcomes = ran): boolean => !judge(list, outcomes, true).passes;
  assert.ok(refused(`${line}a | it passes | #13\n`));
  assert.ok(refused(`${line}z | it does not exist | #13\n`));
  assert.ok(refused('b, with a comma | no issue\n'));
  assert.ok(refused('b, with a comma\n'));
  const four = ['d', 'e', 'f', 'g'];
  const list = four.map((name) => `${name} | cause | #13\n`);
  const outcomes = four.map((name) => `fail ${name}\n`);
  assert.ok(refused(list.join(''), outcomes.join('')));
  assert.ok(!refused(list.slice(1).join(''), outcomes.slice(1).join('')));
});

test('a run without a test, or that failed without one, does not pass', () => {
  assert.equal(judge('', '', false).passes, false);
  assert.equal(judge('', 'pass a\n', true).passes, false);
});
