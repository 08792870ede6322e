import {configuration, now, runCase, sharedHolds, sleep} from '../common-3/site.mjs';

const KEYS = 65_536;

await runCase(import.meta.dirname, async ({site, record, withTrouble}) => {
  await site.start({
    sidecars: [{service: 'wallboard'}, {service: 'wallboard'}, {service: 'wallboard'}],
  });
  await site.order('PUT', configuration());
  const {servers} = site;
  await site.until(() => servers.every(({holds}) => holds.length > 0), 'all servers hold keys');
  let isOver = false;
  const statuses = {};
  const traffic = [0, 1, 2].map(async (index) => {
    while (!isOver) {
      const key = Math.floor(Math.random() * KEYS);
      const answer = site
        .request(index, {path: `/walls/${key}`, key})
        .then(({status, failure, id}) => {
          record.add(
            `client at ${site.sidecarHosts[index]}: ${id} key=${key} -> ${status ?? failure}`,
          );
          statuses[status ?? failure] = (statuses[status ?? failure] ?? 0) + 1;
        });
      void answer;
      await sleep(25);
    }
  });
  await sleep(5_000);
  if (withTrouble) {
    // One heartbeat of another writer: it lacks the fields version, cold_left_s, holds and freed.
    const [server] = servers;
    const beat = {
      service: server.service,
      address: `${server.host}:8628`,
      zone: 'yard-north',
      slots: 18,
      state: 'draining',
      sequence: 1,
      born: Date.now(),
    };
    const answer = await server.putBeat(beat, 'i-otherwriter');
    record.add(
      `another writer: PUT /instances/i-otherwriter ${JSON.stringify(beat)} -> ${answer.status ?? answer.failure} ${answer.body ?? ''}`,
    );
  }
  await sleep(8_000);
  isOver = true;
  await Promise.all(traffic);
  await sleep(1_500);
  record.add(`answers to clients: ${JSON.stringify(statuses)}`);
  console.log(`answers to clients: ${JSON.stringify(statuses)}`);
  return sharedHolds(servers, record);
});
