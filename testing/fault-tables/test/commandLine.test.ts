import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {cp, mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {eventually, reservePorts, startCluster} from '@medlarlane/fixtures';
import type {Cluster} from '@medlarlane/fixtures';

interface CommandResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

interface Shell {
  readonly cluster: Cluster;
  /** Working directory of the commands, with a copy of `examples`. */
  readonly folder: string;
  run(commandLine: string, env?: Readonly<Record<string, string>>): Promise<CommandResult>;
  /** Runs a command with `--json` and returns the parsed output. */
  json<T>(commandLine: string): Promise<T>;
}

interface DocumentedStep {
  readonly command: string;
  /** Action or wait of the reader before the command. */
  readonly before?: (shell: Shell) => Promise<unknown>;
  readonly exitCode?: number;
  readonly expectedOutput: RegExp;
}

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const TOOL = path.join(ROOT, 'apps/cli/bin/medlarlane.mjs');
const DOCUMENT_PATH = 'examples/tharangam/permit-desk.yaml';
const APPLY = `medlarlane apply -f ${DOCUMENT_PATH} --key tharangam.key`;

const DOCUMENTED_STEPS: readonly DocumentedStep[] = [
  {command: 'medlarlane keygen --out tharangam.key', expectedOutput: /^private key: tharangam.key/},
  {
    command: 'medlarlane claim tharangam --key tharangam.key',
    expectedOutput: /^team tharangam is claimed by the key tharangam.key\n$/,
  },
  {
    command: `medlarlane validate ${DOCUMENT_PATH}`,
    expectedOutput: /: valid \(tharangam\/permit-desk\)\n$/,
  },
  {
    command: `medlarlane validate ${DOCUMENT_PATH}`,
    before: (shell) => editDocument(shell, '  slots: 14', '  slot: 14'),
    exitCode: 2,
    expectedOutput: /DOCUMENT_INVALID[^]*targets.slots: expected a number[^]*targets.slot:/,
  },
  {
    command: `${APPLY} --wait`,
    before: (shell) => editDocument(shell, '  slot: 14', '  slots: 14'),
    expectedOutput: /^tharangam\/permit-desk: revision 1 in force in every live daemon \(change /,
  },
  {
    command: 'medlarlane targets tharangam/permit-desk',
    before: async (shell) => {
      await eventually('the target', async () =>
        (await shell.run('medlarlane targets tharangam/permit-desk')).stdout.includes('desk-1'),
      );
    },
    expectedOutput: /^INSTANCE[^]*\ndesk-1 +zone-a +false +256 /,
  },
  {
    command: 'medlarlane owners tharangam/permit-desk stall-7',
    expectedOutput: /^KEY[^]*\nstall-7 +desk-1 +zone-a /,
  },
  {
    command: `medlarlane diff -f ${DOCUMENT_PATH}`,
    before: (shell) => editDocument(shell, 'drainMs: 10000', 'drainMs: 12000'),
    expectedOutput: /- stop.drainMs: 10000\n\+ stop.drainMs: 12000\n$/,
  },
  {command: `${APPLY} --wait`, expectedOutput: /: revision 2 in force in every live daemon/},
  {command: 'medlarlane history tharangam/permit-desk', expectedOutput: /\n2 +1 .*\n1 +0 /},
  {
    command: `${APPLY} --base-revision 1`,
    exitCode: 3,
    expectedOutput: /^error REVISION_CONFLICT: Current revision is 2\nnext step: Fetch/,
  },
];

// Guards against a page whose commands or output no longer match the tool and the daemon.
void test('Every command on the page about the first document prints what the page shows', () =>
  withShell(async (shell) => {
    const page = await readFile(path.join(ROOT, 'docs/operations/first-document.md'), 'utf8');
    assert.deepEqual(
      [...page.matchAll(/^(?:\$ )?(medlarlane .*)$/gm)].map(([, command]) => command),
      DOCUMENTED_STEPS.map(({command}) => command),
    );
    const daemon = await shell.cluster.startDaemon({instanceId: 'desk-1'});
    const stopTarget = await announceAsDocumented(page, daemon.ready.target);
    try {
      for (const {command, before, exitCode = 0, expectedOutput} of DOCUMENTED_STEPS) {
        await before?.(shell);
        const result = await shell.run(command);
        assert.equal(result.exitCode, exitCode, `${command}: ${result.stderr}`);
        assert.match(exitCode === 0 ? result.stdout : result.stderr, expectedOutput);
      }
    } finally {
      stopTarget();
    }
  }));

void test('Operators inspect, drain and change a running system with the command line', () =>
  withShell(async (shell) => {
    const {cluster} = shell;
    const service = 'prairie-crag/wallboard';
    await runSuccessfully(shell, 'medlarlane keygen --out crag.key');
    await runSuccessfully(shell, 'medlarlane claim prairie-crag --key crag.key');
    await runSuccessfully(
      shell,
      'medlarlane apply -f examples/prairie-crag/wallboard.yaml --key crag.key --change-id pipeline-1',
    );
    const resent = await runSuccessfully(
      shell,
      'medlarlane apply -f examples/prairie-crag/wallboard.yaml --key crag.key --change-id pipeline-1',
    );
    assert.match(resent.stdout, /: revision 1 accepted \(change pipeline-1\)/);
    assert.match(
      (await runSuccessfully(shell, `medlarlane get ${service}`)).stdout,
      /^# revision 1/,
    );

    for (const name of ['server-0', 'server-1']) {
      const daemon = await cluster.startDaemon({instanceId: name});
      await cluster.startTarget(daemon, {service, name});
    }
    interface Targets {
      readonly targets: ReadonlyArray<{instanceId: string; rangesOwned: number}>;
    }
    const rangesOf = async (name: string): Promise<number | undefined> => {
      const {targets} = await shell.json<Targets>(`medlarlane targets ${service}`);
      return targets.find(({instanceId}) => instanceId === name)?.rangesOwned;
    };
    await eventually(
      'both servers to own ranges',
      async () =>
        ((await rangesOf('server-0')) ?? 0) > 0 && ((await rangesOf('server-1')) ?? 0) > 0,
    );
    await runSuccessfully(shell, 'medlarlane drain server-0');
    await eventually('the drained server to own no ranges', async () => {
      return (await rangesOf('server-0')) === 0 && (await rangesOf('server-1')) === 256;
    });
    assert.match(
      (await runSuccessfully(shell, 'medlarlane status')).stdout,
      /^group default, leader r\d, term \d+,[^]*prairie-crag\/wallboard/,
    );
    await replaceMember(shell);
  }));

const FAILING_COMMANDS: ReadonlyArray<
  readonly [commandLine: string, exitCode: number, code: string]
> = [
  ['medlarlane apply -f examples/README.md --key crag.key', 2, 'DOCUMENT_INVALID'],
  ['medlarlane history prairie-crag/wallboard --limit x', 2, 'REQUEST_INVALID'],
  ['medlarlane apply -f examples/prairie-crag/setlog.yaml --key crag.key', 4, 'TEAM_UNKNOWN'],
  ['medlarlane get prairie-crag/wallboard', 4, 'SERVICE_UNKNOWN'],
  ['medlarlane drain nobody', 4, 'INSTANCE_UNKNOWN'],
  ['medlarlane claim prairie-crag --key crag.key --token-file wrong.token', 5, 'TOKEN_INVALID'],
  ['medlarlane claim prairie-crag --key crag.key --token-file crag.key', 2, 'REQUEST_INVALID'],
  ['medlarlane status --endpoint 127.0.0.1:1 --timeout-ms 500', 6, 'ENDPOINT_UNREACHABLE'],
];

void test('A failed command prints its error code as JSON and exits with the exit code of that error', () =>
  withShell(async (shell) => {
    await runSuccessfully(shell, 'medlarlane keygen --out crag.key');
    await writeFile(path.join(shell.folder, 'wrong.token'), 'guessed\n');
    for (const [commandLine, exitCode, code] of FAILING_COMMANDS) {
      const result = await shell.run(`${commandLine} --json`);
      assert.equal(result.exitCode, exitCode, `${commandLine}: ${result.stderr}`);
      const problem = JSON.parse(result.stderr) as {code: string; ran: string; nextStep: string};
      assert.equal(problem.code, code, commandLine);
      assert.equal(problem.ran, 'no', commandLine);
      assert.ok(problem.nextStep.length > 0, commandLine);
      assert.equal(result.stdout, '', commandLine);
    }
  }));

async function replaceMember(shell: Shell): Promise<void> {
  const {cluster} = shell;
  const [port] = await reservePorts(1);
  const listen = `127.0.0.1:${port}`;
  await cluster.startDaemon({instanceId: 'control-3', replica: {id: 'r3', listen}});
  assert.match(
    (await runSuccessfully(shell, `medlarlane members add r3 ${listen}`)).stdout,
    /\nr3 +learner /,
  );
  await eventually(
    'the promotion',
    async () => (await shell.run('medlarlane members promote r3')).exitCode === 0,
  );
  await runSuccessfully(shell, 'medlarlane members remove r2');
  interface Members {
    readonly members: ReadonlyArray<{replicaId: string; role: string}>;
  }
  const {members} = await shell.json<Members>('medlarlane members list');
  assert.deepEqual(members.map(({replicaId}) => replicaId).sort(), ['r0', 'r1', 'r3']);
  assert.deepEqual(
    members.filter(({role}) => role === 'learner'),
    [],
  );
}

async function runSuccessfully(shell: Shell, commandLine: string): Promise<CommandResult> {
  const result = await shell.run(commandLine);
  assert.equal(result.exitCode, 0, `${commandLine}: ${result.stderr}`);
  return result;
}

async function withShell(runTest: (shell: Shell) => Promise<void>): Promise<void> {
  const folder = await mkdtemp(path.join(tmpdir(), 'medlarlane-shell-'));
  await cp(path.join(ROOT, 'examples'), path.join(folder, 'examples'), {recursive: true});
  const tokenFile = path.join(folder, 'operator.token');
  await writeFile(tokenFile, 'open-sesame\n');
  const cluster = await startCluster({flags: [`--admin-token-file=${tokenFile}`]});
  const endpoints = cluster.replicas.map(({ready}) => ready.admin).join(',');
  const run = (commandLine: string, env = {}): Promise<CommandResult> =>
    new Promise((resolve) => {
      const [, ...argv] = commandLine.split(' ');
      const variables = {MEDLARLANE_ENDPOINT: endpoints, MEDLARLANE_TOKEN_FILE: 'operator.token'};
      const child = execFile(
        process.execPath,
        [TOOL, ...argv],
        {cwd: folder, env: {...process.env, ...variables, ...env}},
        (_failure, stdout, stderr) => resolve({exitCode: child.exitCode ?? -1, stdout, stderr}),
      );
    });
  const shell: Shell = {
    cluster,
    folder,
    run,
    json: async <T>(commandLine: string) =>
      JSON.parse((await runSuccessfully(shell, `${commandLine} --json`)).stdout) as T,
  };
  try {
    await eventually(
      'the control leader',
      async () => (await run('medlarlane status')).exitCode === 0,
    );
    await runTest(shell);
  } finally {
    await cluster.dispose();
    await rm(folder, {recursive: true});
  }
}

async function editDocument({folder}: Shell, from: string, to: string): Promise<void> {
  const file = path.join(folder, DOCUMENT_PATH);
  const text = await readFile(file, 'utf8');
  assert.ok(text.includes(from), `${DOCUMENT_PATH} does not contain "${from}"`);
  await writeFile(file, text.replace(from, to));
}

/**
 * Starts a server in this process and announces it every second with the request shown on the page.
 * Returns a function that stops both.
 */
async function announceAsDocumented(page: string, targetListener: string): Promise<() => void> {
  const match = /curl -X PUT http:\/\/[\d.:]+(\S+) [^]*?-d '([^']+)'/.exec(page);
  assert.ok(match, 'the page contains no announcement request');
  const [, urlPath, body] = match;
  const server = createServer((_request, response) => response.end('{}'));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const announcement = {...(JSON.parse(body!) as object), port};
  const announce = async (): Promise<void> => {
    const response = await request(`http://${targetListener}${urlPath}`, {
      method: 'PUT',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(announcement),
    });
    await response.body.dump();
    assert.ok(response.statusCode < 300, `announcement failed with status ${response.statusCode}`);
  };
  await announce();
  const timer = setInterval(() => void announce().catch(() => undefined), 1000);
  return () => {
    clearInterval(timer);
    server.close();
    server.closeAllConnections();
  };
}
