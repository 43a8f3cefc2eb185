import assert from 'node:assert/strict';
import { test } from 'node:test';

import { settingsJson } from '../testing/settings.js';
import { SettingsError } from './errors.js';
import { defaultOperatorSettings, parseOperatorSettings } from './operator.js';
import { parseSettings } from './settings.js';

test("the platform's settings file is parsed, and unknown fields are ignored", () => {
  const settings = parseSettings(settingsJson((file) => (file['novelty'] = { a: 1 })));
  assert.equal(settings.label, 'keel-0');
  assert.equal(settings.workerLeaseMs, 14_000);
  assert.equal(settings.teams.get('red')?.cpusMax, 32);
});

test('a settings error names the wrong field', () => {
  const wrong: [(file: Record<string, unknown>) => void, RegExp][] = [
    [(file) => delete file['label'], /label/],
    [(file) => (file['serve_on'] = 'nowhere'), /serve_on: must be HOST:PORT/],
    [
      (file) => ((file['settings'] as { state: Record<string, unknown> }).state['rps'] = 0),
      /settings\.state\.rps/,
    ],
    [
      (file) => ((file['settings'] as { workers: Record<string, unknown> }).workers['cancel_s'] = 10),
      /cancel_s/,
    ],
    // At start-up, a controller rejects limits with which it could not work. The commit of an outcome needs
    // two changes in one transaction, and a page of the ledger needs room for one entry.
    [
      (file) => ((file['settings'] as { state: Record<string, unknown> }).state['txn_ops'] = 1),
      /txn_ops: must be at least 2/,
    ],
    [
      (file) => ((file['settings'] as { state: Record<string, unknown> }).state['value_kb'] = 0.5),
      /value_kb: must be at least 1/,
    ],
    // If less memory were accepted, the process would be killed for its memory use soon after its start.
    [
      (file) => ((file['settings'] as { quota: Record<string, unknown> }).quota['mem_mb'] = 64),
      /mem_mb: must be at least 96/,
    ],
  ];
  for (const [invalidate, message] of wrong) {
    assert.throws(
      () => parseSettings(settingsJson(invalidate)),
      (e) => e instanceof SettingsError && message.test(e.message),
    );
  }
  assert.throws(() => parseSettings('{'), /not valid JSON/);
});

test("the operators' XML file overrides defaults, and unknown or invalid elements are rejected", async () => {
  const settings = await parseOperatorSettings('<shalekeel><ladder start="0.5"/></shalekeel>');
  assert.equal(settings.ladder.initialThresholdShare, 0.5);
  assert.equal(settings.ladder.slotShare, defaultOperatorSettings.ladder.slotShare);
  await assert.rejects(parseOperatorSettings('<shalekeel><ladder start="2"/></shalekeel>'), /ladder\.start/);
  await assert.rejects(parseOperatorSettings('<shalekeel><ladr/></shalekeel>'), /ladr/);
  await assert.rejects(parseOperatorSettings('<shalekeel>'), /XML/);
  await assert.rejects(parseOperatorSettings('<other/>'), /root element/);
});
