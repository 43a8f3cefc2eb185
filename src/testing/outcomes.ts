/** A test reporter that writes the outcome of every test to a file. */
import { appendFileSync } from 'node:fs';
import { env } from 'node:process';
import type { TestEvent } from 'node:test/reporters';

const defaultFile = 'target/test/outcomes.txt';

/**
 * Writes one line for each test: `pass` or `fail`, and the name of the test. Suites are left out, because a
 * suite fails if one of its tests fails. Each line is appended to the file before the next event is read,
 * because `--test-force-exit` ends the process without flushing its streams.
 */
// eslint-disable-next-line require-yield -- reporters are generators; this one yields nothing
export default async function* outcomes(source: AsyncIterable<TestEvent>): AsyncGenerator<string> {
  const file = env['OUTCOMES_FILE'] ?? defaultFile;
  for await (const { type, data } of source) {
    if (type !== 'test:pass' && type !== 'test:fail') continue;
    if (data.details.type === 'suite' || data.skip !== undefined || data.todo !== undefined) continue;
    appendFileSync(file, `${type === 'test:pass' ? 'pass' : 'fail'} ${data.name}\n`);
  }
}
