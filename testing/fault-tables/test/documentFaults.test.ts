import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {randomUUID} from 'node:crypto';
import {readdir, readFile, rm, truncate, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {MedlarlaneError} from '@medlarlane/errors';
import {documentOf, SERVICE, SETTLE_MS} from '@medlarlane/fault-tables';
import {
  callAdmin,
  createTeam,
  eventually,
  lostChanges,
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

interface Scene {
  readonly cluster: Cluster;
  readonly network: Network;
  readonly team: Team;
  /** Daemons without a replica; no fault strikes them. */
  readonly observers: readonly DaemonProcess[];
  /** Admin address of the first observer. */
  readonly admin: string;
}

/** A fault that strikes while operators change documents and read them through several daemons. */
interface Row {
  readonly fault: string;
  readonly strike: (scene: Scene, operators: Operators) => Promise<void>;
}

const LIMIT_MS = 60_000;
const IN_FORCE_BOUND_MS = 8000;

const ROWS: readonly Row[] = [
  {
    fault: 'the leader is killed twice and started again',
    strike: async (scene, operators) => {
      for (let round = 0; round < 2; round++) {
        const leader = await leaderOf(scene);
        await scene.cluster.replicas[leader]!.end();
        await acknowledgedMore(operators, 10);
        scene.cluster.replicas[leader] = await scene.cluster.restartReplica(leader);
        await acknowledgedMore(operators, 10);
      }
    },
  },
  {
    fault: 'the leader is frozen, another one leads, and it resumes',
    strike: async (scene, operators) => {
      const leader = scene.cluster.replicas[await leaderOf(scene)]!;
      leader.kill('SIGSTOP');
      await acknowledgedMore(operators, 10);
      leader.kill('SIGCONT');
      await acknowledgedMore(operators, 10);
    },
  },
  {
    fault:
      'a replica is lost with its disk and a second one is killed before the new one caught up',
    strike: replaceReplica,
  },
  {
    fault: 'a replica is isolated while documents and owners change',
    strike: isolateReplica,
  },
  {
    fault: 'a replica restarts with a torn last write in its log',
    strike: async (scene, operators) => {
      const follower = ((await leaderOf(scene)) + 1) % 3;
      await scene.cluster.replicas[follower]!.end();
      const log = await logFile(scene, follower);
      const {length} = await readFile(log);
      await truncate(log, length - 3);
      scene.cluster.replicas[follower] = await scene.cluster.restartReplica(follower);
      await acknowledgedMore(operators, 5);
      await operators.stop();
      await eventually('equal state', () => servesState(scene, addressOf(scene, follower)), {
        limitMs: LIMIT_MS,
      });
    },
  },
];

for (const {fault, strike} of ROWS) {
  void test(`No acknowledged change is lost and no revision goes back when ${fault}`, () =>
    withScene({}, async (scene) => {
      const operators = startOperators({
        team: scene.team,
        admins: () => scene.observers.map(({ready}) => ready.admin),
        services: Array.from({length: 6}, (_, number) => `prairie-crag/list-${number}`),
        pauseMs: 50,
      });
      try {
        await acknowledgedMore(operators, 10);
        await strike(scene, operators);
      } finally {
        await operators.stop();
      }
      assert.deepEqual(operators.violations, []);
      for (const {ready} of scene.observers) {
        assert.deepEqual(await lostChanges(ready.admin, operators.acknowledged), []);
      }
    }));
}

void test('A change whose answer was lost gets the first result when it is resent to a new leader', () =>
  withScene({}, async (scene) => {
    const relay = await relayOf(scene.observers[0]!);
    const changeId = randomUUID();
    relay.cut('127.0.0.1', 'toClient');
    const lost = scene.team.apply(relay.address, documentOf(), {changeId}).catch(() => undefined);
    const committed = await eventually('the change', () => historyEntry(scene, changeId));
    await scene.cluster.replicas[await leaderOf(scene)]!.end();
    await relay.close();
    await lost;
    const again = await eventually('an answer', () =>
      scene.team.apply(scene.observers[1]!.ready.admin, documentOf(), {changeId}),
    );
    assert.deepEqual(
      {revision: again.revision, index: again.index},
      {revision: committed.revision, index: committed.index},
    );
    const {revisions} = await callAdmin(scene.admin, 'history', {service: SERVICE, limit: 50});
    assert.equal(revisions.length, 1);
  }));

void test('Of two changes with equal base revisions one wins, and both learn the same outcome when resent', () =>
  withScene({}, async (scene) => {
    for (let round = 0; round < 5; round++) {
      const changeIds = [randomUUID(), randomUUID()];
      const send = (admin: string, number: number): Promise<string> =>
        outcomeOf(
          scene.team.apply(
            admin,
            documentOf({targets: {slots: 10 * round + number + 1, connections: 120}}),
            {baseRevision: round, changeId: changeIds[number]!},
          ),
        );
      const relays = await Promise.all(scene.observers.map(relayOf));
      for (const relay of relays) relay.cut('127.0.0.1', 'toClient');
      const first = relays.map((relay, number) => send(relay.address, number));
      await eventually('the winner', async () => {
        const found = await Promise.all(changeIds.map((id) => historyEntry(scene, id)));
        return found.some((entry) => entry !== undefined);
      });
      const resent = await Promise.all(
        scene.observers.map(({ready}, number) => send(ready.admin, number)),
      );
      for (const relay of relays) relay.restore('127.0.0.1', 'toClient');
      assert.deepEqual(await Promise.all(first), resent);
      assert.deepEqual(resent.filter((outcome) => outcome.startsWith('revision')).length, 1);
      assert.deepEqual(resent.filter((outcome) => outcome === 'REVISION_CONFLICT').length, 1);
      await Promise.all(relays.map((relay) => relay.close()));
    }
  }));

void test('A daemon that missed 500 changes gets them in one message, and a restarted one serves them', () =>
  withScene({}, async (scene) => {
    const late = await scene.cluster.startDaemon({instanceId: 'late'});
    const before = (await readDirectory(addressOf(scene, 0))).index;
    await late.end();
    await applyMany(scene, 500);
    const {commitIndex} = await callAdmin(scene.admin, 'status', {});
    const message = await eventually('the state at replica 0', async () => {
      const found = await readDirectory(addressOf(scene, 0), before);
      return found.index >= commitIndex ? found : undefined;
    });
    assert.equal(message.changes.filter(({kind}) => kind === 'document').length, 500);
    const again = await scene.cluster.startDaemon({instanceId: 'late'});
    await eventually('the restarted daemon in force', async () => {
      const {applied} = await callAdmin(again.ready.admin, 'inForce', {
        service: 'prairie-crag/many-0',
        index: commitIndex,
      });
      return applied.some(({instanceId}) => instanceId === 'late');
    });
  }));

void test('A replica whose log is damaged in the middle refuses to start and says how to replace it', () =>
  withScene({}, async (scene) => {
    await applyMany(scene, 20);
    const follower = ((await leaderOf(scene)) + 1) % 3;
    await scene.cluster.replicas[follower]!.end();
    const log = await logFile(scene, follower);
    const bytes = await readFile(log);
    bytes[Math.floor(bytes.length / 2)]! ^= 0xff;
    await writeFile(log, bytes);
    await assert.rejects(scene.cluster.restartReplica(follower), (failure: Error) => {
      assert.match(failure.message, /LOG_CORRUPT/);
      assert.match(failure.message, /Replace this replica/);
      return true;
    });
  }));

void test('A replica that cannot write its log is reported in status, and changes go on without it', () =>
  withScene({}, async (scene) => {
    const follower = ((await leaderOf(scene)) + 1) % 3;
    // Writes beyond the limit fail as on a full disk; modes of files do not bind the superuser.
    const {pid} = scene.cluster.replicas[follower]!;
    execFileSync('prlimit', ['--pid', String(pid), '--fsize=1']);
    await applyMany(scene, 5);
    await eventually('the failed disk in status', async () => {
      const {members} = await callAdmin(scene.admin, 'status', {});
      return members.find(({replicaId}) => replicaId === `r${follower}`)?.disk === 'failed';
    });
    await applyMany(scene, 5, 'later');
  }));

for (const lost of ['no', 'a leading', 'a following'] as const) {
  void test(`An accepted document is in force on every daemon within 8 s with ${lost} control replica lost`, () =>
    withScene({}, async (scene) => {
      const leader = await leaderOf(scene);
      const struck = {no: undefined, 'a leading': leader, 'a following': (leader + 1) % 3}[lost];
      if (struck !== undefined) await scene.cluster.replicas[struck]!.end();
      const {index} = await eventually('the change', () =>
        scene.team.apply(scene.admin, documentOf(), {changeId: `change-with-${struck}-lost`}),
      );
      const sinceMs = performance.now();
      await eventually('the change in force', async () => {
        const {applied, notApplied} = await callAdmin(scene.admin, 'inForce', {
          service: SERVICE,
          index,
        });
        const names = applied.map(({instanceId}) => instanceId);
        const all = scene.observers.every(({ready}) => names.includes(ready.instanceId));
        return all && notApplied.length === 0;
      });
      assert.ok(performance.now() - sinceMs <= IN_FORCE_BOUND_MS);
    }));
}

void test('A change that was committed while its answers were held back is never called not run', () =>
  withScene({}, async (scene) => {
    const changeId = randomUUID();
    const apply = (): ReturnType<Team['apply']> =>
      scene.team.apply(scene.admin, documentOf(), {changeId});
    for (const replica of [0, 1, 2]) scene.network.cut(replica, 'daemons');
    await assert.rejects(
      apply(),
      (failure: MedlarlaneError) => failure.code === 'COMMIT_UNKNOWN' && failure.ran === 'unknown',
    );
    for (const replica of [0, 1, 2]) scene.network.restore(replica, 'daemons');
    const {revision, index} = await eventually('an answer', apply);
    assert.equal(revision, 1);
    assert.equal((await historyEntry(scene, changeId))?.index, index);
  }));

void test('A daemon that is cut off from control refuses callers with ran no after its stale limit', () =>
  withScene({flags: ['--max-stale-ms=3000']}, async (scene) => {
    const service = 'prairie-crag/resetdesk';
    await scene.team.apply(scene.admin, plainDocument(service, 18));
    const server = await scene.cluster.startDaemon({instanceId: 'server'});
    await scene.cluster.startTarget(server, {service, name: 'server'});
    const ask = (): ReturnType<typeof sendOnce> =>
      sendOnce(scene.observers[0]!.ready.caller, 'wall-1', randomUUID(), 'GET', {service});
    await eventually('an answer', async () => (await ask()).status === 200);
    for (const replica of [0, 1, 2]) {
      scene.network.cut('daemons', replica);
      scene.network.cut(replica, 'daemons');
    }
    const refused = await eventually('the refusal', async () => {
      const answer = await ask();
      return answer.code === 'STALE_CONFIGURATION' ? answer : undefined;
    });
    assert.equal(refused.ran, 'no');
    for (const replica of [0, 1, 2]) {
      scene.network.restore('daemons', replica);
      scene.network.restore(replica, 'daemons');
    }
    await eventually('an answer after the repair', async () => (await ask()).status === 200);
  }));

async function withScene(
  opts: {readonly flags?: readonly string[]},
  run: (scene: Scene) => Promise<void>,
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

async function replaceReplica(scene: Scene, operators: Operators): Promise<void> {
  const {cluster, admin} = scene;
  const leader = await leaderOf(scene);
  const [lost, second] = [(leader + 1) % 3, (leader + 2) % 3];
  await cluster.replicas[lost]!.end();
  await rm(path.join(cluster.dataFolder, `r${lost}`), {recursive: true});
  const [port] = await reservePorts(1);
  const listen = `127.0.0.1:${port}`;
  const blank = await cluster.startDaemon({
    instanceId: 'control-3',
    replica: {id: 'r3', listen},
  });
  // Frozen, so that it has certainly not caught up when the second replica is killed.
  blank.kill('SIGSTOP');
  await eventually('the learner', () =>
    callAdmin(admin, 'addLearner', {replicaId: 'r3', address: listen}),
  );
  await cluster.replicas[second]!.end();
  blank.kill('SIGCONT');
  await delay(SETTLE_MS);
  const before = operators.acknowledged.length;
  await delay(SETTLE_MS);
  assert.equal(operators.acknowledged.length, before, 'a change was accepted without a majority');
  await assert.rejects(
    callAdmin(admin, 'status', {}),
    (failure: MedlarlaneError) => failure.code === 'NO_LEADER',
  );

  cluster.replicas[second] = await cluster.restartReplica(second);
  await acknowledgedMore(operators, 5);
  await eventually('the promotion', () => callAdmin(admin, 'promote', {replicaId: 'r3'}), {
    limitMs: LIMIT_MS,
  });
  await eventually('the removal', () => callAdmin(admin, 'removeMember', {replicaId: `r${lost}`}));
  // The new replica is now needed for every majority, and leads in some of the runs.
  await cluster.replicas[leader]!.end();
  await acknowledgedMore(operators, 10);
  await operators.stop();
  await eventually('equal state', () => servesState(scene, listen), {limitMs: LIMIT_MS});
}

async function isolateReplica(scene: Scene, operators: Operators): Promise<void> {
  const {cluster, network, team, admin} = scene;
  await eventually('the keyed service', () =>
    team.apply(admin, documentOf(), {changeId: 'keyed-service'}),
  );
  const isolated = ((await leaderOf(scene)) + 1) % 3;
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
  await eventually('owners', () => ownedBy(2), {limitMs: LIMIT_MS});
  await servers[0]!.end();
  await eventually('one owner', () => ownedBy(1), {limitMs: LIMIT_MS});
  await acknowledgedMore(operators, 30);
  network.reconnect(isolated);
  await operators.stop();
  await eventually('equal state', () => servesState(scene, addressOf(scene, isolated)), {
    limitMs: LIMIT_MS,
  });
}

/** Waits until so many further changes are acknowledged. */
async function acknowledgedMore(operators: Operators, count: number): Promise<void> {
  const target = operators.acknowledged.length + count;
  await eventually(
    `${count} more changes`,
    () => operators.violations.length > 0 || operators.acknowledged.length >= target,
    {limitMs: LIMIT_MS},
  );
}

async function leaderOf({admin}: Scene): Promise<number> {
  const {leaderId} = await eventually('the leader', () => callAdmin(admin, 'status', {}));
  return Number(leaderId.slice(1));
}

/** Address at which a replica listens itself, around the links that may be cut. */
function addressOf({cluster, network}: Scene, replica: number): string {
  return `${network.listenHost(replica)}:${cluster.controlPorts[replica]}`;
}

/** Whether a replica and the leader serve the same state as of one index. */
async function servesState(scene: Scene, address: string): Promise<boolean> {
  const [own, leading] = await Promise.all([
    readDirectory(address),
    readDirectory(addressOf(scene, await leaderOrReachable(scene))),
  ]);
  if (own.index !== leading.index) return false;
  assert.deepEqual(own.snapshot, leading.snapshot);
  return true;
}

/** The leader when it is one of the first replicas, otherwise any of them that runs. */
async function leaderOrReachable(scene: Scene): Promise<number> {
  const {members, leaderId} = await callAdmin(scene.admin, 'status', {});
  const first = members.filter(({replicaId, reachable}) => reachable && replicaId !== 'r3');
  const chosen = first.find(({replicaId}) => replicaId === leaderId) ?? first[0]!;
  return Number(chosen.replicaId.slice(1));
}

async function logFile({cluster}: Scene, replica: number): Promise<string> {
  const folder = path.join(cluster.dataFolder, `r${replica}`);
  const name = (await readdir(folder)).find((file) => /^log/.test(file));
  if (!name) throw new Error(`No log in ${folder}`);
  return path.join(folder, name);
}

function relayOf({ready}: DaemonProcess): ReturnType<typeof startLinkRelay> {
  const [host, port] = ready.admin.split(':');
  return startLinkRelay({serverHost: host!, serverPort: Number(port)});
}

async function historyEntry(
  {admin}: Scene,
  changeId: string,
): Promise<{revision: number; index: number} | undefined> {
  const {revisions} = await callAdmin(admin, 'history', {service: SERVICE, limit: 50});
  return revisions.find((entry) => entry.changeId === changeId);
}

async function outcomeOf(answer: Promise<{revision: number; index: number}>): Promise<string> {
  try {
    const {revision, index} = await answer;
    return `revision ${revision} at ${index}`;
  } catch (failure) {
    return failure instanceof MedlarlaneError ? failure.code : String(failure);
  }
}

/** A document of a service that is not split by key. */
function plainDocument(service: string, slots: number): DocumentInput {
  return {service, splitByKey: false, targets: {slots, connections: 120}};
}

/** Applies `count` changes, ten services at a time. */
async function applyMany({team, admin}: Scene, count: number, name = 'many'): Promise<void> {
  const perService = Math.ceil(count / 10);
  await Promise.all(
    Array.from({length: Math.ceil(count / perService)}, async (_, number) => {
      const service = `prairie-crag/${name}-${number}`;
      for (let baseRevision = 0; baseRevision < perService; baseRevision++) {
        // A change whose outcome is open, because the leader changed, is resent with its id.
        const changeId = randomUUID();
        const document = plainDocument(service, baseRevision + 1);
        await eventually(`revision ${baseRevision + 1} of ${service}`, () =>
          team.apply(admin, document, {baseRevision, changeId}),
        );
      }
    }),
  );
}
