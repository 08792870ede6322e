import {readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {request} from 'undici';
import {parse as parseYaml} from 'yaml';
import {callAdmin, createTeam, eventually, startCluster} from '@medlarlane/fixtures';
import type {Cluster, DaemonProcess, DocumentInput} from '@medlarlane/fixtures';

export interface DemoOptions {
  readonly print: (line: string) => void;
}

export interface Demo {
  /** Descriptions of the checks that failed. */
  readonly failures: readonly string[];
  dispose(): Promise<void>;
}

interface ServerProcess {
  readonly name: string;
  readonly availabilityZone: string;
  readonly daemon: DaemonProcess;
}

interface Reply {
  readonly status: number;
  readonly target: string;
  /** Epoch of the key's range; changes whenever the owner changes. */
  readonly epoch: string;
}

const TEAM = 'prairie-crag';
const SERVICE = `${TEAM}/wallboard`;
const DOCUMENT_FILE = new URL('../../../../examples/prairie-crag/wallboard.yaml', import.meta.url);
const ZONES = ['yard-north', 'yard-east', 'civic-hall'];
const SERVER_COUNT = 5;
const KEY_COUNT = 400;
const FAILOVER_BOUND_MS = 3000;

/** Starts the whole system as separate processes and checks that it keeps its guarantees. */
export async function runDemo({print}: DemoOptions): Promise<Demo> {
  const failures: string[] = [];
  const check = (description: string, passed: boolean): void => {
    print(`${passed ? 'ok    ' : 'FAILED'} ${description}`);
    if (!passed) failures.push(description);
  };
  print('Starting three daemons with control replicas.');
  const cluster = await startCluster();
  try {
    const keyFile = await applyDocument(cluster);
    print(`Applied the document of ${SERVICE}.`);
    const servers = await startServers(cluster);
    await waitForBalance(cluster);
    const owners = await sendKeyedRequests(cluster, servers, print, check);
    await showFailover(cluster, servers, owners, print, check);
    printAddresses(cluster, print);
    printCommands(cluster, keyFile, print);
  } catch (failure) {
    print(`FAILED ${String(failure)}`);
    failures.push(String(failure));
  }
  return {failures, dispose: () => cluster.dispose()};
}

/** Claims the team, applies the document and returns the path of the team's key file. */
async function applyDocument(cluster: Cluster): Promise<string> {
  const admin = cluster.replicas[0]!.ready.admin;
  const team = createTeam(TEAM);
  await eventually('the control leader', () => team.claim(admin));
  const document = parseYaml(await readFile(DOCUMENT_FILE, 'utf8')) as DocumentInput;
  await team.apply(admin, document);
  const keyFile = path.join(cluster.dataFolder, `${TEAM}.key`);
  await writeFile(keyFile, team.privateKeyPem, {mode: 0o600});
  return keyFile;
}

async function startServers(cluster: Cluster): Promise<ServerProcess[]> {
  return Promise.all(
    Array.from({length: SERVER_COUNT}, async (_, index) => {
      const name = `wallboard-${index + 1}`;
      const availabilityZone = ZONES[index % ZONES.length]!;
      const daemon = await cluster.startDaemon({instanceId: name, availabilityZone});
      await cluster.startTarget(daemon, {service: SERVICE, name});
      return {name, availabilityZone, daemon};
    }),
  );
}

/** Waits until the ranges are balanced across all servers and none is being moved. */
async function waitForBalance(cluster: Cluster): Promise<void> {
  const admin = cluster.replicas[0]!.ready.admin;
  await eventually('ranges on every server', async () => {
    const {targets} = await callAdmin(admin, 'listTargets', {service: SERVICE});
    const {services} = await callAdmin(admin, 'status', {});
    const moving = services.find(({service}) => service === SERVICE)?.movingRangeCount;
    const counts = targets.map(({rangesOwned}) => rangesOwned);
    const mean = counts.reduce((sum, count) => sum + count, 0) / SERVER_COUNT;
    const isEven = counts.length === SERVER_COUNT && Math.max(...counts) <= 1.2 * mean;
    return isEven && moving === 0;
  });
}

async function sendKeyedRequests(
  cluster: Cluster,
  servers: readonly ServerProcess[],
  print: (line: string) => void,
  check: (description: string, passed: boolean) => void,
): Promise<Map<string, string>> {
  const entryDaemons = [...cluster.replicas, ...servers.map(({daemon}) => daemon)];
  const owners = new Map<string, string>();
  const targetByOwnership = new Map<string, string>();
  let servedCount = 0;
  let ownerConflicts = 0;
  for (let round = 0; round < 2; round++) {
    for (let key = 0; key < KEY_COUNT; key++) {
      const wallId = `wall-${key}`;
      const entryDaemon = entryDaemons[Math.floor(Math.random() * entryDaemons.length)]!;
      const reply = await sendRequest(entryDaemon, wallId);
      if (reply.status !== 200) continue;
      servedCount += 1;
      owners.set(wallId, reply.target);
      // A planned move may change the owner between two requests, but it also changes the epoch.
      const ownership = `${wallId} ${reply.epoch}`;
      const expectedTarget = targetByOwnership.get(ownership) ?? reply.target;
      if (expectedTarget !== reply.target) ownerConflicts += 1;
      targetByOwnership.set(ownership, reply.target);
    }
  }
  printCounts(servers, owners, print);
  check(
    `all ${2 * KEY_COUNT} requests through random daemons were served`,
    servedCount === 2 * KEY_COUNT,
  );
  check('no key had two owners at the same epoch', ownerConflicts === 0);
  return owners;
}

function printCounts(
  servers: readonly ServerProcess[],
  owners: ReadonlyMap<string, string>,
  print: (line: string) => void,
): void {
  print(`Keys served, of ${KEY_COUNT}:`);
  for (const zone of ZONES) {
    const inZone = servers.filter(({availabilityZone}) => availabilityZone === zone);
    const counts = inZone.map(({name}) => {
      const count = [...owners.values()].filter((target) => target === name).length;
      return `${name} ${count}`;
    });
    print(`  ${zone.padEnd(12)} ${counts.join(', ')}`);
  }
}

async function showFailover(
  cluster: Cluster,
  servers: readonly ServerProcess[],
  owners: ReadonlyMap<string, string>,
  print: (line: string) => void,
  check: (description: string, passed: boolean) => void,
): Promise<void> {
  const victim = servers[0]!;
  const [wallId] = [...owners].find(([, target]) => target === victim.name) ?? [];
  if (wallId === undefined) throw new Error(`No key is owned by ${victim.name}`);
  const entryDaemon = cluster.replicas[1]!;
  victim.daemon.kill('SIGKILL');
  const killedAtMs = performance.now();
  print(`Killed the daemon of ${victim.name}, which owned ${wallId}.`);
  const reply = await eventually('an answer from a new owner', async () => {
    const attempt = await sendRequest(entryDaemon, wallId);
    return attempt.status === 200 && attempt;
  });
  const gapMs = Math.round(performance.now() - killedAtMs);
  print(`${wallId} is served by ${reply.target} after ${gapMs} ms.`);
  check('the key moved to another server', reply.target !== victim.name);
  check(`the key was served again within ${FAILOVER_BOUND_MS} ms`, gapMs <= FAILOVER_BOUND_MS);
}

async function sendRequest(entryDaemon: DaemonProcess, wallId: string): Promise<Reply> {
  const response = await request(`http://${entryDaemon.ready.caller}/walls/${wallId}`, {
    headers: {'medlarlane-service': SERVICE},
  });
  const body = (await response.body.json()) as {target?: string};
  return {
    status: response.statusCode,
    target: body.target ?? '',
    epoch: String(response.headers['medlarlane-epoch'] ?? ''),
  };
}

function printAddresses(cluster: Cluster, print: (line: string) => void): void {
  for (const {ready} of cluster.replicas) {
    print(`${ready.instanceId}: callers ${ready.caller}, admin ${ready.admin}`);
  }
}

/** Prints commands that change the document of the running demo. */
function printCommands(cluster: Cluster, keyFile: string, print: (line: string) => void): void {
  print('Change the document:');
  print(`  export MEDLARLANE_ENDPOINT=${cluster.replicas[0]!.ready.admin}`);
  print(`  npx medlarlane get ${SERVICE} > wallboard.yaml`);
  print(`  npx medlarlane apply -f wallboard.yaml --key ${keyFile} --wait`);
}
