import assert from 'node:assert/strict';
import { test } from 'node:test';

import { machineType } from '../testing/cloud-standin.js';
import { parseMachineTypes } from '../wire/cloud.js';
import { MachineTypeCatalog } from './machine-type-catalog.js';

test('machine types listed by the cloud are available by name, and remain so after a request fails', async () => {
  const types = parseMachineTypes({ hulls: [machineType] });
  const responses = [() => Promise.resolve(types), () => Promise.reject(new Error('no answer'))];
  const stop = new AbortController();
  const catalog = new MachineTypeCatalog({
    machineTypes: () => {
      stop.abort();
      return responses.shift()?.() ?? Promise.resolve([]);
    },
  });
  assert.equal(catalog.types.size, 0);
  await catalog.run(stop.signal);
  assert.deepEqual([...catalog.types], [[machineType.name, types[0]]]);
  await assert.rejects(catalog.run(new AbortController().signal), /no answer/);
  assert.equal(catalog.types.size, 1);
});
