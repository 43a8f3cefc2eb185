import { readFileSync } from 'node:fs';
import { argv } from 'node:process';
import { fileURLToPath } from 'node:url';

const most = 3;

export interface Verdict {
  passes: boolean;
  lines: string[];
}

/**
 * What a run of the tests means with the tests that are known to fail: exactly these may. Each line of the list names a
 * test, the cause and the issue: `name | cause | #issue`. A listed test that passes, or that did not run, is an error, and so
 * are more than three.
 */
export function judge(list: string, outcomes: string, runnerFailed: boolean): Verdict {
  const known = list.split('\n').filter((line) => line.trim() !== '');
  const lines: string[] = [];
  const fault = (line: string): void => void lines.push(`error: ${line}`);
  if (known.length > most) fault(`${known.length} tests are listed as known to fail, ${most} at most may be`);
  const results = outcomes.split('\n').filter((line) => line !== '');
  const failed = new Set(results.flatMap((line) => (line.startsWith('fail ') ? [line.slice(5)] : [])));
  const passed = new Set(results.flatMap((line) => (line.startsWith('pass ') ? [line.slice(5)] : [])));
  if (results.length === 0) fault('no test was run');
  if (runnerFailed && failed.size === 0) fault('the runner failed, and not for a test');
  for (const line of known) {
    const [name = '', cause = '', issue = ''] = line.split('|').map((part) => part.trim());
    if (name === '' || cause === '' || !/^#\d+$/.test(issue)) fault(`not "test | cause | #issue": ${line}`);
    else if (passed.has(name)) fault(`listed as known to fail, and passes: ${name}`);
    else if (!failed.delete(name)) fault(`listed as known to fail, and does not exist: ${name}`);
    else lines.push(`known to fail: ${line}`);
  }
  for (const name of failed) fault(`failed: ${name}`);
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
  const { passes, lines } = judge(read(list), read(outcomes), status !== '0');
  for (const line of lines) console.log(line);
  process.exitCode = passes ? 0 : 1;
}
