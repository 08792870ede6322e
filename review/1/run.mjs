/**
 * CONFIG and Fault: after some hundred changes of a large configuration, no process of the core can
 * start any more within its memory.
 */
import {configuration, configure, findLeader, runCase} from '../common/clients.mjs';
import {limitMemory, MEMORY_MB, sleep, startPrograms} from '../common/processes.mjs';

const FIRST_ROUTES = 8;
/** `big_config` adds up to 499 routes on the standard days. */
const ADDED_ROUTES = 499;
const ADDITIONS = 4;
const CHANGES = 400;
/** A storm of the site file has a change every 0.06 s for 1.5 s. */
const CHANGES_PER_STORM = 25;
const STORM_PAUSE_MS = 500;
/** Ends the changes early on a slow machine. */
const MAX_CHANGES_MS = 75_000;
/** The rule: on half of the core, processes end by themselves three times in the day. */
const ENDS = 3;
const RECOVERY_MS = 16_000;
const READ_FOR_MS = 6_000;

await runCase(import.meta.dirname, async ({record, isTroubled, cleanUp}) => {
  const programs = await startPrograms({services: ['desk'], zones: ['zone-a']});
  cleanUp(() => programs.stop());
  const {ports, controls} = programs;
  const addressOf = ({host}) => `${host}:${ports.control}`;
  const leader = await findLeader(controls);
  const memory = limitMemory(controls, record);
  cleanUp(() => memory.stop());

  let version = 1;
  let routeCount = FIRST_ROUTES;
  await configure(controls.map(addressOf), configurationOf({routeCount, version}), record);
  if (isTroubled) {
    for (let addition = 0; addition < ADDITIONS; addition += 1) {
      routeCount += ADDED_ROUTES;
      version = await change({routeCount, version});
      record('operator', 'version', version, 'with', routeCount, 'routes is acknowledged');
    }
  }
  const startedAtMs = performance.now();
  let changes = 0;
  while (changes < CHANGES && performance.now() - startedAtMs < MAX_CHANGES_MS) {
    version = await change({routeCount, version, timeoutS: 1 + changes / 1_000});
    changes += 1;
    if (changes % 50 === 0)
      record('operator', changes, 'changes, peak MB', memory.peakMb.join(' '));
  }
  record(
    'operator',
    'version',
    version,
    'is the newest acknowledged one, after',
    changes,
    'changes',
  );

  record('platform', 'kills all processes of the core');
  await Promise.all(controls.map((control) => control.killFor(300)));
  await sleep(RECOVERY_MS);
  let readVersion;
  const endMs = performance.now() + READ_FOR_MS;
  for (let turn = 0; readVersion === undefined && performance.now() < endMs; turn += 1) {
    const control = controls[turn % controls.length];
    readVersion = await readVersionAt(addressOf(control));
    record('operator', 'reads at', control.name, readVersion ?? 'nothing');
    await sleep(200);
  }
  memory.stop();
  record('platform', 'ends over the memory:', memory.ends.join(' '));
  record('platform', 'peak MB:', memory.peakMb.join(' '));
  const broken = [];
  if (readVersion !== version) {
    broken.push(
      `CONFIG: version ${version} was acknowledged; ${readVersion ?? 'nothing'} is read from ` +
        `${RECOVERY_MS / 1_000} s after the restart on`,
    );
  }
  const ending = controls.filter((_, index) => memory.ends[index] >= ENDS);
  if (ending.length * 2 >= controls.length) {
    broken.push(
      `Fault: the processes of ${ending.map(({name}) => name).join(', ')} ended by themselves ` +
        `${ENDS} times or more, over their ${MEMORY_MB.control} MB`,
    );
  }
  return broken;

  /** Sends a change until it is acknowledged, to the leader first; returns its version. */
  async function change({routeCount: count, version: baseVersion, timeoutS}) {
    const next = configurationOf({
      routeCount: count,
      version: baseVersion + 2,
      baseVersion,
      timeoutS,
    });
    const body = JSON.stringify(next);
    const order = [leader, ...controls.filter((control) => control !== leader)];
    for (let attempt = 0; attempt < 60; attempt += 1) {
      const control = order[attempt % order.length];
      const status = await put(addressOf(control), body);
      if (status === 200) return next.version;
      if (status >= 400 && status < 500) throw new Error(`change refused with ${status}`);
      await sleep(100);
    }
    throw new Error('a change was not acknowledged');
  }
});

function configurationOf({routeCount, version, baseVersion = 0, timeoutS = 1.2}) {
  const routes = Array.from({length: routeCount}, (_, index) => ({
    name: `r${index}`,
    host: `h${index % 20}.example`,
    path_prefix: `/p${index}/`,
    kind: 'safe',
    timeout_s: index === 0 ? timeoutS : 1.2,
    target_latency_s: 0.5,
    priority: 2,
    service: 'desk',
    max_attempts: 2,
  }));
  return {
    ...configuration({routes, services: [{name: 'desk'}]}),
    version,
    base_version: baseVersion,
  };
}

async function put(address, body) {
  try {
    const response = await fetch(`http://${address}/config`, {
      method: 'PUT',
      body,
      headers: {'content-type': 'application/json'},
      signal: AbortSignal.timeout(3_000),
    });
    await response.arrayBuffer();
    return response.status;
  } catch {
    // Without a clear answer the same change is sent again, to another machine.
    return 0;
  }
}

async function readVersionAt(address) {
  try {
    const response = await fetch(`http://${address}/config`, {signal: AbortSignal.timeout(1_500)});
    const text = await response.text();
    return response.status === 200 ? JSON.parse(text).version : undefined;
  } catch {
    return undefined;
  }
}
