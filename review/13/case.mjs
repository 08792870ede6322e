import {call, configuration, newId, now, runCase, sleep} from '../common-3/site.mjs';

const ZONE = 'yard-east';
const EVACUATE_MS = 5_000;
/** An unstable core stretches the bound by this at most. */
const MAX_SKEW_MS = 5_000;
const FREEZE_MS = 4_000;

await runCase(import.meta.dirname, async ({site, record, withTrouble}) => {
  await site.start({
    sidecars: [1, 2, 3, 4].map(() => ({service: 'wallboard', sharded: false, workMs: 100})),
    bounds: {evacuate_s: 5},
  });
  await site.order(
    'PUT',
    configuration({
      services: [
        ['wallboard', '/health', 120, 'h1', false, null, null, null],
        ['resetdesk', '/health', 120, 'h1', false, null, null, null],
        ['setlog', '/health', 120, 'h1', false, null, null, null],
      ],
    }),
  );
  const send = async (index) => {
    const id = newId();
    const {status, failure} = await site.request(index, {path: '/walls/1', id});
    record.add(`client at ${site.sidecarHosts[index]}: GET ${id} -> ${status ?? failure}`);
    return status;
  };
  for (const index of [0, 1, 2, 3])
    await site.until(async () => (await send(index)) === 200, 'served');
  let isOver = false;
  const traffic = [0, 1, 2, 3].map(async (index) => {
    while (!isOver) {
      void send(index);
      await sleep(30);
    }
  });
  // The operator calls one control process, and after a second without an answer the next one.
  const order = async (method, hosts) => {
    for (const host of hosts) {
      const {status, failure} = await call({
        host,
        port: 8620,
        method,
        path: `/evacuations/${ZONE}`,
        timeoutMs: 1_000,
      });
      record.add(`operator: ${method} /evacuations/${ZONE} at ${host} -> ${status ?? failure}`);
      if (status >= 200 && status < 300) return now();
    }
    throw new Error(`${method} was not acknowledged`);
  };
  const frozenIndex = await findFollower(site);
  const frozen = site.controls[frozenIndex];
  const hosts = [
    site.controlHosts[frozenIndex],
    ...site.controlHosts.filter((_, index) => index !== frozenIndex),
  ];
  await order('POST', hosts);
  await sleep(4_000);
  const frozenAt = now();
  if (withTrouble) frozen.signal('SIGSTOP');
  await order('DELETE', hosts);
  await sleep(1_000);
  const evacuatedAt = await order('POST', hosts.slice(1));
  await sleep(FREEZE_MS - (now() - frozenAt));
  if (withTrouble) frozen.signal('SIGCONT');
  await sleep(evacuatedAt + EVACUATE_MS + MAX_SKEW_MS + 6_000 - now());
  isOver = true;
  await Promise.all(traffic);
  const [, server] = site.servers;
  const late = server.runs.filter(({at}) => at > evacuatedAt + EVACUATE_MS + MAX_SKEW_MS);
  record.add(
    `evacuation acknowledged at ${record.at(evacuatedAt)}, not taken back since; runs at ${server.id} in ${ZONE} later than ` +
      `evacuate_s + max_skew_s after: ${late.length}`,
  );
  if (late.length === 0) return [];
  return [
    `EVAC: ${late.length} requests reached ${server.id} in the evacuated zone ${ZONE}, the last ` +
      `${((late.at(-1).at - evacuatedAt) / 1_000).toFixed(1)} s after the acknowledgement`,
  ];
});

/** Index of a control process that does not lead. */
async function findFollower(site) {
  for (const [index, host] of site.controlHosts.entries()) {
    const {body = ''} = await call({host, port: 9464, path: '/metrics', timeoutMs: 1_000});
    if (/leader\S* 0$/m.test(body)) return index;
  }
  throw new Error('no follower found');
}
