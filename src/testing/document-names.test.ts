/** Checks that the documents name only modules, tests, log events, settings and symbols that exist. */
import assert from 'node:assert/strict';
import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { parseOperatorSettings } from '../settings/operator.js';
import {
  type KnownNames,
  identifiersIn,
  listedEvents,
  loggedEvents,
  operatorEvents,
  unknownNames,
} from './document-names.js';

/**
 * Documents with past measurements and findings. They keep the names that were in use when they were written.
 */
const historicalDocuments = ['docs/measurements.md'];

const settingNames = {
  ladder: ['start', 'cheapStart', 'target', 'slotShare', 'periodS', 'windowS'],
  blocks: ['periodS', 'lookahead'],
  leadership: ['grantReports'],
  workers: ['silentReports', 'bootTimes'],
};

function filesBelow(directory: string): string[] {
  return readdirSync(directory, { withFileTypes: true }).flatMap((entry) => {
    const path = join(directory, entry.name);
    return entry.isDirectory() ? filesBelow(path) : [path];
  });
}

function sourcesOf(files: string[]): string[] {
  return files.filter((file) => file.endsWith('.ts')).map((file) => readFileSync(file, 'utf8'));
}

const files = filesBelow('src');
const sources = sourcesOf(files.filter((file) => !file.endsWith('.test.ts')));
const known: KnownNames = {
  files,
  identifiers: new Set(sources.flatMap(identifiersIn)),
  settings: new Set(
    Object.entries(settingNames).flatMap(([element, names]) => names.map((name) => `${element}/${name}`)),
  ),
};

const documents = [
  'README.md',
  ...filesBelow('docs'),
  ...readdirSync('.').filter((file) => file === 'CONTRIBUTING.md'),
].filter(
  (file) =>
    file.endsWith('.md') && !file.startsWith('docs/incidents/') && !historicalDocuments.includes(file),
);

for (const document of documents) {
  test(`${document} names only modules, tests, settings and symbols that exist`, () => {
    assert.deepEqual(unknownNames(readFileSync(document, 'utf8'), known), []);
  });
}

test("every setting that documents may name is accepted in the operators' settings file", async () => {
  for (const [element, names] of Object.entries(settingNames)) {
    for (const name of names) {
      await parseOperatorSettings(`<shalekeel><${element} ${name}="0.5"/></shalekeel>`);
    }
  }
  await assert.rejects(parseOperatorSettings('<shalekeel><ladder novelty="0.5"/></shalekeel>'));
});

test('the runbook lists every event logged at level info or error, and no event that does not exist', () => {
  const listed = listedEvents(readFileSync('docs/runbook.md', 'utf8'));
  const logged = new Set(sources.flatMap(loggedEvents));
  const unlisted = [...new Set(sources.flatMap(operatorEvents))].filter((event) => !listed.includes(event));
  assert.deepEqual(unlisted, []);
  assert.deepEqual(
    listed.filter((event) => !logged.has(event)),
    [],
  );
  assert.equal(new Set(listed).size, listed.length);
});

test('unknown files, directories, classes, methods and settings are found in a document', () => {
  const document = [
    '`no-such.ts`, `src/nowhere/`, `NoSuchClass`, `Election.noSuchMethod`, `ladder/novelty`',
    'and `election.ts`, `src/leadership/`, `Election.run`, `ladder/start`, `POST /hello`, `run`',
  ].join('\n');
  const missing = ['no-such.ts', 'src/nowhere/', 'NoSuchClass', 'Election.noSuchMethod', 'ladder/novelty'];
  assert.deepEqual(unknownNames(document, known), missing);
  assert.deepEqual(listedEvents('| `start` | a |\n| `joined`, `elected` | b |'), [
    'start',
    'joined',
    'elected',
  ]);
  const source = "log.info({ event: 'start' }); log.debug({ event: 'noise' }); // log.info({ event: 'x' })";
  assert.deepEqual(operatorEvents(source), ['start', 'x']);
  assert.deepEqual(loggedEvents(source), ['start', 'noise', 'x']);
  assert.deepEqual(identifiersIn('/* Gone */ class Here {} // Nowhere'), ['class', 'Here']);
});
