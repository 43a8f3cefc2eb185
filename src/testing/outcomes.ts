import type { TestEvent } from 'node:test/reporters';

/** A reporter: one line a test, with the word `pass` or `fail` before its name. A suite fails with its tests, and is none. */
export default async function* outcomes(source: AsyncIterable<TestEvent>): AsyncGenerator<string> {
  for await (const { type, data } of source) {
    if (type !== 'test:pass' && type !== 'test:fail') continue;
    if (data.details.type === 'suite' || data.skip !== undefined || data.todo !== undefined) continue;
    yield `${type === 'test:pass' ? 'pass' : 'fail'} ${data.name}\n`;
  }
}
