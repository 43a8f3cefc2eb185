import assert from 'node:assert/strict';
import { test } from 'node:test';

import { StoreContact } from './store-contact.js';

const served = { status: 200, body: { logline: 7 } };
const outage = { status: 503, body: undefined };

/** A contact whose clock the test sets, and how often it has recovered. */
function createContact(): { contact: StoreContact; state: { now: number; recoveries: number } } {
  const state = { now: 0, recoveries: 0 };
  const contact = new StoreContact(
    () => state.now,
    -1000,
    () => state.recoveries++,
  );
  return { contact, state };
}

/** Whether the contact is failing now; a call, so that each assertion reads it anew. */
const isFailing = (contact: StoreContact): boolean => contact.failing;

test('the store is failing from an outage answer until a request sent later is served', () => {
  const { contact, state } = createContact();
  state.now = 100;
  contact.recordAnswer(50, outage);
  assert.equal(isFailing(contact), true);
  // Sent before the outage answer came: it does not tell that the outage is over.
  contact.recordAnswer(60, served);
  assert.deepEqual([isFailing(contact), state.recoveries], [true, 0]);
  contact.recordAnswer(110, served);
  assert.deepEqual([isFailing(contact), state.recoveries, contact.lastContactAt], [false, 1, 110]);
  contact.recordAnswer(120, served);
  assert.equal(state.recoveries, 1);
});

test('a request without an answer counts only where none sent later has been served', () => {
  const { contact, state } = createContact();
  state.now = 200;
  contact.recordAnswer(150, served);
  contact.recordNoAnswer(100);
  assert.equal(isFailing(contact), false);
  contact.recordNoAnswer(150);
  assert.equal(isFailing(contact), true);
});

test('an answer over the limits proves contact and says nothing of revisions', () => {
  const { contact, state } = createContact();
  state.now = 100;
  contact.recordAnswer(90, { status: 429, body: { logline: 9 } });
  assert.deepEqual([contact.lastContactAt, contact.lastRevisionSeenAt], [90, -Infinity]);
});

test('the revision of an answer proves freshness, and that of a watch proves no contact', () => {
  const { contact } = createContact();
  contact.recordRevision(40, served);
  assert.deepEqual([contact.knownUntil(7), contact.lastContactAt], [40, -1000]);
  contact.recordAnswer(50, { status: 409, body: { logline: 8, failed: [] } });
  assert.deepEqual([contact.knownUntil(7), contact.knownUntil(8), contact.lastRevisionSeenAt], [40, 50, 50]);
});
