/**
 * LOST: a kept connection is closed while a sound server is at work on a request that was sent behind
 * a large answer.
 */
import {configuration, configure, isReady, runCase, waitFor} from '../common/clients.mjs';
import {openPipeline} from '../common/pipeline.mjs';
import {sleep, startPrograms} from '../common/processes.mjs';
import {Server} from '../common/server.mjs';

/** Figures of history-lookup and plan-archive of the freight planning mesh. */
const LOOKUP_WORK_MS = 700;
const LOOKUP_DEADLINE_MS = 12_000;
const LOOKUP_TIMEOUT_S = 6;
const ARCHIVE_WORK_MS = 140;
const ARCHIVE_DEADLINE_MS = 5_000;
const ARCHIVE_BYTES = 360_000;
const PIECE_BYTES = 36_000;
const PIECE_EVERY_MS = 25;
/** Factor by which slow servers take longer; the site names up to 12 for 0.4 of the servers. */
const SLOW_FACTOR = 8;
const SLOW_SHARE = 0.4;
const CONNECTIONS = 40;
const CONNECTION_EVERY_MS = 50;
/** More broken connections than this break the rule. */
const MAX_LOST = 3;
const HOST = 'jepu9.example';
const ZONES = ['zone-a', 'zone-b', 'zone-c', 'zone-a', 'zone-b'];

await runCase(import.meta.dirname, async ({record, isTroubled, cleanUp}) => {
  const programs = await startPrograms({services: ZONES.map(() => 'store'), zones: ZONES});
  cleanUp(() => programs.stop());
  const {ports, daemons, controls} = programs;
  const slowCount = Math.round(SLOW_SHARE * daemons.length);
  let isSlow = false;
  const servers = daemons.map(({host}, index) => {
    const slowdown = () => (isSlow && index < slowCount ? SLOW_FACTOR : 1);
    return Object.assign(
      new Server({
        id: `i-store-${index}`,
        service: 'store',
        zone: ZONES[index],
        host,
        ports,
        record,
        workMsOf: ({url}) =>
          url.startsWith('/archive/') ? ARCHIVE_WORK_MS : LOOKUP_WORK_MS * slowdown(),
        bodyOf: ({url}) => Buffer.alloc(url.startsWith('/archive/') ? ARCHIVE_BYTES : 1_500, 'x'),
      }),
      {pieceBytes: PIECE_BYTES, pieceEveryMs: PIECE_EVERY_MS},
    );
  });
  const begun = new Set();
  const cut = new Map();
  for (const server of servers) {
    server.onBegin = ({id}) => begun.add(id);
    server.onEnd = ({id, outcome}) => outcome !== 'done' && cut.set(id, outcome);
    cleanUp(() => server.exit());
    await server.start();
  }
  const common = {host: HOST, service: 'store', max_attempts: 2};
  await configure(
    controls.map(({host}) => `${host}:${ports.control}`),
    configuration({
      routes: [
        {
          ...common,
          name: 'r-archive',
          path_prefix: '/archive/',
          kind: 'download',
          timeout_s: 5,
          target_latency_s: 0.95,
          priority: 1,
        },
        {
          ...common,
          name: 'r-history',
          path_prefix: '/history/',
          kind: 'safe',
          timeout_s: LOOKUP_TIMEOUT_S,
          target_latency_s: 4,
          priority: 2,
        },
      ],
      services: [{name: 'store'}],
    }),
    record,
  );
  for (const {host} of daemons) await waitFor('ready', () => isReady(`${host}:${ports.ready}`));
  await sleep(4_000);
  isSlow = isTroubled;
  if (isTroubled) record('platform', slowCount, 'servers take', SLOW_FACTOR, 'times as long');

  const play = async (index) => {
    const {host, name} = daemons[index % daemons.length];
    const connection = openPipeline({address: `${host}:${ports.caller}`, host: HOST});
    const [archiveId, lookupId] = [`archive-${index}`, `lookup-${index}`];
    connection.send({path: '/archive/2f', id: archiveId, deadlineMs: ARCHIVE_DEADLINE_MS});
    await connection.until(() => connection.receivedBytes > 0, ARCHIVE_DEADLINE_MS);
    // The first bytes of the first answer have arrived, the last ones not yet.
    connection.send({path: '/history/2f', id: lookupId, deadlineMs: LOOKUP_DEADLINE_MS});
    const sentAtMs = performance.now();
    record(
      'client',
      name,
      'sends',
      lookupId,
      'after',
      connection.receivedBytes,
      'bytes of',
      archiveId,
    );
    const isAnswered = await connection.until(
      () => connection.answers.length >= 2,
      LOOKUP_DEADLINE_MS,
    );
    const spentMs = Math.round(performance.now() - sentAtMs);
    const statuses = connection.answers.map(({id, status}) => `${id}=${status}`).join(' ');
    record('client', name, statuses, isAnswered ? 'answered' : 'NO ANSWER', 'after', spentMs, 'ms');
    connection.close();
    return {lookupId, isAnswered, spentMs};
  };
  const plays = [];
  for (let index = 0; index < CONNECTIONS; index += 1) {
    plays.push(play(index));
    await sleep(CONNECTION_EVERY_MS);
  }
  const results = await Promise.all(plays);
  const lost = results.filter(
    ({lookupId, isAnswered, spentMs}) =>
      !isAnswered && begun.has(lookupId) && spentMs < LOOKUP_TIMEOUT_S * 1_000,
  );
  record('connections closed without an answer to a request that runs:', lost.length);
  if (lost.length <= MAX_LOST) return [];
  return lost.map(
    ({lookupId, spentMs}) =>
      `LOST: the connection of ${lookupId} was closed after ${spentMs} ms, its server: ${cut.get(lookupId)}`,
  );
});
