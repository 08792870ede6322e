import assert from 'node:assert/strict';
import {after, describe, it} from 'node:test';
import {DisposableStore} from '@medlarlane/lifecycle';
import type {PeerClient, RunResult} from '@medlarlane/request-path';
import {connectCaller, requestHead, startTestEntry, waitFor} from './entryFixture.js';

describe('Pipelined requests of a connection', () => {
  const disposables = new DisposableStore();
  after(() => disposables.dispose());

  /** Starts an entry whose offers are answered by the test, and a caller. */
  async function start(
    isClosing: () => boolean = () => false,
    opts: {maxCallerSilenceMs?: number} = {},
  ) {
    const running = new Map<string, (result: RunResult) => void>();
    const sent: string[] = [];
    let cancelledCount = 0;
    const run: PeerClient['run'] = ({offer, signal}) =>
      new Promise((resolve) => {
        sent.push(offer.requestId);
        running.set(offer.requestId, resolve);
        signal.addEventListener('abort', () => {
          cancelledCount += 1;
          resolve({kind: 'lost', code: 'CANCELLED'});
        });
      });
    const phase = () => (isClosing() ? 'closing' : 'open');
    const {handler, port} = await startTestEntry(disposables, {run, phase, ...opts});
    const caller = await connectCaller(disposables, port);
    return {
      handler,
      caller,
      sent,
      cancelledCount: () => cancelledCount,
      answer: (id: string, status = 200, padding = '') =>
        running.get(id)!({
          kind: 'answered',
          answer: {status, headers: [], body: Buffer.from(`body-${id};${padding}`)},
        }),
    };
  }

  const bodiesOf = (received: string): string[] => received.match(/body-\w+(?=;)/g) ?? [];

  it('run at the same time and are answered in order, although the first one fails', async () => {
    const {caller, sent, answer} = await start();
    caller.socket.write(['a', 'b', 'c'].map((id) => requestHead('safe', id)).join(''));
    await waitFor(() => sent.length === 3);
    answer('c');
    answer('b');
    await new Promise((resolve) => setTimeout(resolve, 30));
    assert.equal(caller.received, '');
    answer('a', 404);
    await waitFor(() => bodiesOf(caller.received).length === 3);
    assert.deepEqual(bodiesOf(caller.received), ['body-a', 'body-b', 'body-c']);
    assert.deepEqual(caller.received.match(/HTTP\/1.1 \d+/g)?.[0], 'HTTP/1.1 404');
    assert.equal(caller.isClosed, false);
  });

  it('are not sent while an unsafe request before them is running', async () => {
    const {caller, sent, answer} = await start();
    caller.socket.write(requestHead('unsafe', 'a', 'Content-Length: 0\r\n'));
    caller.socket.write(requestHead('safe', 'b'));
    await waitFor(() => sent.length === 1);
    await new Promise((resolve) => setTimeout(resolve, 30));
    assert.deepEqual(sent, ['a']);
    answer('a');
    await waitFor(() => sent.length === 2);
  });

  it('are never sent behind a request that closes the connection', async () => {
    const {caller, sent, answer} = await start();
    caller.socket.write(
      requestHead('safe', 'a', 'Connection: close\r\n') + requestHead('safe', 'b'),
    );
    await waitFor(() => sent.length === 1);
    await new Promise((resolve) => setTimeout(resolve, 30));
    answer('a');
    await waitFor(() => caller.isClosed);
    assert.deepEqual([sent, bodiesOf(caller.received)], [['a'], ['body-a']]);
  });

  it('that were sent are all answered before a planned stop closes the connection', async () => {
    let isClosing = false;
    const {caller, sent, answer, handler} = await start(() => isClosing);
    // Only eight run at the same time; the others count as not read once the close is decided.
    const ids = Array.from({length: 12}, (_, index) => `r${index}`);
    caller.socket.write(ids.map((id) => requestHead('safe', id)).join(''));
    await waitFor(() => sent.length === 8);
    isClosing = true;
    for (const id of sent.toReversed()) answer(id);
    await waitFor(() => caller.isClosed);
    assert.deepEqual(new Set(sent), new Set(ids.slice(0, 8)));
    assert.deepEqual(
      bodiesOf(caller.received),
      ids.slice(0, 8).map((id) => `body-${id}`),
    );
    assert.equal(caller.received.match(/Connection: close/g)?.length, 1);
    assert.equal(handler.inFlight, 0);
  });

  it('that were sent are answered before bytes that are no request close the connection', async () => {
    const {caller, sent, answer} = await start();
    caller.socket.write(requestHead('safe', 'a') + requestHead('safe', 'b'));
    await waitFor(() => sent.length === 2);
    caller.socket.write('no request\r\n\r\n');
    await new Promise((resolve) => setTimeout(resolve, 30));
    answer('a');
    answer('b');
    await waitFor(() => caller.isClosed);
    assert.deepEqual(bodiesOf(caller.received), ['body-a', 'body-b']);
  });

  // Guards against a lookup that is cut off 5 s after the large answer before it: the timeout for callers that do
  // not read stayed in force on the connection.
  it('are answered however long they run behind a large answer', async () => {
    const maxCallerSilenceMs = 100;
    const {caller, sent, answer} = await start(undefined, {maxCallerSilenceMs});
    caller.socket.write(requestHead('safe', 'a') + requestHead('safe', 'b'));
    await waitFor(() => sent.length === 2);
    answer('a', 200, 'x'.repeat(20_000_000));
    await waitFor(() => caller.received.length > 20_000_000);
    await new Promise((resolve) => setTimeout(resolve, 5 * maxCallerSilenceMs));
    answer('b');
    await waitFor(() => bodiesOf(caller.received).length === 2);
  });

  it('are cut off when the caller does not read a large answer', async () => {
    const {caller, sent, answer} = await start(undefined, {maxCallerSilenceMs: 100});
    caller.socket.write(requestHead('safe', 'a'));
    await waitFor(() => sent.length === 1);
    caller.socket.pause();
    answer('a', 200, 'x'.repeat(20_000_000));
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    caller.socket.resume();
    await waitFor(() => caller.isClosed);
    assert.ok(caller.received.length < 20_000_000);
  });

  it('are all cancelled when the caller disconnects, and none is left in flight', async () => {
    const {caller, sent, handler, cancelledCount} = await start();
    caller.socket.write(requestHead('safe', 'a') + requestHead('safe', 'b'));
    await waitFor(() => sent.length === 2);
    caller.socket.destroy();
    await waitFor(() => cancelledCount() === 2);
    await waitFor(() => handler.inFlight === 0);
  });

  it('beyond the limit of a connection are not read, and the connection is closed', async () => {
    const {caller, sent, answer} = await start();
    const ids = Array.from({length: 200}, (_, index) => `r${index}`);
    caller.socket.write(ids.map((id) => requestHead('safe', id)).join(''));
    for (let index = 0; !caller.isClosed; index += 1) {
      await waitFor(() => caller.isClosed || sent.length > index);
      if (sent.length > index) answer(sent[index]!);
    }
    assert.ok(sent.length < ids.length);
    assert.deepEqual(
      bodiesOf(caller.received),
      ids.slice(0, sent.length).map((id) => `body-${id}`),
    );
  });
});
