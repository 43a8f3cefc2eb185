/** A test reporter that keeps the outcome of every test in a file. */
import { appendFileSync } from 'node:fs';
import { env } from 'node:process';
import type { TestEvent } from 'node:test/reporters';

const usualFile = 'target/test/outcomes.txt';

/**
 * One line a test, with the word `pass` or `fail` before its name. A suite fails with its tests, and is none. Each line is in
 * the file before the next event is read: `--test-force-exit` ends the process with what streams still hold unwritten.
 */
// eslint-disable-next-line require-yield -- a reporter is a generator, and this one has nothing to say on its stream
export default async function* outcomes(source: AsyncIterable<TestEvent>): AsyncGenerator<string> {
  const file = env['OUTCOMES_FILE'] ?? usualFile;
  for await (const { type, data } of source) {
    if (type !== 'test:pass' && type !== 'test:fail') continue;
    if (data.details.type === 'suite' || data.skip !== undefined || data.todo !== undefined) continue;
    appendFileSync(file, `${type === 'test:pass' ? 'pass' : 'fail'} ${data.name}\n`);
  }
}
