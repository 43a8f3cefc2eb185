/** Checks that the file of test outcomes is complete even if the test runner is forced to exit. */
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
test('${name} fails', () => { throw new Error('this test is meant to fail'); });
test('${name} passes', () => {});
`;

// If the test runner is forced to exit before the outcome of a failed test is written, CI reports a failure
// of the runner instead. If the test is on the list of known failures, CI reports that it did not run.
test('the outcome of every test is written although the runner is forced to exit', () => {
  const directory = mkdtempSync(join(tmpdir(), 'shalekeel-outcomes-'));
  const files = ['a', 'b'].map((name) => join(directory, `${name}.test.mjs`));
  for (const [i, file] of files.entries()) writeFileSync(file, fixture(`test ${i}`));
  const flags = ['--test', '--test-force-exit', `--test-reporter=${reporter}`];
  // With NODE_TEST_CONTEXT set, the nested test runner would report to the outer runner.
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
