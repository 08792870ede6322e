import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {it} from 'node:test';
import type {ControlClient} from '@medlarlane/control-client';
import {silentLogger} from '@medlarlane/logger';
import {startAdminListener} from '../src/adminListener.js';

const BODY = JSON.stringify({instanceId: 'i-1'});
const DRAIN =
  'POST /v1/drain HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n' +
  `Content-Length: ${BODY.length}\r\n\r\n${BODY}`;

// Guards against a drain that a suspended daemon reads late and that ends the next session of the instance.
it('An admin operation whose sender has closed the connection is not carried out', async (test) => {
  const executed: string[] = [];
  const controlClient = {
    execute: (operation: string) => {
      executed.push(operation);
      return Promise.resolve({});
    },
  } as unknown as ControlClient;
  const listener = await startAdminListener({
    host: '127.0.0.1',
    port: 0,
    logger: silentLogger,
    controlClient,
    token: undefined,
    metrics: () => Promise.resolve({contentType: 'text/plain', text: ''}),
    isReady: () => true,
  });
  test.after(() => listener.close());
  for (const isGivenUp of [true, false]) {
    const socket = net.connect(listener.port, '127.0.0.1').on('error', () => undefined);
    if (isGivenUp) socket.end(DRAIN);
    else socket.write(DRAIN);
    await once(socket.resume(), 'close');
    assert.deepEqual(executed, isGivenUp ? [] : ['drain']);
  }
});
