import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {request} from 'undici';
import {startTargetListener} from '@medlarlane/announce';
import {parseFault, startExampleTarget} from '@medlarlane/example-target';
import type {ExampleTargetOptions} from '@medlarlane/example-target';
import {startTargetProcess, eventually} from '@medlarlane/test-support';
import {createSettings, sendRequest, SERVICE, startLink} from './support.js';

const OPTS = {timeout: 30_000};

const PROBES: Array<{
  name: string;
  target: Partial<ExampleTargetOptions>;
  freeze?: boolean;
  ok: boolean;
  reason: string | undefined;
}> = [
  {name: 'a healthy target', target: {}, ok: true, reason: undefined},
  {name: 'a target that takes 6 ms', target: {probeDelayMs: 6}, ok: true, reason: undefined},
  {name: 'a frozen target', target: {}, freeze: true, ok: false, reason: 'timeout'},
];

for (const {name, target, freeze, ok, reason} of PROBES) {
  test(`Three probes of ${name} are observed as ${reason ?? 'ok'}`, OPTS, async (t) => {
    const running = await startExampleTarget({service: SERVICE, ...target});
    t.after(() => running.kill());
    if (freeze) running.freeze(3_600_000);
    const timeoutMs = ok ? 10_000 : 30;
    const probe = {path: '/healthz', intervalMs: 20, timeoutMs, failures: 3};
    const {probes, hasExited} = startLink(t, running.address, {
      settings: createSettings({probe}),
    });
    await eventually('three probes', () => probes.length >= 3);
    assert.deepEqual(
      probes.slice(0, 3).map((seen) => [seen.ok, seen.reason, seen.failed]),
      [1, 2, 3].map((count) => [ok, reason, !ok && count === 3]),
    );
    // Timers may fire a fraction of a millisecond early.
    if (target.probeDelayMs) assert.ok(probes.every(({latencyMs}) => latencyMs >= 5));
    assert.equal(hasExited(), false, 'a frozen target has not exited');
  });
}

const LARGE = 'x'.repeat(200_000);
const MALFORMED_RESPONSES: Array<[name: string, reason: RegExp, response: string]> = [
  ['garbage', /./, '\u0000 not HTTP\r\n\r\n'],
  [
    'an oversized body',
    /larger than 65536/,
    `HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n${LARGE}`,
  ],
  ['a cut body', /./, 'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf'],
  ['a server error', /^status 500$/, 'HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n'],
];

for (const [name, reason, response] of MALFORMED_RESPONSES) {
  test(`A probe that receives ${name} counts as failed`, OPTS, async (t) => {
    const {probes} = startLink(t, await startRawServer(t, response));
    await eventually('a probe', () => probes.length > 0);
    assert.equal(probes[0]?.ok, false);
    assert.match(probes[0]?.reason ?? '', reason);
  });
}

test('A killed target process is reported before the next probe is due', OPTS, async (t) => {
  const {child, address} = await startTargetProcess(t, ['--service', SERVICE]);
  const probe = {path: '/healthz', intervalMs: 3_600_000, timeoutMs: 250, failures: 3};
  const {hasExited, probes} = startLink(t, address, {settings: createSettings({probe})});
  await eventually('the first probe', () => probes.length === 1);
  assert.equal(hasExited(), false);
  child.kill('SIGKILL');
  await eventually('the report of the exit', hasExited);
});

test('A target that closes idle connections is not reported as exited', OPTS, async (t) => {
  let connections = 0;
  const server = createServer((socket) => {
    connections += 1;
    socket.destroy();
  });
  const {hasExited} = startLink(t, await listen(t, server));
  await eventually('more than 20 connections', () => connections > 20);
  assert.equal(hasExited(), false);
});

test(
  'A target refuses requests outside its grant and requests of stale epochs',
  OPTS,
  async (t) => {
    const target = await startExampleTarget({service: SERVICE, checksGrants: true});
    t.after(() => target.kill());
    const ranges = [{startPosition: 100, endPosition: 200, epoch: 7}];
    const grant = {epoch: 9, leaseRemainingMs: 60_000, ranges};
    const {link} = startLink(t, target.address, {
      settings: createSettings({checksGrants: true}),
      grant: () => grant,
    });
    assert.equal(await link.pushGrant(), true);
    const cases = [
      {position: 100, epoch: 7, status: 200},
      {position: 199, epoch: 8, status: 200},
      {position: 100, epoch: 6, status: 409},
      {position: 200, epoch: 9, status: 409},
      {position: 99, epoch: 9, status: 409},
    ];
    for (const {position, epoch, status} of cases) {
      const headers = {'medlarlane-position': `${position}`, 'medlarlane-epoch': `${epoch}`};
      const response = await sendRequest(target.address, headers);
      assert.equal(response.status, status, JSON.stringify({position, epoch}));
      assert.equal(response.ran, status === 409 ? 'no' : undefined);
    }
    assert.equal((await sendRequest(target.address)).status, 409, 'a request without epoch');
    assert.equal(target.stats().runs, 2);
  },
);

test('A target frozen beyond the lease runs none of the requests that waited', OPTS, async (t) => {
  const args = ['--service', SERVICE, '--checks-grants'];
  const {child, address, stats} = await startTargetProcess(t, args);
  const leaseMs = 1200;
  let leaseEndMs = performance.now() + 60_000;
  const {link} = startLink(t, address, {
    settings: createSettings({checksGrants: true}),
    controlTimeoutMs: 300,
    grant: () => {
      const leaseRemainingMs = leaseEndMs - performance.now();
      return leaseRemainingMs > 0 ? {epoch: 5, leaseRemainingMs} : undefined;
    },
  });
  const headers = {'medlarlane-epoch': '5'};
  await eventually('a confirmed grant', () => link.pushGrant());
  assert.equal((await sendRequest(address, headers)).status, 200);

  leaseEndMs = performance.now() + leaseMs;
  await link.pushGrant();
  const grantsBefore = (await stats()).grants;
  child.kill('SIGSTOP');
  // A grant and then a request reach the socket buffers while the process is stopped.
  assert.equal(await link.pushGrant(), false);
  const waiting = sendRequest(address, headers);
  await eventually('the end of the lease', () => performance.now() > leaseEndMs);
  child.kill('SIGCONT');
  await eventually('the delayed grant', async () => (await stats()).grants > grantsBefore);
  for (const pending of [waiting, sendRequest(address, headers)]) {
    const response = await pending;
    assert.deepEqual([response.status, response.ran], [409, 'no']);
  }
  assert.equal((await stats()).runs, 1);
});

test('A cancelled request ends early and reports that it may have run', OPTS, async (t) => {
  const target = await startExampleTarget({service: SERVICE, delayMs: 3_600_000});
  t.after(() => target.kill());
  const {link} = startLink(t, target.address);
  const pending = sendRequest(target.address, {'medlarlane-request-id': 'a/b'});
  await eventually('the run', () => target.stats().runs === 1);
  assert.equal(await link.cancel('other'), false);
  assert.equal(await link.cancel('a/b'), true);
  const response = await pending;
  assert.deepEqual([response.status, response.ran], [499, 'unknown']);
});

test('Drain notification and load reports reach the daemon and the target', OPTS, async (t) => {
  const target = await startExampleTarget({service: SERVICE, slots: 14});
  t.after(() => target.kill());
  const loads: unknown[] = [];
  const {link} = startLink(t, target.address, {
    settings: createSettings({loadPath: '/load'}),
    onLoadReport: (load) => loads.push(load),
  });
  assert.equal(await link.notifyDrain(), true);
  assert.equal(target.stats().draining, true);
  await eventually('a load report', () => loads.length > 0);
  assert.deepEqual(loads[0], {slots: 14, inFlight: 0, queued: 0});
});

const FAULTS: Array<[name: string, fault: string, outcome: 'broken' | 'crashed' | 'ok']> = [
  ['a cut body', 'cut', 'broken'],
  ['garbage', 'garbage', 'broken'],
  ['a crash', 'crash', 'crashed'],
  ['a delay', 'delay=10', 'ok'],
  ['a short freeze', 'freeze=20', 'ok'],
];

for (const [name, fault, outcome] of FAULTS) {
  test(`The fault header for ${name} makes a request ${outcome}`, OPTS, async (t) => {
    let crashed = false;
    const target = await startExampleTarget({
      service: SERVICE,
      allowFaults: true,
      crash: () => {
        crashed = true;
        void target.kill();
      },
    });
    t.after(() => target.kill());
    const pending = sendRequest(target.address, {'medlarlane-fault': fault});
    if (outcome === 'ok') assert.equal((await pending).status, 200);
    else await assert.rejects(pending);
    assert.equal(crashed, outcome === 'crashed');
    assert.equal(target.stats().runs, 1, 'the run is counted although its response is lost');
  });
}

test('Fault headers are ignored unless the option allows them', OPTS, async (t) => {
  const target = await startExampleTarget({service: SERVICE});
  t.after(() => target.kill());
  assert.equal((await sendRequest(target.address, {'medlarlane-fault': 'cut'})).status, 200);
  assert.equal(parseFault('explode'), undefined);
});

test(
  'A restart is reannounced, and another target is accepted only after the first exits',
  OPTS,
  async (t) => {
    const listener = await startTargetListener({port: 0, silenceTimeoutMs: 3_600_000});
    t.after(() => listener.close());
    const kinds: string[] = [];
    listener.onChange(({kind}) => kinds.push(kind));
    const opts = {service: SERVICE, daemon: listener.address};
    const first = await startExampleTarget(opts);
    await eventually('the announcement', () => kinds.length === 1);
    await first.kill();
    const restarted = await startExampleTarget({...opts, port: first.port});
    await eventually('the second announcement', () => kinds.length === 2);
    assert.equal(listener.current?.incarnation, restarted.incarnation);

    const second = await startExampleTarget(opts);
    t.after(() => second.kill());
    const {hasExited} = startLink(t, restarted.address, {
      onProcessExit: () => listener.forget(restarted.incarnation),
    });
    assert.equal(hasExited(), false);
    assert.equal(listener.current?.incarnation, restarted.incarnation);
    await restarted.kill();
    await eventually(
      'the announcement of the second target',
      () => listener.current?.incarnation === second.incarnation,
    );
    assert.deepEqual(kinds, ['announced', 'reannounced', 'announced']);
  },
);

test(
  'A stopping target serves requests until the daemon confirms the withdrawal',
  OPTS,
  async (t) => {
    let confirm = (): void => undefined;
    const confirmed = new Promise<void>((resolve) => (confirm = resolve));
    const listener = await startTargetListener({
      port: 0,
      silenceTimeoutMs: 3_600_000,
      drainTarget: () => confirmed,
    });
    t.after(() => listener.close());
    const opts = {service: SERVICE, daemon: listener.address, delayMs: 100};
    const target = await startExampleTarget(opts);
    await eventually('the announcement', () => listener.current !== undefined);
    const stopped = target.stop();
    await eventually('the withdrawal', () => listener.current === undefined);
    const late = sendRequest(target.address);
    await eventually('the run', () => target.stats().runs === 1);
    confirm();
    assert.equal((await late).status, 200);
    await stopped;
  },
);

test('A target process finishes its requests after SIGTERM and exits with 0', OPTS, async (t) => {
  const listener = await startTargetListener({port: 0, silenceTimeoutMs: 3_600_000});
  t.after(() => listener.close());
  const args = ['--service', SERVICE, '--daemon', listener.address, '--delay-ms', '300'];
  const {child, address, stats} = await startTargetProcess(t, args);
  await eventually('the announcement', () => listener.current !== undefined);
  const pending = sendRequest(address);
  await eventually('the run', async () => (await stats()).runs === 1);
  child.kill('SIGTERM');
  assert.equal((await pending).status, 200);
  const [exitCode] = (await once(child, 'exit')) as [number | null];
  assert.equal(exitCode, 0);
  assert.equal(listener.current, undefined);
});

const INVALID_GRANTS: Array<{name: string; body: string}> = [
  {name: 'no JSON', body: '{"epoch":'},
  {name: 'an empty body', body: ''},
  {name: 'no epoch', body: '{"expiresInMs":1000}'},
  {name: 'a negative time', body: '{"epoch":9,"expiresInMs":-1}'},
  {name: 'an oversized body', body: JSON.stringify({epoch: 9, x: 'x'.repeat(1_100_000)})},
];

for (const {name, body} of INVALID_GRANTS) {
  test(`A grant with ${name} is refused, and the earlier grant stays in force`, OPTS, async (t) => {
    const target = await startExampleTarget({service: SERVICE, checksGrants: true});
    t.after(() => target.kill());
    const put = async (text: string): Promise<number> => {
      const url = `http://${target.address}/.medlarlane/grant`;
      const response = await request(url, {method: 'PUT', body: text});
      await response.body.dump();
      return response.statusCode;
    };
    assert.equal(await put('{"epoch":5,"expiresInMs":60000}'), 200);
    assert.equal(await put(body), 400);
    assert.equal((await sendRequest(target.address, {'medlarlane-epoch': '5'})).status, 200);
    assert.equal(target.stats().grants, 1);
  });
}

async function startRawServer(t: TestContext, response: string): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(response));
  });
  return listen(t, server);
}

async function listen(t: TestContext, server: ReturnType<typeof createServer>): Promise<string> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
