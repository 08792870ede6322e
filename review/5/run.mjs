/**
 * DRAIN: a server that leaves with DELETE while the daemon beside it restarts gets new work until it
 * exits, although the DELETE was acknowledged.
 */
import {
  configuration,
  configure,
  isReady,
  runCase,
  sendRequest,
  waitFor,
} from '../common/clients.mjs';
import {listenSilently, sleep, startPrograms} from '../common/processes.mjs';
import {Server} from '../common/server.mjs';

const DRAIN_MS = 2_000;
const CONTACT_MS = 3_000;
/** Time for which the leaving server goes on serving after its DELETE was acknowledged. */
const STAY_MS = 3_400;
const DOWN_MS = 900;
/** Twice `contact_s` after the loss of a machine of the core, which is stable again by then. */
const CORE_SETTLES_MS = 6_000;
const RATE_RPS = 30;
const HOST = 'jepu9.example';
const ZONES = ['zone-a', 'zone-b', 'zone-c'];

await runCase(import.meta.dirname, async ({record, isTroubled, cleanUp}) => {
  const programs = await startPrograms({services: ['desk', 'desk', 'desk'], zones: ZONES});
  cleanUp(() => programs.stop());
  const {ports, daemons, controls} = programs;
  const servers = daemons.map(
    ({host}, index) =>
      new Server({
        id: `i-desk-${index}`,
        service: 'desk',
        zone: ZONES[index],
        host,
        ports,
        record,
        workMsOf: () => 210,
      }),
  );
  for (const server of servers) {
    cleanUp(() => server.exit());
    await server.start();
  }
  const [leaving] = servers;
  const [restarted] = daemons;
  const runs = [];
  const ends = [];
  leaving.onBegin = (run) => runs.push(run);
  leaving.onEnd = (run) => ends.push(run);
  await configure(
    controls.map(({host}) => `${host}:${ports.control}`),
    configuration({
      routes: [
        {
          name: 'r-book',
          host: HOST,
          path_prefix: '/book/',
          kind: 'unsafe',
          timeout_s: 1.5,
          target_latency_s: 0.6,
          priority: 1,
          service: 'desk',
          max_attempts: 2,
        },
      ],
      services: [{name: 'desk'}],
    }),
    record,
  );
  for (const {host} of daemons) await waitFor('ready', () => isReady(`${host}:${ports.ready}`));
  await sleep(4_000);

  let isTrafficOver = false;
  const answers = [];
  const pending = [];
  const traffic = (async () => {
    for (let count = 0; !isTrafficOver; count += 1) {
      const daemon = daemons[count % daemons.length];
      const id = `book-${count}`;
      pending.push(
        sendRequest({
          address: `${daemon.host}:${ports.caller}`,
          path: '/book/2f',
          id,
          host: HOST,
          method: 'POST',
          body: 'wall=7',
          deadlineMs: 1_500,
        }).then((answer) => {
          answers.push({...answer, daemon: daemon.name});
          record('client', daemon.name, id, 'status', answer.status, answer.reason ?? '');
        }),
      );
      await sleep(1_000 / RATE_RPS);
    }
  })();
  await sleep(2_000);

  let restart = Promise.resolve();
  if (isTroubled) {
    const [, lost] = controls;
    await lost.stop();
    cleanUp(await listenSilently(lost.host, ports.internal));
    record('platform', lost.name, 'is lost for good');
  }
  await sleep(CORE_SETTLES_MS);
  if (isTroubled) {
    record('platform', 'kills', restarted.name);
    restart = restarted.killFor(DOWN_MS);
    await sleep(300);
  }
  const acknowledgedAtMs = await leaving.leaveAbruptly();
  await restart;
  const inTouchAtMs = isTroubled ? restarted.startedAtMs + CONTACT_MS : -Infinity;
  record('platform', restarted.name, 'is in touch from', record.seconds(inTouchAtMs));
  await sleep(STAY_MS);
  await leaving.exit();
  await sleep(1_000);
  isTrafficOver = true;
  await traffic;
  await Promise.all(pending);

  const lateFromMs = Math.max(acknowledgedAtMs + DRAIN_MS, inTouchAtMs);
  const sentAtMs = new Map(answers.map((answer) => [answer.id, answer.sentAtMs]));
  const late = runs.filter(
    ({id, startedAtMs}) => startedAtMs > lateFromMs && sentAtMs.get(id) > inTouchAtMs,
  );
  const cut = new Set(ends.filter(({outcome}) => outcome !== 'done').map(({id}) => id));
  const lost = answers.filter(({id, status}) => cut.has(id) && status !== 200);
  record('requests that reached the leaving server late:', late.length);
  record('of all its requests, cut off by its exit and not served:', lost.length);
  return late.map(
    ({id, startedAtMs}) =>
      `DRAIN: ${id} reached ${leaving.id} ` +
      `${((startedAtMs - acknowledgedAtMs) / 1_000).toFixed(2)} s after its DELETE was acknowledged`,
  );
});
