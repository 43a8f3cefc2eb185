import assert from 'node:assert/strict';
import { test } from 'node:test';

import { jobSpec } from '../testing/job-specs.js';
import { createJobState } from '../testing/job-states.js';
import { testSettings } from '../testing/settings.js';
import { TeamQuotas } from './team-quotas.js';
import { TeamUsage } from './team-usage.js';

// In the test settings, team `red` has a limit of 32 CPUs and team `blue` has no CPU limit. Neither team has
// a limit on accelerators.
const need = createJobState(jobSpec('req-1', { tasks: 1 })).need;

test('a block without a share of a team’s limit may not use any of this limit', () => {
  const quotas = new TeamQuotas(testSettings().teams);
  assert.equal(new TeamUsage().admits(quotas.teamWithBlockShare('red'), need), false);
  assert.equal(new TeamUsage().admits(quotas.teamWithBlockShare('blue'), need), true);
});

test('a block may use its share of a team’s limit and no more', () => {
  const quotas = new TeamQuotas(testSettings().teams);
  quotas.shares = { red: [2 * need.cpus, 0] };
  const usage = new TeamUsage();
  usage.add('red', need);
  assert.equal(usage.admits(quotas.teamWithBlockShare('red'), need), true);
  usage.add('red', need);
  assert.equal(usage.admits(quotas.teamWithBlockShare('red'), need), false);
  assert.equal(usage.exceedsLimit(quotas.teamWithBlockShare('red')), false);
  usage.add('red', need);
  assert.equal(usage.exceedsLimit(quotas.teamWithBlockShare('red')), true);
});

test('a team that is not in the settings may not use any resources', () => {
  const quotas = new TeamQuotas(testSettings().teams);
  quotas.shares = { green: [8, 0] };
  assert.equal(quotas.teamWithBlockShare('green'), undefined);
  assert.equal(new TeamUsage().admits(undefined, need), false);
});
