import assert from 'node:assert/strict';
import { test } from 'node:test';

import { jobSpec } from '../testing/job-specs.js';
import { encode } from './codec.js';
import { jobRecord, parseJobRecord } from './job-records.js';
import { jobSpecRecord, parseJobSpec } from './job-spec-record.js';

test('a job without dependencies has no `dependencies` field, neither stored nor after parsing', () => {
  const spec = jobSpec('req-000001', { tasks: 3 });
  assert.equal('dependencies' in jobSpecRecord(spec), false);
  assert.deepEqual(parseJobSpec(jobSpecRecord(spec)), spec);
  assert.deepEqual(encode(jobSpecRecord(parseJobSpec(jobSpecRecord(spec)))), encode(jobSpecRecord(spec)));
});

// A later version may store fields in a job's record that this version does not define. If a leader of this
// version then dispatches the job, it writes the record again, and must not lose these fields.
test('unknown fields in the record of a job are kept when the record is written again', () => {
  const stored = { ...jobSpecRecord(jobSpec('req-000001', { tasks: 3 })), novelty: { a: [1] } };
  const job = parseJobRecord({ spec: stored, parts: [] });
  assert.ok(job);
  assert.deepEqual(jobRecord(job), { spec: stored, parts: [] });
});

test('a job record without a job id is ignored', () => {
  assert.equal(parseJobRecord({ spec: { team: 'red' }, parts: [] }), undefined);
  assert.equal(parseJobRecord({ parts: [] }), undefined);
  assert.equal(parseJobRecord([1]), undefined);
});
