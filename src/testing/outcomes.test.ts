/** What the tests' outcomes are judged by has to be whole, however the runner ends. */
import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

const reporter = fileURLToPath(new URL('outcomes.js', import.meta.url));
const runs = 3;

const fixture = (name: string): string =>
  `import { test } from 'node:test';
test('${name} fails', () => { throw new Error('as it is meant to'); });
test('${name} passes', () => {});
`;

// Guards against a red test whose outcome is lost as the runner is forced to end: CI then blamed the runner, and a test
// on the known-red list would have been called one that does not exist.
test('the outcome of every test is on record when the runner is forced to end', () => {
  const directory = mkdtempSync(join(tmpdir(), 'shalekeel-outcomes-'));
  const files = ['a', 'b'].map((name) => join(directory, `${name}.test.mjs`));
  for (const [i, file] of files.entries()) writeFileSync(file, fixture(`test ${i}`));
  const flags = ['--test', '--test-force-exit', `--test-reporter=${reporter}`];
  // A runner within a runner would report to the outer one.
  const env = { ...process.env };
  delete env['NODE_TEST_CONTEXT'];
  try {
    for (let run = 0; run < runs; run++) {
      const outcomesFile = join(directory, `outcomes-${run}.txt`);
      const { status } = spawnSync(
        process.execPath,
        [...flags, '--test-reporter-destination=stderr', ...files],
        { env: { ...env, OUTCOMES_FILE: outcomesFile } },
      );
      assert.equal(status, 1);
      const lines = readFileSync(outcomesFile, 'utf8').trim().split('\n').sort();
      assert.deepEqual(lines, [
        'fail test 0 fails',
        'fail test 1 fails',
        'pass test 0 passes',
        'pass test 1 passes',
      ]);
    }
  } finally {
    rmSync(directory, { recursive: true });
  }
});
