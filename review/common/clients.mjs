/** Clients, the operator and the record of a case. */
import http from 'node:http';
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {sleep} from './processes.mjs';

/** Keeps the lines for `record.txt`, with seconds since its creation. */
export function createRecord(folder) {
  const startedAtMs = performance.now();
  const lines = [];
  const record = (...words) => {
    lines.push(`${((performance.now() - startedAtMs) / 1_000).toFixed(3)} ${words.join(' ')}`);
  };
  record.save = () => writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
  record.seconds = (atMs) => ((atMs - startedAtMs) / 1_000).toFixed(3);
  return record;
}

/** Sends one request on its own connection, or with the given agent. */
export function sendRequest({
  address,
  path: url,
  id,
  host,
  method = 'GET',
  key,
  deadlineMs,
  agent,
  body,
}) {
  const [hostName, port] = address.split(':');
  const sentAtMs = performance.now();
  return new Promise((resolve) => {
    const settle = (outcome) => resolve({id, sentAtMs, endedAtMs: performance.now(), ...outcome});
    const request = http.request({
      host: hostName,
      port,
      path: url,
      method,
      ...(agent ? {agent} : {agent: false}),
      headers: {
        host,
        'request-id': id,
        'deadline-ms': deadlineMs,
        ...(key === undefined ? {} : {'shard-key': key}),
        ...(body === undefined ? {} : {'content-length': Buffer.byteLength(body)}),
      },
    });
    const timer = setTimeout(() => {
      settle({status: 0, reason: 'client deadline'});
      request.destroy();
    }, deadlineMs);
    request.on('error', (failure) => {
      clearTimeout(timer);
      settle({status: 0, reason: failure.code ?? failure.message});
    });
    request.on('response', (response) => {
      const chunks = [];
      response.on('data', (bytes) => chunks.push(bytes));
      response.on('error', (failure) => settle({status: 0, reason: failure.message}));
      response.on('end', () => {
        clearTimeout(timer);
        settle({
          status: response.statusCode,
          headers: response.headers,
          bytes: Buffer.concat(chunks),
        });
      });
    });
    request.end(body);
  });
}

const ROUTE_COLUMNS = [
  'name',
  'host',
  'path_prefix',
  'kind',
  'timeout_s',
  'target_latency_s',
  'priority',
  'service',
  'max_attempts',
];

export function configuration({routes, services, limits = {}}) {
  return {
    version: 1,
    base_version: 0,
    routes: {
      columns: ROUTE_COLUMNS,
      rows: routes.map((route) => ROUTE_COLUMNS.map((column) => route[column] ?? null)),
    },
    services: {
      columns: [
        'name',
        'health_path',
        'max_connections',
        'protocol',
        'tls',
        'sharded',
        'warm_s',
        'grants',
      ],
      rows: services.map(({name, sharded}) =>
        sharded
          ? [name, '/health', 120, 'h1', false, true, 5, 'heartbeat']
          : [name, '/health', 120, 'h1', false, null, null, null],
      ),
    },
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 67108864,
      header_timeout_s: 3,
      idle_timeout_s: 15,
      ...limits,
    },
  };
}

/** Sends the configuration to the daemons of control in turn until it is acknowledged. */
export async function configure(addresses, body, record) {
  const deadlineMs = performance.now() + 20_000;
  for (let turn = 0; performance.now() < deadlineMs; turn += 1) {
    try {
      const response = await fetch(`http://${addresses[turn % addresses.length]}/config`, {
        method: 'PUT',
        body: JSON.stringify(body),
        headers: {'content-type': 'application/json'},
        signal: AbortSignal.timeout(1_000),
      });
      await response.arrayBuffer();
      if (response.status === 200) return record('operator', 'configuration acknowledged');
      if (response.status < 500) throw new Error(`configuration refused with ${response.status}`);
    } catch (failure) {
      if (/refused with/.test(failure.message)) throw failure;
    }
    await sleep(200);
  }
  throw new Error('configuration was not acknowledged');
}

export async function waitFor(what, condition, timeoutMs = 20_000) {
  const deadlineMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > deadlineMs) throw new Error(`${what} did not happen`);
    await sleep(50);
  }
}

export async function isReady(address) {
  try {
    const response = await fetch(`http://${address}/ready`, {signal: AbortSignal.timeout(900)});
    await response.arrayBuffer();
    return response.status === 200;
  } catch {
    return false;
  }
}

/** Finds the leader of control by the metrics of its machines. */
export async function findLeader(controls) {
  let leader;
  await waitFor('an elected leader', async () => {
    for (const control of controls) {
      try {
        const response = await fetch(`http://${control.host}:9464/metrics`);
        if (/^medlarlane_site_is_leader 1$/m.test(await response.text())) leader = control;
      } catch {
        // The process is still starting.
      }
    }
    return leader !== undefined;
  });
  return leader;
}

/** Runs a case: exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. */
export async function runCase(folder, play) {
  const record = createRecord(folder);
  const cleanups = [];
  let code = 2;
  const end = async () => {
    for (const step of cleanups.splice(0)) await Promise.resolve(step()).catch(() => undefined);
    record.save();
    process.exit(code);
  };
  process.once('SIGTERM', () => {
    record('the case ran out of time');
    code = 2;
    void end();
  });
  try {
    const broken = await play({
      record,
      isTroubled: process.env.TROUBLE !== '0',
      cleanUp: (step) => cleanups.unshift(step),
    });
    code = broken.length > 0 ? 1 : 0;
    for (const line of broken) record('BROKEN', line);
    record('result', code === 1 ? 'the rule was broken' : 'the rule held');
  } catch (failure) {
    record('the case could not run:', failure.stack ?? failure.message);
  }
  await end();
}
