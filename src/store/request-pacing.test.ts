import assert from 'node:assert/strict';
import { test } from 'node:test';

import { testSettings } from '../testing/settings.js';
import { RequestPacing } from './request-pacing.js';

/** Measures the rate to which the writes of a traffic class are paced after a burst, in writes per second. */
function writesPerSecond(pacing: RequestPacing, trafficClass: 'intake' | 'duty'): number {
  const writes = 100;
  const initialWaitMs = pacing.writeWaitMs(trafficClass);
  pacing.reserveWrites(trafficClass, writes);
  return (writes * 1000) / (pacing.writeWaitMs(trafficClass) - initialWaitMs);
}

/** Creates a pacing without burst credit, so that further waits depend on the rates alone. */
function createPacingWithoutBurst(): RequestPacing {
  const pacing = new RequestPacing(testSettings(), () => 0);
  pacing.reserveWrites('intake', 100);
  return pacing;
}

test('the write rate depends on the number of controllers, the machine share and leadership', () => {
  const { writeRps } = testSettings().state;
  const pacing = createPacingWithoutBurst();
  const rateOf = (isLeader: boolean, aliveControllers: number, machineShare: number): string => {
    pacing.setRole({ isLeader, aliveControllers, machineShare });
    return (writesPerSecond(pacing, 'duty') / writeRps).toFixed(4);
  };
  assert.equal(rateOf(false, 3, 0), (0.37 / 3).toFixed(4));
  assert.equal(rateOf(false, 3, 1 / 3), ((0.37 + 0.43) / 3).toFixed(4));
  assert.equal(rateOf(true, 3, 1 / 3), ((0.37 + 0.43) / 3 + 0.14).toFixed(4));
  assert.equal(rateOf(true, 1, 1), (0.37 + 0.43 + 0.14).toFixed(4));
  // If more controllers are alive than the settings contain, the number in the settings is the divisor.
  assert.equal(rateOf(false, 9, 0), (0.37 / 3).toFixed(4));
});

test('the writes of submissions are limited to half of the write rate', () => {
  const rateOf = (trafficClass: 'intake' | 'duty'): number => {
    const pacing = createPacingWithoutBurst();
    pacing.setRole({ isLeader: true, aliveControllers: 1, machineShare: 1 });
    return writesPerSecond(pacing, trafficClass);
  };
  assert.equal((rateOf('intake') / rateOf('duty')).toFixed(4), '0.5000');
});

test('submissions wait while the token bucket of all writes is in debt because of other work', () => {
  const pacing = new RequestPacing(testSettings(), () => 0);
  pacing.reserveWrites('duty', 100);
  assert.ok(pacing.writeWaitMs('intake') > 0);
});

test('commits of class `duty` leave half of a burst to submissions', () => {
  const pacing = new RequestPacing(testSettings(), () => 0);
  const burst = testSettings().state.writeRps * 0.5;
  assert.equal(pacing.writeWaitMs('duty'), 0);
  pacing.reserveWrites('duty', 1);
  assert.ok(pacing.writeWaitMs('duty') > 0);
  assert.equal(pacing.writeWaitMs('intake'), 0);
  assert.ok(pacing.writeWaitMs('intake', Math.ceil(burst / 2)) > 0);
});

test('requests of one traffic class do not delay requests of another class', () => {
  const pacing = new RequestPacing(testSettings(), () => 0);
  for (let i = 0; i < 200; i++) pacing.reserveRequest('intake');
  assert.ok(pacing.reserveRequest('intake') > 0);
  assert.equal(pacing.reserveRequest('confirm'), 0);
  assert.equal(pacing.reserveRequest('duty'), 0);
});

test('the pause between watch requests grows with the number of controllers that share the request limit', () => {
  const { heartbeatIntervalMs } = testSettings();
  assert.equal(new RequestPacing(testSettings(), () => 0).watchGapMs, heartbeatIntervalMs * 0.1);
  const manyControllers = { ...testSettings(), controllers: 30 };
  const sharedGapMs = (30 * 1000) / (manyControllers.state.rps * 0.2);
  assert.equal(new RequestPacing(manyControllers, () => 0).watchGapMs, sharedGapMs);
});
