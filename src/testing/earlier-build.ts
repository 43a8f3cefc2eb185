/** Builds earlier versions of the program from the history of the repository. */
import { execFileSync } from 'node:child_process';
import { mkdirSync, mkdtempSync, readFileSync, rmSync, symlinkSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

const deployFile = 'deploy/service.toml';

/**
 * Returns the commit that the deploy file names as the version in production.
 *
 * @throws Error if the deploy file names no commit
 */
export function productionCommit(): string {
  const commit = /^production = "([0-9a-f]{40})"$/m.exec(readFileSync(deployFile, 'utf8'))?.[1];
  if (commit === undefined) throw new Error(`${deployFile} contains no line 'production = "<commit>"'`);
  return commit;
}

/** An earlier version that was built in a temporary directory. */
export interface EarlierBuild {
  /** Path of the built program. */
  program: string;
  /** Deletes the temporary directory. */
  remove(): void;
}

/** Builds a commit in a temporary directory, with the installed dependencies of this checkout. */
export function buildCommit(commit: string): EarlierBuild {
  const directory = mkdtempSync(join(tmpdir(), 'shalekeel-earlier-'));
  const archive = execFileSync('git', ['archive', commit], { maxBuffer: 2 ** 30 });
  execFileSync('tar', ['-x', '-C', directory], { input: archive });
  symlinkSync(resolve('node_modules'), join(directory, 'node_modules'));
  mkdirSync(join(directory, 'target'), { recursive: true });
  execFileSync(process.execPath, ['build.js'], { cwd: directory });
  return {
    program: join(directory, 'target', 'main.js'),
    remove: () => rmSync(directory, { recursive: true, force: true }),
  };
}
