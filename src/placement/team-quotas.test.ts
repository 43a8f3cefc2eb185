import assert from 'node:assert/strict';
import { test } from 'node:test';

import { jobSpec } from '../testing/block-stage.js';
import { createJobState } from '../testing/job-states.js';
import { testSettings } from '../testing/settings.js';
import { TeamQuotas } from './team-quotas.js';
import { TeamUsage } from './team-usage.js';

// In the settings `red` has a limit of 32 CPUs and `blue` has none; neither has one of accelerators.
const need = createJobState(jobSpec('req-1', 1)).need;

test('without a share of a limit, the block may use none of it', () => {
  const quotas = new TeamQuotas(testSettings().teams);
  assert.equal(new TeamUsage().admits(quotas.teamWithinShare('red'), need), false);
  assert.equal(new TeamUsage().admits(quotas.teamWithinShare('blue'), need), true);
});

test('the block may use its share of a limit and no more', () => {
  const quotas = new TeamQuotas(testSettings().teams);
  quotas.shares = { red: [2 * need.cpus, 0] };
  const usage = new TeamUsage();
  usage.add('red', need);
  assert.equal(usage.admits(quotas.teamWithinShare('red'), need), true);
  usage.add('red', need);
  assert.equal(usage.admits(quotas.teamWithinShare('red'), need), false);
  assert.equal(usage.exceedsLimit(quotas.teamWithinShare('red')), false);
  usage.add('red', need);
  assert.equal(usage.exceedsLimit(quotas.teamWithinShare('red')), true);
});

test('a team that the settings do not know gets nothing', () => {
  const quotas = new TeamQuotas(testSettings().teams);
  quotas.shares = { green: [8, 0] };
  assert.equal(quotas.teamWithinShare('green'), undefined);
  assert.equal(new TeamUsage().admits(undefined, need), false);
});
