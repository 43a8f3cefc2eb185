import assert from 'node:assert/strict';
import { test } from 'node:test';

import { MachineEvents } from './machine-events.js';

test('machine events of all own blocks are listed for 20 seconds', () => {
  const requestedTimes: number[] = [];
  const blockState = (
    machine: string,
  ): ReturnType<ConstructorParameters<typeof MachineEvents>[1]>[number] => ({
    machinesTerminatedSince: (time) => {
      requestedTimes.push(time);
      return [`terminated-${machine}`];
    },
    machinesBootedSince: (time) => {
      requestedTimes.push(time);
      return [`booted-${machine}`];
    },
  });
  const events = new MachineEvents(
    () => 50_000,
    () => [blockState('a'), blockState('b')],
  );
  assert.deepEqual(events.terminated(), ['terminated-a', 'terminated-b']);
  assert.deepEqual(events.booted(), ['booted-a', 'booted-b']);
  assert.deepEqual(requestedTimes, [30_000, 30_000, 30_000, 30_000]);
});
