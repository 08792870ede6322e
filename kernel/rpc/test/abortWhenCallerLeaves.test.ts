import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {describe, it} from 'node:test';
import type {TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {abortWhenCallerLeaves} from '@medlarlane/rpc';

const REQUEST = 'DELETE /evacuations/a HTTP/1.1\r\nHost: control\r\n\r\n';

/** Ways in which a caller gives up a request that it has just sent. */
const DEPARTURES: Readonly<Record<string, (socket: Socket) => void>> = {
  'closes the connection': (socket) => socket.end(REQUEST),
  'resets the connection': (socket) => socket.write(REQUEST, () => socket.resetAndDestroy()),
};

// Guards against calls that are carried out although their sender has given them up.
describe('The signal of a caller that leaves', () => {
  for (const [name, leave] of Object.entries(DEPARTURES)) {
    it(`aborts when the caller ${name} right after its request`, async (test) => {
      const {port, signals} = await startServer(test, () => undefined);
      leave(net.connect(port, '127.0.0.1').on('error', () => undefined));
      while (signals.length === 0) await delay(5);
      if (!signals[0]!.aborted) await once(signals[0]!, 'abort');
    });
  }

  it('does not abort for a caller that got its response, on a connection that is used again', async (test) => {
    const {port, signals} = await startServer(test, (response) => response.end('done'));
    const socket = net.connect(port, '127.0.0.1');
    for (let requests = 1; requests <= 20; requests += 1) {
      socket.write(REQUEST);
      await once(socket, 'data');
    }
    socket.end();
    await once(socket, 'close');
    assert.equal(signals.length, 20);
    assert.ok(signals.every(({aborted}) => !aborted));
  });
});

async function startServer(test: TestContext, respond: (response: http.ServerResponse) => void) {
  const signals: AbortSignal[] = [];
  const server = http.createServer((request, response) => {
    signals.push(abortWhenCallerLeaves(request, response));
    request.resume();
    respond(response);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  test.after(() => server.close());
  return {port: (server.address() as AddressInfo).port, signals};
}
