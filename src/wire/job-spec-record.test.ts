import assert from 'node:assert/strict';
import { test } from 'node:test';

import { jobSpec } from '../testing/block-stage.js';
import { encode } from './codec.js';
import { jobRecord, parseJobRecord } from './job-records.js';
import { jobSpecRecord, parseJobSpec } from './job-spec-record.js';

test('a job without dependencies has no field for them, neither stored nor read', () => {
  const spec = jobSpec('req-000001', 3);
  assert.equal('dependencies' in jobSpecRecord(spec), false);
  assert.deepEqual(parseJobSpec(jobSpecRecord(spec)), spec);
  assert.deepEqual(encode(jobSpecRecord(parseJobSpec(jobSpecRecord(spec)))), encode(jobSpecRecord(spec)));
});

// Guards against a leader of this version that dispatches a job and drops what a later version has recorded of it.
test('what a later version has recorded of a job is there when the job is recorded again', () => {
  const stored = { ...jobSpecRecord(jobSpec('req-000001', 3)), novelty: { a: [1] } };
  const job = parseJobRecord({ spec: stored, parts: [] });
  assert.ok(job);
  assert.deepEqual(jobRecord(job), { spec: stored, parts: [] });
});

test('a record that names no job is none', () => {
  assert.equal(parseJobRecord({ spec: { team: 'red' }, parts: [] }), undefined);
  assert.equal(parseJobRecord({ parts: [] }), undefined);
  assert.equal(parseJobRecord([1]), undefined);
});
