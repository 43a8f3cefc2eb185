/** Controllers that run in processes of their own, so that a test can stop and continue them. */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

interface RunningController {
  child: ChildProcess;
  /** Holds its settings. */
  directory: string;
}

export class ControllerProcesses {
  private readonly running = new Map<string, RunningController>();

  start(label: string, program: string, settings: string): void {
    const directory = mkdtempSync(join(tmpdir(), 'shalekeel-'));
    const path = join(directory, 'settings.json');
    writeFileSync(path, settings);
    const env = { ...process.env, LOG_LEVEL: process.env['LOG_LEVEL'] ?? 'error' };
    const child = spawn(process.execPath, [program, '--config', path], { stdio: 'inherit', env });
    this.running.set(label, { child, directory });
  }

  /** It stands still: what is sent to it waits, and its clock runs on. */
  pause(label: string): void {
    this.running.get(label)?.child.kill('SIGSTOP');
  }

  continue(label: string): void {
    this.running.get(label)?.child.kill('SIGCONT');
  }

  /** With no signal that it could heed. */
  kill(label: string): void {
    const controller = this.running.get(label);
    if (!controller) return;
    controller.child.kill('SIGKILL');
    rmSync(controller.directory, { recursive: true, force: true });
    this.running.delete(label);
  }

  killAll(): void {
    for (const label of [...this.running.keys()]) this.kill(label);
  }
}
