import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import type {TestContext} from 'node:test';
import {runCli} from '@medlarlane/cli';
import {systemClock} from '@medlarlane/lifecycle';
import {FakeAdminServer, TOKEN} from './fakeAdminServer.js';

export interface CliResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

export interface CliFixture {
  readonly server: FakeAdminServer;
  readonly endpoint: string;
  /** Returns the path of a file in the test's temporary folder. */
  readonly file: (name: string) => string;
  readonly write: (name: string, text: string) => Promise<string>;
  /** Runs the tool with the fake server as endpoint; `env` overrides variables. */
  readonly run: (argv: readonly string[], env?: Record<string, string>) => Promise<CliResult>;
  /** Creates the key file `team.key` and claims the team with it. */
  readonly claimTeam: (team: string) => Promise<void>;
}

export async function startCliFixture(context: TestContext): Promise<CliFixture> {
  const folder = await mkdtemp(path.join(tmpdir(), 'medlarlane-cli-'));
  const server = new FakeAdminServer();
  const endpoint = await server.listen();
  context.after(async () => {
    await server.close();
    await rm(folder, {recursive: true});
  });
  const file = (name: string): string => path.join(folder, name);
  const write = async (name: string, text: string): Promise<string> => {
    await writeFile(file(name), text);
    return file(name);
  };
  await write('token', `${TOKEN}\n`);
  const defaults = {MEDLARLANE_ENDPOINT: endpoint, MEDLARLANE_TOKEN_FILE: file('token')};
  const run = (argv: readonly string[], env = {}): Promise<CliResult> =>
    runWithEnv(argv, {...defaults, ...env});
  const claimTeam = async (team: string): Promise<void> => {
    await run(['keygen', '--out', file('team.key')]);
    await run(['claim', team, '--key', file('team.key')]);
  };
  return {server, endpoint, file, write, run, claimTeam};
}

/** Returns an address at which no process listens. */
export async function unusedEndpoint(): Promise<string> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return `127.0.0.1:${port}`;
}

/** Starts a server that accepts connections but never responds, like a frozen daemon. */
export async function unresponsiveEndpoint(context: TestContext): Promise<string> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => sockets.add(socket.on('error', () => undefined)));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  context.after(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function runWithEnv(
  argv: readonly string[],
  env: Record<string, string>,
): Promise<CliResult> {
  let stdout = '';
  let stderr = '';
  const exitCode = await runCli(argv, {
    write: (text) => (stdout += text),
    writeError: (text) => (stderr += text),
    isTerminal: false,
    env,
    clock: systemClock,
    readStandardInput: () => Promise.resolve(''),
    signal: new AbortController().signal,
  });
  return {exitCode, stdout, stderr};
}
