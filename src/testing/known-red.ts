/** Compares the outcomes of a test run with the list of tests that are known to fail. CI runs this file. */
import { readFileSync } from 'node:fs';
import { argv } from 'node:process';
import { fileURLToPath } from 'node:url';

const maxKnownFailures = 3;

/** The result of a comparison: `passes` is true if the test run passes, and `lines` are to be printed. */
export interface ComparisonResult {
  passes: boolean;
  lines: string[];
}

/**
 * Compares a test run with the list of known failures. The run passes if every listed test fails and every
 * other test passes. Each line of the list contains a test, the cause and the issue: `name | cause | #issue`.
 * A listed test that passes or did not run is an error. More than three listed tests are an error.
 *
 * @param list content of the list of known failures
 * @param outcomes one line for each test, `pass` or `fail` and the name of the test
 * @param runnerFailed true if the test runner ended with a status other than 0
 */
export function compareWithKnownFailures(
  list: string,
  outcomes: string,
  runnerFailed: boolean,
): ComparisonResult {
  const knownFailures = list.split('\n').filter((line) => line.trim() !== '');
  const lines: string[] = [];
  const addError = (line: string): void => void lines.push(`error: ${line}`);
  if (knownFailures.length > maxKnownFailures)
    addError(
      `${knownFailures.length} tests are listed as known to fail, but at most ${maxKnownFailures} are allowed`,
    );
  const results = outcomes.split('\n').filter((line) => line !== '');
  const failed = new Set(results.flatMap((line) => (line.startsWith('fail ') ? [line.slice(5)] : [])));
  const passed = new Set(results.flatMap((line) => (line.startsWith('pass ') ? [line.slice(5)] : [])));
  if (results.length === 0) addError('no test was run');
  if (runnerFailed && failed.size === 0) addError('the test runner failed although no test failed');
  for (const line of knownFailures) {
    const [name = '', cause = '', issue = ''] = line.split('|').map((part) => part.trim());
    if (name === '' || cause === '' || !/^#\d+$/.test(issue))
      addError(`expected "test | cause | #issue", got: ${line}`);
    else if (passed.has(name)) addError(`listed as known to fail, but passed: ${name}`);
    else if (!failed.delete(name)) addError(`listed as known to fail, but did not run: ${name}`);
    else lines.push(`known to fail: ${line}`);
  }
  for (const name of failed) addError(`failed: ${name}`);
  return { passes: !lines.some((line) => line.startsWith('error: ')), lines };
}

if (argv[1] === fileURLToPath(import.meta.url)) {
  const [list = '', outcomes = '', status = ''] = argv.slice(2);
  const read = (path: string): string => {
    try {
      return readFileSync(path, 'utf8');
    } catch {
      return '';
    }
  };
  const { passes, lines } = compareWithKnownFailures(read(list), read(outcomes), status !== '0');
  for (const line of lines) console.log(line);
  process.exitCode = passes ? 0 : 1;
}
