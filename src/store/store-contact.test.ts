import assert from 'node:assert/strict';
import { test } from 'node:test';

import { StoreContact } from './store-contact.js';

const served = { status: 200, body: { logline: 7 } };
const outage = { status: 503, body: undefined };

/**
 * Creates a contact with the state of the test: the current time of the contact's clock, and how often the
 * contact has reported a recovery.
 */
function createContact(): { contact: StoreContact; state: { now: number; recoveries: number } } {
  const state = { now: 0, recoveries: 0 };
  const contact = new StoreContact(
    () => state.now,
    -1000,
    () => state.recoveries++,
  );
  return { contact, state };
}

/** Whether the store counts as failing. This is a function, so that each assertion reads the value again. */
const isFailing = (contact: StoreContact): boolean => contact.failing;

test('the store counts as failing from a 503 answer until a request that was sent later is served', () => {
  const { contact, state } = createContact();
  state.now = 100;
  contact.recordAnswer(50, outage);
  assert.equal(isFailing(contact), true);
  // This request was sent before the 503 answer arrived, so its answer does not prove that the outage is
  // over.
  contact.recordAnswer(60, served);
  assert.deepEqual([isFailing(contact), state.recoveries], [true, 0]);
  contact.recordAnswer(110, served);
  assert.deepEqual([isFailing(contact), state.recoveries, contact.lastContactAt], [false, 1, 110]);
  contact.recordAnswer(120, served);
  assert.equal(state.recoveries, 1);
});

test('a request without an answer counts as a failure unless a request that was sent later has been served', () => {
  const { contact, state } = createContact();
  state.now = 200;
  contact.recordAnswer(150, served);
  contact.recordNoAnswer(100);
  assert.equal(isFailing(contact), false);
  contact.recordNoAnswer(150);
  assert.equal(isFailing(contact), true);
});

test('an answer with status 429 proves contact, and its revision is ignored', () => {
  const { contact, state } = createContact();
  state.now = 100;
  contact.recordAnswer(90, { status: 429, body: { logline: 9 } });
  assert.deepEqual([contact.lastContactAt, contact.lastRevisionSeenAt], [90, -Infinity]);
});

test('an answer with a revision proves freshness, and the answer to a watch request does not prove contact', () => {
  const { contact } = createContact();
  contact.recordRevision(40, served);
  assert.deepEqual([contact.knownUntil(7), contact.lastContactAt], [40, -1000]);
  contact.recordAnswer(50, { status: 409, body: { logline: 8, failed: [] } });
  assert.deepEqual([contact.knownUntil(7), contact.knownUntil(8), contact.lastRevisionSeenAt], [40, 50, 50]);
});
