import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {randomUUID} from 'node:crypto';
import {readdir, readFile, rm, truncate, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {MedlarlaneError} from '@medlarlane/errors';
import {createDocument, SERVICE, SETTLE_MS} from '@medlarlane/fault-tables';
import {
  callAdmin,
  createTeam,
  eventually,
  findLostChanges,
  readDirectory,
  reservePorts,
  sendOnce,
  startCluster,
  startLinkRelay,
  startNetwork,
  startOperators,
} from '@medlarlane/fixtures';
import type {
  Cluster,
  DaemonProcess,
  DocumentInput,
  Network,
  Operators,
  Team,
} from '@medlarlane/fixtures';

interface ControlScenario {
  readonly cluster: Cluster;
  readonly network: Network;
  readonly team: Team;
  /** Daemons without a replica, into which no faults are injected. */
  readonly observers: readonly DaemonProcess[];
  /** Admin address of the first observer. */
  readonly admin: string;
}

/** A fault injected while operators change documents and read them through several daemons. */
interface Row {
  readonly fault: string;
  readonly injectFault: (scenario: ControlScenario, operators: Operators) => Promise<void>;
}

const TIMEOUT_MS = 60_000;
const MAX_IN_FORCE_MS = 8000;

const ROWS: readonly Row[] = [
  {
    fault: 'the leader is killed and restarted twice',
    injectFault: async (scenario, operators) => {
      for (let round = 0; round < 2; round++) {
        const leader = await findLeader(scenario);
        await scenario.cluster.replicas[leader]!.end();
        await waitForMoreChanges(operators, 10);
        scenario.cluster.replicas[leader] = await scenario.cluster.restartReplica(leader);
        await waitForMoreChanges(operators, 10);
      }
    },
  },
  {
    fault: 'the leader is frozen, another replica is elected, and the first one resumes',
    injectFault: async (scenario, operators) => {
      const leader = scenario.cluster.replicas[await findLeader(scenario)]!;
      leader.kill('SIGSTOP');
      await waitForMoreChanges(operators, 10);
      leader.kill('SIGCONT');
      await waitForMoreChanges(operators, 10);
    },
  },
  {
    fault:
      'a replica loses its disk and a second one is killed before the replacement has caught up',
    injectFault: replaceReplica,
  },
  {
    fault: 'a replica is isolated while documents and owners change',
    injectFault: isolateReplica,
  },
  {
    fault: 'a replica restarts with a torn last write in its log',
    injectFault: async (scenario, operators) => {
      const follower = ((await findLeader(scenario)) + 1) % 3;
      await scenario.cluster.replicas[follower]!.end();
      const log = await findLogFile(scenario, follower);
      const {length} = await readFile(log);
      await truncate(log, length - 3);
      scenario.cluster.replicas[follower] = await scenario.cluster.restartReplica(follower);
      await waitForMoreChanges(operators, 5);
      await operators.stop();
      await eventually(
        'equal state on both replicas',
        () => servesLeaderState(scenario, listenAddressOf(scenario, follower)),
        {
          timeoutMs: TIMEOUT_MS,
        },
      );
    },
  },
];

for (const {fault, injectFault} of ROWS) {
  void test(`No acknowledged change is lost and no revision goes back when ${fault}`, () =>
    withScenario({}, async (scenario) => {
      const operators = startOperators({
        team: scenario.team,
        admins: () => scenario.observers.map(({ready}) => ready.admin),
        services: Array.from({length: 6}, (_, number) => `prairie-crag/list-${number}`),
        pauseMs: 50,
      });
      try {
        await waitForMoreChanges(operators, 10);
        await injectFault(scenario, operators);
      } finally {
        await operators.stop();
      }
      assert.deepEqual(operators.violations, []);
      for (const {ready} of scenario.observers) {
        assert.deepEqual(await findLostChanges(ready.admin, operators.acknowledged), []);
      }
    }));
}

void test('A change whose response was lost gets the original result when it is resent to a new leader', () =>
  withScenario({}, async (scenario) => {
    const relay = await startAdminRelay(scenario.observers[0]!);
    const changeId = randomUUID();
    relay.cut('127.0.0.1', 'toClient');
    const lost = scenario.team
      .apply(relay.address, createDocument(), {changeId})
      .catch(() => undefined);
    const committed = await eventually('the change', () => findHistoryEntry(scenario, changeId));
    await scenario.cluster.replicas[await findLeader(scenario)]!.end();
    await relay.close();
    await lost;
    const resent = await eventually('a response', () =>
      scenario.team.apply(scenario.observers[1]!.ready.admin, createDocument(), {changeId}),
    );
    assert.deepEqual(
      {revision: resent.revision, index: resent.index},
      {revision: committed.revision, index: committed.index},
    );
    const {revisions} = await callAdmin(scenario.admin, 'history', {service: SERVICE, limit: 50});
    assert.equal(revisions.length, 1);
  }));

void test('Of two changes with equal base revisions one is accepted, and each gets the same outcome when resent', () =>
  withScenario({}, async (scenario) => {
    for (let round = 0; round < 5; round++) {
      const changeIds = [randomUUID(), randomUUID()];
      const send = (admin: string, number: number): Promise<string> =>
        describeOutcome(
          scenario.team.apply(
            admin,
            createDocument({targets: {slots: 10 * round + number + 1, connections: 120}}),
            {baseRevision: round, changeId: changeIds[number]!},
          ),
        );
      const relays = await Promise.all(scenario.observers.map(startAdminRelay));
      for (const relay of relays) relay.cut('127.0.0.1', 'toClient');
      const first = relays.map((relay, number) => send(relay.address, number));
      await eventually('one change to be committed', async () => {
        const found = await Promise.all(changeIds.map((id) => findHistoryEntry(scenario, id)));
        return found.some((entry) => entry !== undefined);
      });
      const resent = await Promise.all(
        scenario.observers.map(({ready}, number) => send(ready.admin, number)),
      );
      for (const relay of relays) relay.restore('127.0.0.1', 'toClient');
      assert.deepEqual(await Promise.all(first), resent);
      assert.deepEqual(resent.filter((outcome) => outcome.startsWith('revision')).length, 1);
      assert.deepEqual(resent.filter((outcome) => outcome === 'REVISION_CONFLICT').length, 1);
      await Promise.all(relays.map((relay) => relay.close()));
    }
  }));

void test('A daemon that missed 500 changes gets them in one message and applies them after a restart', () =>
  withScenario({}, async (scenario) => {
    const late = await scenario.cluster.startDaemon({instanceId: 'late'});
    const before = (await readDirectory(listenAddressOf(scenario, 0))).index;
    await late.end();
    await applyMany(scenario, 500);
    const {commitIndex} = await callAdmin(scenario.admin, 'status', {});
    const message = await eventually('the state at replica 0', async () => {
      const found = await readDirectory(listenAddressOf(scenario, 0), before);
      return found.index >= commitIndex ? found : undefined;
    });
    assert.equal(message.changes.filter(({kind}) => kind === 'document').length, 500);
    const restarted = await scenario.cluster.startDaemon({instanceId: 'late'});
    await eventually('the restarted daemon to apply the changes', async () => {
      const {applied} = await callAdmin(restarted.ready.admin, 'inForce', {
        service: 'prairie-crag/many-0',
        index: commitIndex,
      });
      return applied.some(({instanceId}) => instanceId === 'late');
    });
  }));

void test('A replica whose log is corrupted in the middle fails to start with instructions to replace it', () =>
  withScenario({}, async (scenario) => {
    await applyMany(scenario, 20);
    const follower = ((await findLeader(scenario)) + 1) % 3;
    await scenario.cluster.replicas[follower]!.end();
    const log = await findLogFile(scenario, follower);
    const bytes = await readFile(log);
    bytes[Math.floor(bytes.length / 2)]! ^= 0xff;
    await writeFile(log, bytes);
    await assert.rejects(scenario.cluster.restartReplica(follower), (failure: Error) => {
      assert.match(failure.message, /LOG_CORRUPT/);
      assert.match(failure.message, /Replace this replica/);
      return true;
    });
  }));

void test('A replica that cannot write its log is reported in status, and changes continue without it', () =>
  withScenario({}, async (scenario) => {
    const follower = ((await findLeader(scenario)) + 1) % 3;
    // Writes beyond the limit fail as on a full disk. File modes would not restrict the superuser.
    const {pid} = scenario.cluster.replicas[follower]!;
    execFileSync('prlimit', ['--pid', String(pid), '--fsize=1']);
    await applyMany(scenario, 5);
    await eventually('the failed disk to appear in status', async () => {
      const {members} = await callAdmin(scenario.admin, 'status', {});
      return members.find(({replicaId}) => replicaId === `r${follower}`)?.disk === 'failed';
    });
    await applyMany(scenario, 5, 'later');
  }));

for (const lost of ['no', 'a leading', 'a following'] as const) {
  void test(`An accepted document is in force on every daemon within 8 s with ${lost} control replica lost`, () =>
    withScenario({}, async (scenario) => {
      const leader = await findLeader(scenario);
      const lostReplica = {no: undefined, 'a leading': leader, 'a following': (leader + 1) % 3}[
        lost
      ];
      if (lostReplica !== undefined) await scenario.cluster.replicas[lostReplica]!.end();
      const {index} = await eventually('the change', () =>
        scenario.team.apply(scenario.admin, createDocument(), {
          changeId: `change-with-${lostReplica}-lost`,
        }),
      );
      const sinceMs = performance.now();
      await eventually('the change to be in force', async () => {
        const {applied, notApplied} = await callAdmin(scenario.admin, 'inForce', {
          service: SERVICE,
          index,
        });
        const names = applied.map(({instanceId}) => instanceId);
        const all = scenario.observers.every(({ready}) => names.includes(ready.instanceId));
        return all && notApplied.length === 0;
      });
      assert.ok(performance.now() - sinceMs <= MAX_IN_FORCE_MS);
    }));
}

void test('A change committed while its responses are withheld is never reported as not run', () =>
  withScenario({}, async (scenario) => {
    const changeId = randomUUID();
    const apply = (): ReturnType<Team['apply']> =>
      scenario.team.apply(scenario.admin, createDocument(), {changeId});
    for (const replica of [0, 1, 2]) scenario.network.cut(replica, 'daemons');
    await assert.rejects(
      apply(),
      (failure: MedlarlaneError) => failure.code === 'COMMIT_UNKNOWN' && failure.ran === 'unknown',
    );
    for (const replica of [0, 1, 2]) scenario.network.restore(replica, 'daemons');
    const {revision, index} = await eventually('a response', apply);
    assert.equal(revision, 1);
    assert.equal((await findHistoryEntry(scenario, changeId))?.index, index);
  }));

void test('A daemon without contact to control rejects requests as not run after the staleness limit', () =>
  withScenario({flags: ['--max-stale-ms=3000']}, async (scenario) => {
    const service = 'prairie-crag/resetdesk';
    await scenario.team.apply(scenario.admin, createUnkeyedDocument(service, 18));
    const server = await scenario.cluster.startDaemon({instanceId: 'server'});
    await scenario.cluster.startTarget(server, {service, name: 'server'});
    const sendRead = (): ReturnType<typeof sendOnce> =>
      sendOnce(scenario.observers[0]!.ready.caller, 'wall-1', randomUUID(), 'GET', {service});
    await eventually('a response', async () => (await sendRead()).status === 200);
    for (const replica of [0, 1, 2]) {
      scenario.network.cut('daemons', replica);
      scenario.network.cut(replica, 'daemons');
    }
    const rejected = await eventually('the request to be rejected', async () => {
      const response = await sendRead();
      return response.code === 'STALE_CONFIGURATION' ? response : undefined;
    });
    assert.equal(rejected.ran, 'no');
    for (const replica of [0, 1, 2]) {
      scenario.network.restore('daemons', replica);
      scenario.network.restore(replica, 'daemons');
    }
    await eventually(
      'a response after the links are restored',
      async () => (await sendRead()).status === 200,
    );
  }));

async function withScenario(
  opts: {readonly flags?: readonly string[]},
  run: (scenario: ControlScenario) => Promise<void>,
): Promise<void> {
  const network = startNetwork(3);
  const cluster = await startCluster({network, ...opts});
  try {
    const observers = await Promise.all(
      ['observer-0', 'observer-1'].map((instanceId) => cluster.startDaemon({instanceId})),
    );
    const {admin} = observers[0]!.ready;
    const team = createTeam('prairie-crag');
    await eventually('the control leader', () => team.claim(admin));
    await run({cluster, network, team, observers, admin});
  } finally {
    await cluster.dispose();
  }
}

async function replaceReplica(scenario: ControlScenario, operators: Operators): Promise<void> {
  const {cluster, admin} = scenario;
  const leader = await findLeader(scenario);
  const [lost, second] = [(leader + 1) % 3, (leader + 2) % 3];
  await cluster.replicas[lost]!.end();
  await rm(path.join(cluster.dataFolder, `r${lost}`), {recursive: true});
  const [port] = await reservePorts(1);
  const listen = `127.0.0.1:${port}`;
  const replacement = await cluster.startDaemon({
    instanceId: 'control-3',
    replica: {id: 'r3', listen},
  });
  // Frozen, so that it cannot catch up before the second replica is killed.
  replacement.kill('SIGSTOP');
  await eventually('the learner to be added', () =>
    callAdmin(admin, 'addLearner', {replicaId: 'r3', address: listen}),
  );
  await cluster.replicas[second]!.end();
  replacement.kill('SIGCONT');
  await delay(SETTLE_MS);
  const before = operators.acknowledged.length;
  await delay(SETTLE_MS);
  assert.equal(
    operators.acknowledged.length,
    before,
    'a change was acknowledged without a majority',
  );
  await assert.rejects(
    callAdmin(admin, 'status', {}),
    (failure: MedlarlaneError) => failure.code === 'NO_LEADER',
  );

  cluster.replicas[second] = await cluster.restartReplica(second);
  await waitForMoreChanges(operators, 5);
  await eventually('the promotion', () => callAdmin(admin, 'promote', {replicaId: 'r3'}), {
    timeoutMs: TIMEOUT_MS,
  });
  await eventually('the removal', () => callAdmin(admin, 'removeMember', {replicaId: `r${lost}`}));
  // Every majority now includes the new replica, which becomes the leader in some runs.
  await cluster.replicas[leader]!.end();
  await waitForMoreChanges(operators, 10);
  await operators.stop();
  await eventually('equal state on both replicas', () => servesLeaderState(scenario, listen), {
    timeoutMs: TIMEOUT_MS,
  });
}

async function isolateReplica(scenario: ControlScenario, operators: Operators): Promise<void> {
  const {cluster, network, team, admin} = scenario;
  await eventually('the keyed service', () =>
    team.apply(admin, createDocument(), {changeId: 'keyed-service'}),
  );
  const isolated = ((await findLeader(scenario)) + 1) % 3;
  network.isolate(isolated);
  const servers = await Promise.all(
    ['server-0', 'server-1'].map(async (name) => {
      const daemon = await cluster.startDaemon({instanceId: name});
      await cluster.startTarget(daemon, {service: SERVICE, name});
      return daemon;
    }),
  );
  const ownedBy = async (count: number): Promise<boolean> => {
    const {targets} = await callAdmin(admin, 'listTargets', {service: SERVICE});
    return targets.filter(({rangesOwned}) => rangesOwned > 0).length === count;
  };
  await eventually('two owners', () => ownedBy(2), {timeoutMs: TIMEOUT_MS});
  await servers[0]!.end();
  await eventually('one owner', () => ownedBy(1), {timeoutMs: TIMEOUT_MS});
  await waitForMoreChanges(operators, 30);
  network.reconnect(isolated);
  await operators.stop();
  await eventually(
    'equal state on both replicas',
    () => servesLeaderState(scenario, listenAddressOf(scenario, isolated)),
    {
      timeoutMs: TIMEOUT_MS,
    },
  );
}

/** Waits until `count` more changes are acknowledged. */
async function waitForMoreChanges(operators: Operators, count: number): Promise<void> {
  const target = operators.acknowledged.length + count;
  await eventually(
    `${count} more changes`,
    () => operators.violations.length > 0 || operators.acknowledged.length >= target,
    {timeoutMs: TIMEOUT_MS},
  );
}

async function findLeader({admin}: ControlScenario): Promise<number> {
  const {leaderId} = await eventually('the leader', () => callAdmin(admin, 'status', {}));
  return Number(leaderId.slice(1));
}

/** Address on which a replica listens, which bypasses the relayed links. */
function listenAddressOf({cluster, network}: ControlScenario, replica: number): string {
  return `${network.listenHost(replica)}:${cluster.controlPorts[replica]}`;
}

/** Returns whether a replica is at the index of the leader, and then asserts equal state. */
async function servesLeaderState(scenario: ControlScenario, address: string): Promise<boolean> {
  const [replicaState, leaderState] = await Promise.all([
    readDirectory(address),
    readDirectory(listenAddressOf(scenario, await findLeaderOrReachable(scenario))),
  ]);
  if (replicaState.index !== leaderState.index) return false;
  assert.deepEqual(replicaState.snapshot, leaderState.snapshot);
  return true;
}

/** Returns the leader if it is an initial replica, otherwise any reachable initial replica. */
async function findLeaderOrReachable(scenario: ControlScenario): Promise<number> {
  const {members, leaderId} = await callAdmin(scenario.admin, 'status', {});
  const first = members.filter(({replicaId, reachable}) => reachable && replicaId !== 'r3');
  const chosen = first.find(({replicaId}) => replicaId === leaderId) ?? first[0]!;
  return Number(chosen.replicaId.slice(1));
}

async function findLogFile({cluster}: ControlScenario, replica: number): Promise<string> {
  const folder = path.join(cluster.dataFolder, `r${replica}`);
  const name = (await readdir(folder)).find((file) => /^log/.test(file));
  if (!name) throw new Error(`No log in ${folder}`);
  return path.join(folder, name);
}

function startAdminRelay({ready}: DaemonProcess): ReturnType<typeof startLinkRelay> {
  const [host, port] = ready.admin.split(':');
  return startLinkRelay({serverHost: host!, serverPort: Number(port)});
}

async function findHistoryEntry(
  {admin}: ControlScenario,
  changeId: string,
): Promise<{revision: number; index: number} | undefined> {
  const {revisions} = await callAdmin(admin, 'history', {service: SERVICE, limit: 50});
  return revisions.find((entry) => entry.changeId === changeId);
}

async function describeOutcome(
  response: Promise<{revision: number; index: number}>,
): Promise<string> {
  try {
    const {revision, index} = await response;
    return `revision ${revision} at ${index}`;
  } catch (failure) {
    return failure instanceof MedlarlaneError ? failure.code : String(failure);
  }
}

/** Creates a document of a service that is not split by key. */
function createUnkeyedDocument(service: string, slots: number): DocumentInput {
  return {service, splitByKey: false, targets: {slots, connections: 120}};
}

/** Applies `count` changes, ten services at a time. */
async function applyMany(
  {team, admin}: ControlScenario,
  count: number,
  name = 'many',
): Promise<void> {
  const perService = Math.ceil(count / 10);
  await Promise.all(
    Array.from({length: Math.ceil(count / perService)}, async (_, number) => {
      const service = `prairie-crag/${name}-${number}`;
      for (let baseRevision = 0; baseRevision < perService; baseRevision++) {
        // Resends the change with the same id when a leader change left its outcome unknown.
        const changeId = randomUUID();
        const document = createUnkeyedDocument(service, baseRevision + 1);
        await eventually(`revision ${baseRevision + 1} of ${service}`, () =>
          team.apply(admin, document, {baseRevision, changeId}),
        );
      }
    }),
  );
}
