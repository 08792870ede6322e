import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import type {TestContext} from 'node:test';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import type {TargetStats} from '@medlarlane/example-target';

/** An example target in a separate process. */
export interface StartedTarget {
  readonly child: ChildProcess;
  /** Address as `127.0.0.1:<port>`. */
  readonly address: string;
  stats(): Promise<TargetStats>;
}

/** Starts the example target with the flags `args`. The process is killed when the test ends. */
export async function startTargetProcess(t: TestContext, args: string[]): Promise<StartedTarget> {
  const index = import.meta.resolve('@medlarlane/example-target');
  const main = fileURLToPath(new URL('./main.js', index));
  const child = spawn(process.execPath, [main, ...args], {stdio: ['ignore', 'pipe', 'ignore']});
  t.after(async () => {
    if (child.exitCode !== null || child.signalCode !== null) return;
    child.kill('SIGKILL');
    await once(child, 'exit');
  });
  const [line] = (await once(createInterface(child.stdout), 'line')) as [string];
  const address = (JSON.parse(line) as {listening: string}).listening;
  const stats = async (): Promise<TargetStats> =>
    (await (await request(`http://${address}/stats`)).body.json()) as TargetStats;
  return {child, address, stats};
}
