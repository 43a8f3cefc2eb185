import assert from 'node:assert/strict';
import { test } from 'node:test';

import { parseSocketAddress } from './socket-address.js';

test('an address is split into host and port', () => {
  assert.deepEqual(parseSocketAddress('127.0.0.1:18080'), { host: '127.0.0.1', port: 18_080 });
});
