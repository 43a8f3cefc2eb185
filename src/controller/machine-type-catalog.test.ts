import assert from 'node:assert/strict';
import { test } from 'node:test';

import { machineType } from '../testing/cloud-standin.js';
import { parseMachineTypes } from '../wire/cloud.js';
import { MachineTypeCatalog } from './machine-type-catalog.js';

test('types that the cloud names are known by name, also after a request that fails', async () => {
  const types = parseMachineTypes({ hulls: [machineType] });
  const answers = [() => Promise.resolve(types), () => Promise.reject(new Error('no answer'))];
  const stop = new AbortController();
  const catalog = new MachineTypeCatalog({
    machineTypes: () => {
      stop.abort();
      return answers.shift()?.() ?? Promise.resolve([]);
    },
  });
  assert.equal(catalog.types.size, 0);
  await catalog.run(stop.signal);
  assert.deepEqual([...catalog.types], [[machineType.name, types[0]]]);
  await assert.rejects(catalog.run(new AbortController().signal), /no answer/);
  assert.equal(catalog.types.size, 1);
});
