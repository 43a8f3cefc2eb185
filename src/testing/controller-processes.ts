/** Runs controllers in separate processes, so that a test can pause and continue them. */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

interface ControllerProcess {
  child: ChildProcess;
  /** Temporary directory with the settings file of the controller. */
  directory: string;
}

export class ControllerProcesses {
  private readonly controllers = new Map<string, ControllerProcess>();

  start(label: string, program: string, settings: string): void {
    const directory = mkdtempSync(join(tmpdir(), 'shalekeel-'));
    const path = join(directory, 'settings.json');
    writeFileSync(path, settings);
    const env = { ...process.env, LOG_LEVEL: process.env['LOG_LEVEL'] ?? 'error' };
    const child = spawn(process.execPath, [program, '--config', path], { stdio: 'inherit', env });
    this.controllers.set(label, { child, directory });
  }

  /**
   * Pauses the process. Data that is sent to it waits in the network buffers, and time continues to pass for
   * it.
   */
  pause(label: string): void {
    this.controllers.get(label)?.child.kill('SIGSTOP');
  }

  continue(label: string): void {
    this.controllers.get(label)?.child.kill('SIGCONT');
  }

  /** Ends the process with SIGKILL, which it cannot handle. */
  kill(label: string): void {
    const controller = this.controllers.get(label);
    if (!controller) return;
    controller.child.kill('SIGKILL');
    rmSync(controller.directory, { recursive: true, force: true });
    this.controllers.delete(label);
  }

  killAll(): void {
    for (const label of [...this.controllers.keys()]) this.kill(label);
  }
}
