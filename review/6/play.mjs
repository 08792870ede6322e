import {order, Record, send, Site, sleep} from '../common-2/site.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** Traffic starts this long after the machines. */
const LEAD_MS = 10_000;
/** Core machines of the Tharangam deployment freeze for up to 8 s in its site file. */
const FREEZE_MS = 5_500;
/** The new machine is there for `catch_up_s` before the old one is stopped. */
const CATCH_UP_MS = 4_000;
/** `contact_s` and `catch_up_s` after the last event, and a second more. */
const CALM_MS = 8_000;
const DOWN_MS = 700;
/** Twice `recovery_s`. */
const RECOVERY_MS = 30_000;

const configuration = (version, base) =>
  JSON.stringify({
    version,
    base_version: base,
    routes: {
      columns: [
        'name',
        'host',
        'path_prefix',
        'kind',
        'timeout_s',
        'target_latency_s',
        'priority',
        'service',
        'max_attempts',
      ],
      rows: [['walls', 'walls.example', '/walls/', 'safe', 1.2, 0.5, 2, 'wallboard', 2]],
    },
    services: {
      columns: ['name', 'health_path', 'max_connections', 'sharded'],
      rows: [['wallboard', '/health', 120, true]],
    },
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 1000000,
      header_timeout_s: 3,
      idle_timeout_s: 15,
    },
  });

async function play(record, site) {
  const seeds = [1, 2, 3];
  const zones = ['yard-north', 'yard-east', 'civic-hall', 'yard-north', 'yard-east', 'yard-east'];
  const machines = zones.map((zone, index) =>
    site.addMachine({number: index + 1, role: 'control', zone, seeds}),
  );
  const [first, leaving, frozen, fourth, fifth, added] = machines;
  const initial = machines.slice(0, 5);
  for (const machine of initial) machine.start({bootstrap: true});
  record.add('five core machines started');
  await sleep(LEAD_MS);
  const before = await order(
    initial,
    {method: 'PUT', url: '/config', body: configuration(1, 0), forMs: 10_000},
    record,
  );
  if (before?.status !== 200) return 2;

  if (HAS_TROUBLE) {
    frozen.signal('SIGSTOP');
    record.add(`${frozen.name} freezes`);
  }
  await sleep(FREEZE_MS - CATCH_UP_MS);
  added.start({bootstrap: false});
  record.add(`${added.name} started with an empty disk; it replaces ${leaving.name}`);
  await sleep(CATCH_UP_MS);
  const stopped = leaving.end('SIGTERM');
  record.add(`${leaving.name} gets SIGTERM`);
  if (HAS_TROUBLE) {
    frozen.signal('SIGCONT');
    record.add(`${frozen.name} wakes`);
  }
  await stopped;
  record.add(`${leaving.name} has ended and is gone for good`);
  await sleep(CALM_MS);
  record.add(`five core machines run undisturbed for ${CALM_MS} ms`);

  const inUse = [first, frozen, fourth, fifth, added];
  const after = await order(
    inUse,
    {method: 'PUT', url: '/config', body: configuration(2, 1), forMs: 10_000},
    record,
  );
  if (after?.status !== 200) return 2;

  const lost = [first, fourth];
  await Promise.all(lost.map((machine) => machine.end('SIGKILL')));
  for (const machine of lost) machine.wipe();
  record.add(`${lost.map(({name}) => name).join(' and ')} lose their disks`);
  await sleep(DOWN_MS);
  for (const machine of lost) machine.start({bootstrap: false});
  record.add('both run again');

  const untilMs = performance.now() + RECOVERY_MS;
  while (performance.now() < untilMs) {
    for (const machine of inUse) {
      const answer = await send(machine.controlAddress, {url: '/config'});
      if (answer.status !== 200) continue;
      const {version} = JSON.parse(answer.body);
      record.add(`GET /config at ${machine.name}: version ${version}`);
      return version === 2 ? 0 : 1;
    }
    await sleep(250);
  }
  record.add(
    `GET /config: no machine answered within ${RECOVERY_MS} ms; version 2 was acknowledged`,
  );
  for (const machine of machines) {
    for (const text of ['Member set changed', 'No replica can take over'])
      for (const line of machine.logged(text))
        record.add(`log of ${machine.name}: ${line.slice(0, 600)}`);
  }
  return 1;
}

const record = new Record(import.meta.dirname);
const site = await Site.open(record);
let result = 2;
try {
  result = await play(record, site);
} catch (failure) {
  record.add(`the case could not run: ${failure}`);
} finally {
  await site.close();
  record.add(['the rule held', 'the rule was broken', 'the case could not run'][result]);
  record.save();
}
process.exit(result);
