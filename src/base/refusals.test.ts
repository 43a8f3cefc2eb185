import assert from 'node:assert/strict';
import { test } from 'node:test';

import { MalformedMessageError } from '../wire/message-errors.js';
import { createLog } from './log.js';
import { RefusalLog } from './refusals.js';

test('a flood of malformed messages is logged at a limited rate and does not hide those of other sources', () => {
  const lines: Record<string, unknown>[] = [];
  const log = createLog('k0', 'info', {
    write: (line) => void lines.push(JSON.parse(line) as Record<string, unknown>),
  });
  let now = 0;
  const { record } = new RefusalLog(log, () => now);
  const bytes = Buffer.from('dd02000000dd02000000', 'hex');
  const refusal = { path: '/v2/runs', sender: '127.0.0.1:7', bytes };
  const error = new MalformedMessageError('truncated', 5);
  for (let i = 0; i < 25; i++) record({ source: 'user', error, ...refusal });
  assert.equal(lines.length, 10);
  record({ source: 'peer', error, sender: undefined, bytes });
  assert.equal(lines.length, 11);
  assert.equal(lines.at(-1)?.['path'], undefined);
  record({ source: 'store', error, ...refusal, path: 'x'.repeat(10_000) });
  assert.equal(String(lines.at(-1)?.['path']).length, 200);
  now = 1000;
  record({ source: 'user', error, ...refusal });
  const { level, time, node, msg, ...fields } = lines.at(-1) ?? {};
  assert.ok(level !== undefined && time !== undefined && node !== undefined && msg !== undefined);
  assert.deepEqual(fields, {
    event: 'message-refused',
    source: 'user',
    path: '/v2/runs',
    sender: '127.0.0.1:7',
    reason: 'truncated',
    offset: 5,
    length: 10,
    firstBytes: 'dd02000000dd02000000',
    unlogged: 15,
  });
});
