/**
 * OWNER: a report of a daemon that arrives late makes the leader give away keys that the server beside
 * the daemon holds.
 */
import {
  configuration,
  configure,
  findLeader,
  isReady,
  runCase,
  sendRequest,
  waitFor,
} from '../common/clients.mjs';
import {sleep, startPrograms} from '../common/processes.mjs';
import {startRelay} from '../common/relay.mjs';
import {Server} from '../common/server.mjs';
import {watchSharedKeys} from '../common/sharedKeys.mjs';

const HOST = 'jepu9.example';
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const ROUNDS = 9;
/** A packet that is lost twice is sent again after 200 ms and 400 ms more. */
const RETRANSMISSION_MS = 600;
/** Time after the last timely heartbeat at which the grant of its answer has run out. */
const GRANT_OVER_MS = 3_330;
const HEARTBEATS_BACK_MS = 3_880;
const NEXT_LATE_MS = 200;
const ROUND_PAUSE_MS = 2_500;

await runCase(import.meta.dirname, async ({record, isTroubled, cleanUp}) => {
  const relays = [];
  const programs = await startPrograms({
    services: ZONES.map(() => 'wall'),
    zones: ZONES,
    prepareSeeds: async ({prefix, controls, ports}) => {
      const leader = await findLeader(controls);
      record('platform', 'the leader is', leader.name);
      for (const index of ZONES.keys()) {
        const host = `${prefix}.${201 + index}`;
        const link = {host, port: ports.internal, toHost: leader.host, toPort: ports.internal};
        relays.push(await startRelay(link));
        cleanUp(() => relays[index].close());
      }
      // A daemon calls the second of its seeds first.
      const [first, third] = controls.filter((control) => control !== leader);
      return (index) =>
        [first.host, `${prefix}.${201 + index}`, third.host].map(
          (host) => `${host}:${ports.control}`,
        );
    },
  });
  cleanUp(() => programs.stop());
  const {ports, daemons, controls} = programs;
  const servers = daemons.map(({host}, index) => {
    const server = new Server({
      id: `i-wall-${index}`,
      service: 'wall',
      zone: ZONES[index],
      host,
      ports,
      record,
      workMsOf: () => 160,
    });
    server.isKeyed = true;
    return server;
  });
  for (const server of servers) {
    server.onHolds = (holds) => record('server', server.id, 'holds', JSON.stringify(holds));
    cleanUp(() => server.exit());
    await server.start();
  }
  await configure(
    controls.map(({host}) => `${host}:${ports.control}`),
    configuration({
      routes: [
        {
          name: 'r-wall',
          host: HOST,
          path_prefix: '/wall/',
          kind: 'safe',
          timeout_s: 1.2,
          target_latency_s: 0.5,
          priority: 2,
          service: 'wall',
          max_attempts: 2,
        },
      ],
      services: [{name: 'wall', sharded: true}],
    }),
    record,
  );
  for (const {host} of daemons) await waitFor('ready', () => isReady(`${host}:${ports.ready}`));
  await waitFor('all servers hold keys', () => servers.every(({holds}) => holds.length > 0));
  await sleep(3_000);

  const shared = watchSharedKeys(servers, record);
  cleanUp(() => shared.stop());
  let isTrafficOver = false;
  const traffic = (async () => {
    for (let count = 0; !isTrafficOver; count += 1) {
      const {host} = daemons[count % daemons.length];
      void sendRequest({
        address: `${host}:${ports.caller}`,
        path: '/wall/2f',
        id: `wall-${count}`,
        host: HOST,
        key: Math.floor(Math.random() * 65_536),
        deadlineMs: 1_200,
      });
      await sleep(25);
    }
  })();
  for (let round = 0; round < ROUNDS && shared.breaks.length === 0; round += 1) {
    const victim = servers.reduce((a, b) => (keyCount(b) > keyCount(a) ? b : a));
    await playRound(victim, relays[servers.indexOf(victim)], record, isTroubled);
    await sleep(ROUND_PAUSE_MS);
  }
  isTrafficOver = true;
  await traffic;
  shared.stop();
  return shared.breaks;
});

/** The server's heartbeats come late; as they come again, the link loses one packet of a report. */
async function playRound(server, relay, record, isTroubled) {
  const {acknowledgedAtMs: before} = server;
  await waitFor('a heartbeat', () => server.acknowledgedAtMs > before);
  const startedAtMs = server.acknowledgedAtMs;
  const until = (ms) => sleep(Math.max(0, startedAtMs + ms - performance.now()));
  server.beginLatePath();
  record('platform', 'heartbeats of', server.id, 'come late from now on');
  await until(GRANT_OVER_MS);
  if (isTroubled) {
    void relay.loseNextPacket(RETRANSMISSION_MS).then(() => {
      record('platform', 'a packet from the daemon of', server.id, 'to the leader is lost');
    });
  }
  await until(HEARTBEATS_BACK_MS);
  relay.disarm();
  server.endLatePath();
  record('platform', 'heartbeats of', server.id, 'come again');
  await sleep(NEXT_LATE_MS);
  server.beginLatePath();
  record('platform', 'the next heartbeat of', server.id, 'comes late');
  await sleep(2_000);
  server.endLatePath();
}

function keyCount({holds}) {
  return holds.reduce((sum, [from, to]) => sum + to - from + 1, 0);
}
