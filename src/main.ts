#!/usr/bin/env node
/**
 * The command line. Reads the settings and runs one controller until the process receives SIGINT or SIGTERM.
 */
import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { createLog } from './base/log.js';
import { Controller } from './controller/controller.js';
import { SettingsError } from './settings/errors.js';
import {
  type OperatorSettings,
  defaultOperatorSettings,
  parseOperatorSettings,
} from './settings/operator.js';
import { type Settings, parseSettings } from './settings/settings.js';

const usage = `Usage: shalekeel --config FILE [options]

Runs one controller of the shalekeel cluster scheduler.

Options:
  --config FILE    settings of the platform, JSON (required)
  --operator FILE  operators' own settings, XML
  --check          check the settings and exit
  --version        print the version and exit
  --help           print this text and exit

Environment:
  LOG_LEVEL        error, info (default) or debug; logs go to standard error
`;

/** The command line is wrong: an option is unknown or lacks its value, or `--config` is missing. */
class UsageError extends Error {
  override readonly name = 'UsageError';
}

function version(): string {
  const file = new URL('../package.json', import.meta.url);
  return (JSON.parse(readFileSync(file, 'utf8')) as { version: string }).version;
}

function readSettingsFile(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw new SettingsError(error instanceof Error ? error.message : String(error), { cause: error });
  }
}

/**
 * Reads and parses a settings file.
 * @throws SettingsError if the file cannot be read or its content is wrong. The message begins with the path.
 */
async function parseFile<T>(path: string, parse: (content: string) => T | Promise<T>): Promise<T> {
  try {
    return await parse(readSettingsFile(path));
  } catch (error) {
    if (error instanceof SettingsError)
      throw new SettingsError(`${path}: ${error.message}`, { cause: error });
    throw error;
  }
}

/** Exit status for a wrong command line or a wrong settings file. Any other failure exits with status 1. */
const invalidUsageStatus = 2;

interface CommandLine {
  config: string;
  operator: string | undefined;
  check: boolean;
}

function parseCommandLine(args: string[]): CommandLine | 'help' | 'version' {
  let values;
  try {
    ({ values } = parseArgs({
      args,
      options: {
        config: { type: 'string' },
        operator: { type: 'string' },
        check: { type: 'boolean', default: false },
        version: { type: 'boolean', default: false },
        help: { type: 'boolean', default: false },
      },
    }));
  } catch (error) {
    throw new UsageError(error instanceof Error ? error.message : String(error), { cause: error });
  }
  if (values.help) return 'help';
  if (values.version) return 'version';
  if (values.config === undefined) throw new UsageError('--config FILE is required');
  return { config: values.config, operator: values.operator, check: values.check };
}

async function main(): Promise<void> {
  const command = parseCommandLine(process.argv.slice(2));
  if (command === 'help') return void process.stdout.write(usage);
  if (command === 'version') return void process.stdout.write(`shalekeel ${version()}\n`);
  const settings: Settings = await parseFile(command.config, parseSettings);
  const operator: OperatorSettings =
    command.operator === undefined
      ? defaultOperatorSettings
      : await parseFile(command.operator, parseOperatorSettings);
  if (command.check) return void process.stdout.write('settings are valid\n');
  const log = createLog(settings.label, process.env['LOG_LEVEL']);
  const stop = new AbortController();
  for (const name of ['SIGINT', 'SIGTERM'] as const) process.once(name, () => stop.abort());
  await new Controller(settings, operator, log, stop.signal).run();
}

main().catch((error: unknown) => {
  if (error instanceof SettingsError || error instanceof UsageError) {
    process.stderr.write(`shalekeel: ${error.message}\n`);
    process.exit(invalidUsageStatus);
  }
  process.stderr.write(
    `shalekeel: ${error instanceof Error ? (error.stack ?? error.message) : String(error)}\n`,
  );
  process.exit(1);
});
