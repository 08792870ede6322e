/**
 * CONFIG: after a planned replacement of a machine of the core, the loss of as many disks as are to be
 * borne makes the configuration unreadable for good.
 */
import {
  configuration,
  configure,
  findLeader,
  isReady,
  runCase,
  waitFor,
} from '../common/clients.mjs';
import {sleep, startPrograms} from '../common/processes.mjs';
import {Server} from '../common/server.mjs';

const CATCH_UP_MS = 4_000;
/** Time from the end of the replaced machine until the two others lose their disks. */
const LOSS_AFTER_MS = 2_500;
const DOWN_MS = 700;
/** Over `recovery_s`; the read-back begins after it and lasts for over `contact_s`. */
const RECOVERY_MS = 16_000;
const READ_FOR_MS = 10_000;
const HOST = 'jepu9.example';

await runCase(import.meta.dirname, async ({record, isTroubled, cleanUp}) => {
  const programs = await startPrograms({services: ['desk'], zones: ['zone-a']});
  cleanUp(() => programs.stop());
  const {ports, daemons, controls} = programs;
  const [daemon] = daemons;
  const id = 'i-desk-0';
  const {host} = daemon;
  const server = new Server({id, service: 'desk', zone: 'zone-a', host, ports, record});
  cleanUp(() => server.exit());
  await server.start();
  const addresses = () => controls.map((control) => `${control.host}:${ports.control}`);
  const first = configuration({
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
  });
  await configure(addresses(), first, record);
  await waitFor('ready', () => isReady(`${host}:${ports.ready}`));
  await sleep(6_000);

  const leader = await findLeader(controls);
  record('platform', 'the leader is', leader.name);
  const old = controls.find((control) => control !== leader && controls.indexOf(control) > 2);
  const successor = programs.addControl();
  record('platform', 'adds', successor.name, 'as the successor of', old.name);
  await sleep(CATCH_UP_MS + 500);
  record('platform', 'sends SIGTERM to', old.name, 'and removes it');
  await old.terminate({isRemoved: true});
  record('platform', old.name, 'has ended');
  await sleep(LOSS_AFTER_MS);
  await configure(addresses(), {...first, version: 3, base_version: 1}, record);
  if (isTroubled) {
    const lost = controls.filter((control) => ![leader, old, successor].includes(control));
    const losses = lost.slice(0, 2).map((control) => {
      record('platform', control.name, 'loses its disk');
      return control.loseDisk(DOWN_MS);
    });
    await Promise.all(losses);
    record('platform', 'all machines run again');
  }
  await sleep(RECOVERY_MS);
  const endMs = performance.now() + READ_FOR_MS;
  const versions = new Set();
  const running = controls.filter((control) => control !== old);
  for (let turn = 0; performance.now() < endMs && versions.size === 0; turn += 1) {
    const control = running[turn % running.length];
    const answer = await readConfiguration(`${control.host}:${ports.control}`);
    record('operator', 'reads at', control.name, answer.status, answer.version ?? '');
    if (answer.version !== undefined) versions.add(answer.version);
    await sleep(200);
  }
  if (versions.size > 0) return versions.has(3) ? [] : [`CONFIG: version ${[...versions]} is read`];
  return [
    `CONFIG: version 3 was acknowledged and can't be read at any machine, from ` +
      `${RECOVERY_MS / 1_000} s after all are back and for ${READ_FOR_MS / 1_000} s`,
  ];
});

async function readConfiguration(address) {
  try {
    const response = await fetch(`http://${address}/config`, {signal: AbortSignal.timeout(1_500)});
    const text = await response.text();
    return response.status === 200
      ? {status: 200, version: JSON.parse(text).version}
      : {status: response.status};
  } catch (failure) {
    return {status: failure.name};
  }
}
