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

  it('arrive unchanged, whether short or long', async () => {
    const {sender, received} = await connectPair(disposables);
    const sent = [
      [1, 'a'],
      [2, Buffer.alloc(300_000, 7)],
      [3, ['x', null]],
      [4, Buffer.alloc(8_192)],
    ];
    for (const message of sent) sender.send(message);
    await waitFor(() => received.length === sent.length);
    const sortedByNumber = [...received].sort((a, b) => Number(a[0]) - Number(b[0]));
    assert.deepEqual(
      sortedByNumber.map(([, body]) => (body instanceof Uint8Array ? Buffer.from(body) : body)),
      sent.map(([, body]) => body),
    );
  });

  it('are decoded no matter how the network splits their bytes', async () => {
    const {senderSocket, received, captureBytes} = await connectPair(disposables);
    const bytes = await captureBytes([
      [1, 'first'],
      [2, 'second'],
      [3, Buffer.alloc(20_000, 1)],
    ]);
    for (const size of [1, 7, 8, 4_000]) {
      const before = received.length;
      for (let at = 0; at < Math.min(bytes.length, 60); at += size) {
        senderSocket.write(bytes.subarray(at, Math.min(at + size, 60)));
        await new Promise((resolve) => setImmediate(resolve));
      }
      senderSocket.write(bytes.subarray(60));
      await waitFor(() => received.length === before + 3);
    }
  });

  it('are not blocked by a long message sent before them', async () => {
    const {sender, receiverSocket, received} = await connectPair(disposables);
    receiverSocket.pause();
    sender.send([1, Buffer.alloc(8_000_000)]);
    sender.send([2, 'short']);
    receiverSocket.resume();
    await waitFor(() => received.length === 2);
    assert.deepEqual(received[0], [2, 'short']);
  });

  it('are not blocked by chunks of large responses, which keep their order', async () => {
    const {sender, receiverSocket, received} = await connectPair(disposables);
    receiverSocket.pause();
    for (let chunk = 0; chunk < 1_000; chunk += 1) {
      sender.sendWhenWritable([chunk, Buffer.alloc(8_128)]);
    }
    assert.ok(sender.heldBytes > 1_000_000);
    sender.send([-1, 'short']);
    receiverSocket.resume();
    await waitFor(() => received.length === 1_001);
    const numbers = received.map(([number]) => number as number);
    assert.ok(numbers.indexOf(-1) < 900);
    assert.deepEqual(
      numbers.filter((number) => number >= 0),
      Array.from({length: 1_000}, (_, index) => index),
    );
    assert.equal(sender.heldBytes, 0);
  });

  it('cannot be received after invalid bytes, which close the connection', async () => {
    const {senderSocket, closed} = await connectPair(disposables);
    senderSocket.write('GET / HTTP/1.1\r\n\r\n');
    const failure = await closed;
    assert.match(String(failure), /too long/);
  });
});

interface SocketPair {
  readonly sender: MessageSocket;
  readonly senderSocket: Socket;
  readonly receiverSocket: Socket;
  readonly received: unknown[][];
  readonly closed: Promise<Error | undefined>;
  /** Returns the encoded bytes of the messages. */
  captureBytes(messages: readonly unknown[]): Promise<Buffer>;
}

async function connectPair(disposables: DisposableStore): Promise<SocketPair> {
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
  const [senderSocket, receiverSocket] = await connect();
  const received: unknown[][] = [];
  const closed = new Promise<Error | undefined>((resolve) => {
    new MessageSocket(receiverSocket, {
      onMessage: (message) => received.push(message as unknown[]),
      onClose: resolve,
    });
  });
  const sender = new MessageSocket(senderSocket, {
    onMessage: () => undefined,
    onClose: () => undefined,
  });
  const captureBytes = async (messages: readonly unknown[]): Promise<Buffer> => {
    const [from, to] = await connect();
    const chunks: Buffer[] = [];
    to.on('data', (chunk: Buffer) => chunks.push(chunk));
    const capturingSender = new MessageSocket(from, {
      onMessage: () => undefined,
      onClose: () => undefined,
    });
    for (const message of messages) capturingSender.send(message);
    capturingSender.end();
    await once(to, 'end');
    return Buffer.concat(chunks);
  };
  return {sender, senderSocket, receiverSocket, received, closed, captureBytes};
}

async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}
