import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import type {TestContext} from 'node:test';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {serviceDocumentSchema} from '@medlarlane/model';
import type {ServiceDocument} from '@medlarlane/model';
import {TargetLink} from '@medlarlane/target-link';
import type {ProbeObservation, TargetLinkOptions, TargetRules} from '@medlarlane/target-link';

export const SERVICE = 'tharangam/permit-desk';
const POLL_MS = 5;

export type TargetsInput = Partial<ServiceDocument['targets']>;

export function rulesOf(targets: TargetsInput = {}): TargetRules {
  return serviceDocumentSchema.parse({
    service: SERVICE,
    splitByKey: false,
    targets: {
      slots: 14,
      connections: 120,
      probe: {intervalMs: 20, timeoutMs: 250, failures: 3},
      ...targets,
    },
    stop: {cancellation: true, notifyDrain: true},
  });
}

export interface ObservedLink {
  readonly link: TargetLink;
  readonly probes: ProbeObservation[];
  readonly isGone: () => boolean;
}

export function startLink(
  t: TestContext,
  address: string,
  opts: Partial<TargetLinkOptions> = {},
): ObservedLink {
  const probes: ProbeObservation[] = [];
  let gone = false;
  const link = new TargetLink({
    target: {service: SERVICE, address, incarnation: 'test'},
    rules: rulesOf(),
    onProbe: (probe) => probes.push(probe),
    onGone: () => (gone = true),
    ...opts,
  }).start();
  t.after(() => link.close());
  return {link, probes, isGone: () => gone};
}

/** Waits without an own limit: the time limit of the test runner is the only verdict on time. */
export async function until(condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await condition())) await new Promise((resolve) => setTimeout(resolve, POLL_MS));
}

export interface TargetProcess {
  readonly child: ChildProcess;
  readonly address: string;
}

export async function startTargetProcess(t: TestContext, args: string[]): Promise<TargetProcess> {
  const main = fileURLToPath(
    new URL('./main.js', import.meta.resolve('@medlarlane/example-target')),
  );
  const child = spawn(process.execPath, [main, '--service', SERVICE, ...args], {
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  t.after(async () => {
    if (child.exitCode !== null || child.signalCode !== null) return;
    child.kill('SIGKILL');
    await once(child, 'exit');
  });
  const [line] = (await once(createInterface(child.stdout), 'line')) as [string];
  return {child, address: (JSON.parse(line) as {listening: string}).listening};
}

export interface WorkAnswer {
  readonly status: number;
  readonly ran: string | undefined;
  readonly body: {runs?: number; problem?: string};
}

export async function sendWork(
  address: string,
  headers: Record<string, string> = {},
): Promise<WorkAnswer> {
  const answer = await request(`http://${address}/permits/7`, {headers});
  return {
    status: answer.statusCode,
    ran: answer.headers['medlarlane-ran'] as string | undefined,
    body: (await answer.body.json()) as WorkAnswer['body'],
  };
}
