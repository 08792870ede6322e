import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {request} from 'undici';
import {startTargetListener} from '@medlarlane/announce';
import type {TargetChange, TargetListener, TargetListenerOptions} from '@medlarlane/announce';
import {MedlarlaneError} from '@medlarlane/errors';
import {ManualClock} from '@medlarlane/lifecycle';

const FIRST = {service: 'prairie-crag/wallboard', port: 7101, incarnation: 'first'};

test('A target is announced once, reannounced after a restart and withdrawn', async (t) => {
  const {listener, kinds} = await start(t);
  assert.equal((await send(listener, 'PUT', FIRST)).status, 204);
  assert.equal((await send(listener, 'PUT', FIRST)).status, 204);
  assert.deepEqual(listener.current, {
    service: FIRST.service,
    address: '127.0.0.1:7101',
    incarnation: 'first',
  });
  await send(listener, 'PUT', {...FIRST, incarnation: 'second'});
  assert.equal((await send(listener, 'DELETE', {incarnation: 'second'})).status, 204);
  assert.deepEqual(kinds(), ['announced', 'reannounced', 'withdrawn']);
  assert.equal(listener.current, undefined);
});

// Guards against a suspended daemon that reads the announcement of an ended incarnation after that of its successor.
test('An announcement whose sender has closed the connection is ignored', async (t) => {
  const {listener, kinds} = await start(t);
  await send(listener, 'PUT', {...FIRST, incarnation: 'second'});
  const [host, port] = listener.address.split(':');
  const body = JSON.stringify(FIRST);
  const socket = net.connect(Number(port), host).on('error', () => undefined);
  socket.end(`PUT /v1/target HTTP/1.1\r\nHost: d\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
  await once(socket.resume(), 'close');
  await send(listener, 'PUT', {...FIRST, incarnation: 'second'});
  assert.deepEqual(kinds(), ['announced']);
});

test('A late announcement of a withdrawn incarnation is refused', async (t) => {
  const {listener, kinds} = await start(t);
  await send(listener, 'PUT', FIRST);
  const withdrawn = await send(listener, 'DELETE', '', '/v1/target?incarnation=first');
  assert.equal(withdrawn.status, 204);
  assert.equal((await send(listener, 'PUT', FIRST)).status, 409);
  assert.equal((await send(listener, 'DELETE', FIRST)).status, 204);
  assert.deepEqual(kinds(), ['announced', 'withdrawn']);
});

test('A withdrawal gets its response only after the target has been drained', async (t) => {
  let finish = (): void => undefined;
  const finished = new Promise<void>((resolve) => (finish = resolve));
  const {listener} = await start(t, {drainTarget: () => finished});
  await send(listener, 'PUT', FIRST);
  let hasResponse = false;
  const withdrawal = send(listener, 'DELETE', FIRST).then(() => (hasResponse = true));
  // A successor must be refused while the withdrawn target still runs requests.
  while (listener.current) await new Promise(setImmediate);
  const successor = await send(listener, 'PUT', {...FIRST, port: 7102, incarnation: 'second'});
  assert.equal(successor.status, 409);
  assert.equal(hasResponse, false);
  finish();
  await withdrawal;
});

test('A failed drain does not block the next target', async (t) => {
  const drainTarget = (): Promise<void> => {
    throw new Error('broken');
  };
  const {listener} = await start(t, {drainTarget});
  await send(listener, 'PUT', FIRST);
  assert.equal((await send(listener, 'DELETE', FIRST)).status, 500);
  const next = await send(listener, 'PUT', {...FIRST, incarnation: 'second'});
  assert.equal(next.status, 204);
});

test('Silence of 3 s is reported, and a pause of the daemon itself does not count as silence', async (t) => {
  const clock = new PausableClock();
  const {listener, kinds} = await start(t, {clock});
  await send(listener, 'PUT', FIRST);
  await clock.advance(2749);
  await send(listener, 'PUT', FIRST);
  await clock.advance(3000);
  assert.equal(listener.current?.incarnation, 'first');
  await clock.advance(1);
  assert.deepEqual(kinds(), ['announced', 'silent']);
  assert.equal(listener.current, undefined);

  await send(listener, 'PUT', FIRST);
  clock.pausedMs += 60_000;
  await clock.advance(250);
  assert.deepEqual(kinds(), ['announced', 'silent', 'announced']);
});

test('Another target is refused while one is announced and accepted after that one is removed', async (t) => {
  const {listener, kinds} = await start(t);
  const other = {...FIRST, port: 7102, incarnation: 'other'};
  await send(listener, 'PUT', FIRST);
  assert.equal((await send(listener, 'PUT', other)).status, 409);
  assert.equal((await send(listener, 'DELETE', other)).status, 409);
  assert.equal(listener.current?.incarnation, 'first');
  listener.forget('other');
  assert.equal(listener.current?.incarnation, 'first');
  listener.forget('first');
  assert.equal((await send(listener, 'PUT', other)).status, 204);
  assert.deepEqual(kinds(), ['announced', 'announced']);
});

const REFUSED_REQUESTS: Array<
  [name: string, method: 'PUT' | 'DELETE' | 'POST', body: unknown, status: number]
> = [
  ['no JSON', 'PUT', '{"service":', 400],
  ['an empty body', 'PUT', '', 400],
  ['a missing port', 'PUT', {service: 'a/b', incarnation: 'x'}, 400],
  ['port 0', 'PUT', {...FIRST, port: 0}, 400],
  ['no team', 'PUT', {...FIRST, service: 'b'}, 400],
  ['a large body', 'PUT', 'x'.repeat(5000), 413],
  ['another method', 'POST', FIRST, 405],
  ['no incarnation', 'DELETE', {}, 400],
];

for (const [name, method, body, status] of REFUSED_REQUESTS) {
  test(`A request with ${name} is refused with ${status} and changes nothing`, async (t) => {
    const {listener, kinds} = await start(t);
    const response = await send(listener, method, body);
    assert.equal(response.status, status);
    assert.equal(response.contentType, 'application/problem+json');
    const problem = JSON.parse(response.text) as {status: number; code: string; ran: string};
    assert.deepEqual(
      [problem.status, problem.code, problem.ran],
      [status, 'REQUEST_INVALID', 'no'],
    );
    assert.deepEqual(kinds(), []);
    assert.equal((await send(listener, 'PUT', FIRST, '/v2/target')).status, 404);
  });
}

test('The listener accepts only loopback addresses', async () => {
  await assert.rejects(
    startTargetListener({host: '0.0.0.0', port: 0}),
    (error) => error instanceof MedlarlaneError && error.code === 'SETTINGS_INVALID',
  );
});

/** A clock that simulates a paused process: time passes without waking sleepers. */
class PausableClock extends ManualClock {
  pausedMs = 0;

  override nowMs(): number {
    return super.nowMs() + this.pausedMs;
  }
}

async function start(
  t: TestContext,
  opts: Partial<TargetListenerOptions> = {},
): Promise<{listener: TargetListener; kinds: () => string[]}> {
  const listener = await startTargetListener({port: 0, clock: new ManualClock(), ...opts});
  t.after(() => listener.close());
  const changes: TargetChange[] = [];
  listener.onChange((change) => changes.push(change));
  return {listener, kinds: () => changes.map(({kind}) => kind)};
}

interface HttpResponse {
  status: number;
  contentType: string | string[] | undefined;
  text: string;
}

async function send(
  listener: TargetListener,
  method: 'PUT' | 'DELETE' | 'POST',
  body: unknown,
  path = '/v1/target',
): Promise<HttpResponse> {
  const response = await request(`http://${listener.address}${path}`, {
    method,
    body: typeof body === 'string' ? body : JSON.stringify(body),
  });
  const contentType = response.headers['content-type'];
  return {status: response.statusCode, contentType, text: await response.body.text()};
}
