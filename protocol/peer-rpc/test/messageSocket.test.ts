import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {after, describe, it} from 'node:test';
import {DisposableStore} from '@medlarlane/lifecycle';
import {MessageSocket} from '@medlarlane/peer-rpc';

describe('Messages over one connection', () => {
  const disposables = new DisposableStore();
  after(() => disposables.dispose());

  it('arrive as they were sent, short and long ones', async () => {
    const {left, received} = await startPair(disposables);
    const sent = [
      [1, 'a'],
      [2, Buffer.alloc(300_000, 7)],
      [3, ['x', null]],
      [4, Buffer.alloc(8_192)],
    ];
    for (const message of sent) left.send(message);
    await waitFor(() => received.length === sent.length);
    const byNumber = [...received].sort((a, b) => Number(a[0]) - Number(b[0]));
    assert.deepEqual(
      byNumber.map(([, body]) => (body instanceof Uint8Array ? Buffer.from(body) : body)),
      sent.map(([, body]) => body),
    );
  });

  it('are read however the network divides their bytes', async () => {
    const {rawLeft, received, record} = await startPair(disposables);
    const bytes = await record([
      [1, 'first'],
      [2, 'second'],
      [3, Buffer.alloc(20_000, 1)],
    ]);
    for (const size of [1, 7, 8, 4_000]) {
      const before = received.length;
      for (let at = 0; at < Math.min(bytes.length, 60); at += size) {
        rawLeft.write(bytes.subarray(at, Math.min(at + size, 60)));
        await new Promise((resolve) => setImmediate(resolve));
      }
      rawLeft.write(bytes.subarray(60));
      await waitFor(() => received.length === before + 3);
    }
  });

  it('are not held up by a long message before them', async () => {
    const {left, right, received} = await startPair(disposables);
    right.pause();
    left.send([1, Buffer.alloc(8_000_000)]);
    left.send([2, 'short']);
    right.resume();
    await waitFor(() => received.length === 2);
    assert.deepEqual(received[0], [2, 'short']);
  });

  it('end with the connection when its bytes are no messages', async () => {
    const {rawLeft, closed} = await startPair(disposables);
    rawLeft.write('GET / HTTP/1.1\r\n\r\n');
    const failure = await closed;
    assert.match(String(failure), /too long/);
  });
});

interface Pair {
  readonly left: MessageSocket;
  readonly rawLeft: Socket;
  readonly right: Socket;
  readonly received: unknown[][];
  readonly closed: Promise<Error | undefined>;
  /** The bytes that the messages have on the wire. */
  record(messages: readonly unknown[]): Promise<Buffer>;
}

async function startPair(disposables: DisposableStore): Promise<Pair> {
  const server = net.createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  disposables.add(() => void server.close());
  const connect = async (): Promise<[Socket, Socket]> => {
    const accepted = once(server, 'connection') as Promise<[Socket]>;
    const socket = net.connect((server.address() as AddressInfo).port, '127.0.0.1');
    const [other] = await accepted;
    disposables.add(() => void socket.destroy());
    disposables.add(() => void other.destroy());
    return [socket, other];
  };
  const [rawLeft, right] = await connect();
  const received: unknown[][] = [];
  const closed = new Promise<Error | undefined>((resolve) => {
    new MessageSocket(right, {
      onMessage: (message) => received.push(message as unknown[]),
      onClose: resolve,
    });
  });
  const left = new MessageSocket(rawLeft, {onMessage: () => undefined, onClose: () => undefined});
  const record = async (messages: readonly unknown[]): Promise<Buffer> => {
    const [from, to] = await connect();
    const chunks: Buffer[] = [];
    to.on('data', (chunk: Buffer) => chunks.push(chunk));
    const sender = new MessageSocket(from, {onMessage: () => undefined, onClose: () => undefined});
    for (const message of messages) sender.send(message);
    sender.end();
    await once(to, 'end');
    return Buffer.concat(chunks);
  };
  return {left, rawLeft, right, received, closed, record};
}

async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}
