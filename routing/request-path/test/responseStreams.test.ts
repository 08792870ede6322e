import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {after, describe, it} from 'node:test';
import {DisposableStore} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';
import {MessageSocket, PEER_OPERATION, PEER_PROTOCOL_VERSION} from '@medlarlane/peer-rpc';
import {
  createPeerClient,
  createTargetClient,
  MemoryBudget,
  ResponseStream,
  startOfferListener,
} from '@medlarlane/request-path';
import type {AdmissionController, Offer, RequestFrame, StreamEnd} from '@medlarlane/request-path';
import {connectCaller, requestHead, startTestEntry, waitFor} from './entryFixture.js';
import type {Caller} from './entryFixture.js';

const LENGTH = 2_000_000;
/** More than the operating system buffers for a connection. */
const SLOW_LENGTH = 30_000_000;

describe('Large response', () => {
  const disposables = new DisposableStore();
  after(() => disposables.dispose());

  it('is broken if its source ends it before its whole length was received', () => {
    const ends: StreamEnd[] = [];
    const stream = new ResponseStream({
      lengthBytes: 10,
      budget: new MemoryBudget(),
      onTaken: () => undefined,
      onCancel: () => undefined,
    });
    stream.push(Buffer.alloc(9));
    stream.finish('complete');
    stream.read({onChunk: () => undefined, onEnd: (end) => ends.push(end)});
    assert.deepEqual(ends, ['broken']);
  });

  it('arrives whole and in order over two hops', async () => {
    const path = await startPath(disposables, (socket) => {
      socket.write(head(LENGTH));
      socket.write(numbered(LENGTH));
    });
    path.caller.socket.write(requestHead('download', 'r1'));
    await waitFor(() => bodyOf(path.caller).length === LENGTH);
    assert.ok(bodyOf(path.caller) === numbered(LENGTH).toString('latin1'));
    await waitFor(() => path.handler.inFlight === 0 && path.budget.heldBytes === 0);
    assert.equal(path.caller.isClosed, false);
  });

  for (const [name, fail] of [
    ['resets', (socket: Socket) => void socket.resetAndDestroy()],
    ['closes', (socket: Socket) => void socket.end()],
  ] as const) {
    it(`never looks whole if the target ${name} its connection midway`, async () => {
      const path = await startPath(disposables, (socket) => {
        socket.write(head(LENGTH));
        socket.write(numbered(LENGTH - 1));
        setTimeout(() => fail(socket), 100);
      });
      path.caller.socket.write(requestHead('download', 'r1'));
      await waitFor(() => path.caller.isClosed);
      assert.match(path.caller.received, /^HTTP\/1.1 200/);
      assert.ok(bodyOf(path.caller).length < LENGTH);
      assert.equal(path.requests(), 1);
      await waitFor(() => path.budget.heldBytes === 0);
    });
  }

  for (const [name, fail] of [
    ['fails before the end is confirmed', (socket: Socket) => void socket.destroy()],
    ['is silent before the end is confirmed', () => undefined],
  ] as const) {
    it(`never looks whole and is not requested again if the peer ${name}`, async () => {
      let offers = 0;
      const address = await startPeer(disposables, (messages, exchangeId, socket) => {
        offers += 1;
        const answer = {status: 200, headers: [], lengthBytes: 20_000};
        messages.send([PEER_OPERATION.result, exchangeId, {kind: 'answered', answer}]);
        for (let sent = 0; sent < 20_000; sent += 5_000) {
          messages.send([PEER_OPERATION.chunk, exchangeId, Buffer.alloc(5_000)]);
        }
        setTimeout(() => fail(socket), 50);
      });
      const peers = disposables.use(createPeerClient({logger: silentLogger}), (p) => p.close());
      const run: typeof peers.run = (request) => peers.run({...request, address});
      const {port} = await startTestEntry(disposables, {run});
      const caller = await connectCaller(disposables, port);
      caller.socket.write(requestHead('download', 'r1'));
      await waitFor(() => caller.isClosed);
      assert.deepEqual([bodyOf(caller).length, offers], [15_000, 1]);
    });
  }

  // Guards against large answers that are cut midway: a peer with a congested link was silent for over 500 ms, and
  // its answers were given up although no other target could take over.
  it('arrives whole although its peer is silent for 1.2 s', async () => {
    const address = await startPeer(disposables, (messages, exchangeId) => {
      const answer = {status: 200, headers: [], lengthBytes: 20_000};
      messages.send([PEER_OPERATION.result, exchangeId, {kind: 'answered', answer}]);
      messages.send([PEER_OPERATION.chunk, exchangeId, Buffer.alloc(5_000)]);
      setTimeout(() => {
        for (let sent = 5_000; sent < 20_000; sent += 5_000) {
          messages.send([PEER_OPERATION.chunk, exchangeId, Buffer.alloc(5_000)]);
        }
        messages.send([PEER_OPERATION.chunkEnd, exchangeId, true]);
      }, 1_200);
    });
    const peers = disposables.use(createPeerClient({logger: silentLogger}), (p) => p.close());
    const run: typeof peers.run = (request) => peers.run({...request, address});
    const {port} = await startTestEntry(disposables, {run});
    const caller = await connectCaller(disposables, port);
    caller.socket.write(requestHead('download', 'r1'));
    await waitFor(() => caller.isClosed || bodyOf(caller).length === 20_000);
    assert.equal(bodyOf(caller).length, 20_000);
  });

  // Guards against a planned stop in which a request at its target is given up and answered with 502.
  it('is awaited from a silent peer for longer while the daemon is stopping', async () => {
    let offers = 0;
    const address = await startPeer(disposables, (messages, exchangeId) => {
      offers += 1;
      const answer = {status: 200, headers: [], body: Buffer.from('answer')};
      const result = [PEER_OPERATION.result, exchangeId, {kind: 'answered', answer}];
      setTimeout(() => messages.send(result), exchangeId === 1 ? 0 : 1_200);
    });
    const isStopping = (): boolean => true;
    const peers = createPeerClient({logger: silentLogger, isStopping});
    disposables.add(() => peers.close());
    const run: typeof peers.run = (request) => peers.run({...request, address});
    const {port} = await startTestEntry(disposables, {run});
    const caller = await connectCaller(disposables, port);
    // The peer is known to answer, so that the next offer includes its request.
    caller.socket.write(requestHead('safe', 'r1'));
    await waitFor(() => caller.received !== '');
    caller.socket.write(requestHead('safe', 'r2'));
    await waitFor(() => (caller.received.match(/HTTP\/1.1 \d+/g) ?? []).length === 2);
    assert.deepEqual(caller.received.match(/HTTP\/1.1 \d+/g), ['HTTP/1.1 200', 'HTTP/1.1 200']);
    assert.equal(offers, 2);
  });

  it('is not passed on without the signature of the target', async () => {
    const path = await startPath(disposables, (socket) => {
      socket.write(head(LENGTH).replace('x-seal: s\r\n', ''));
      socket.write(numbered(LENGTH));
    });
    path.caller.socket.write(requestHead('download', 'r1'));
    await waitFor(() => path.caller.received !== '');
    assert.match(path.caller.received, /^HTTP\/1.1 502/);
  });

  it('is cancelled at the target when its caller disconnects', async () => {
    let closedAtMs = 0;
    const path = await startPath(disposables, (socket) => {
      socket.once('close', () => (closedAtMs = performance.now()));
      socket.write(head(LENGTH));
      socket.write(numbered(LENGTH / 2));
    });
    path.caller.socket.write(requestHead('download', 'r1'));
    await waitFor(() => bodyOf(path.caller).length > 100_000);
    const leftAtMs = performance.now();
    path.caller.socket.destroy();
    await waitFor(() => closedAtMs > 0);
    assert.ok(closedAtMs - leftAtMs < 500);
    await waitFor(() => path.handler.inFlight === 0 && path.listener.openStreams === 0);
  });

  it('holds few bytes for a caller that does not read, delays no other response and ends', async () => {
    const path = await startPath(disposables, (socket, id) => {
      const length = id === 'small' ? 100 : 100_000_000;
      socket.write(head(length));
      socket.write(Buffer.alloc(length));
    });
    path.caller.socket.pause();
    path.caller.socket.write(requestHead('download', 'large'));
    await waitFor(() => path.requests() === 1);
    const startedAtMs = performance.now();
    let peakBytes = 0;
    const timer = setInterval(() => (peakBytes = Math.max(peakBytes, path.budget.heldBytes)), 5);
    await new Promise((resolve) => setTimeout(resolve, 300));
    const other = await connectCaller(disposables, path.port);
    const sentAtMs = performance.now();
    other.socket.write(requestHead('safe', 'small'));
    await waitFor(() => bodyOf(other).length === 100);
    assert.ok(performance.now() - sentAtMs < 400);
    while (path.handler.inFlight > 0 && performance.now() - startedAtMs < 12_000) {
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    clearInterval(timer);
    assert.equal(path.handler.inFlight, 0, 'a caller that reads nothing is cut off');
    assert.ok(performance.now() - startedAtMs > 4_000);
    assert.ok(peakBytes < 512 * 1024, `${peakBytes} bytes held`);
  });

  // Guards against targets whose slots are occupied by responses that wait for slow links and callers.
  it('is read from the target ahead of a caller that has not read it yet', async () => {
    const length = 200_000;
    const path = await startPath(disposables, (socket) => {
      socket.write(head(length));
      socket.write(Buffer.alloc(length));
    });
    const {signal} = new AbortController();
    const result = await path.client.run({
      offer: {requestId: 'r1', life: 'a/1', callerService: ''} as Offer,
      targetId: 'a',
      frame: {method: 'GET', path: '/', headers: [], body: Buffer.alloc(0)},
      deadlineLeftMs: 2_000,
      signal,
    });
    const body = result.kind === 'answered' ? result.answer.body : undefined;
    assert.ok(body instanceof ResponseStream);
    const end = await new Promise((resolve) => body.onSourceEnd(resolve));
    assert.deepEqual([end, body.untakenBytes], ['complete', length]);
    body.cancel();
  });

  // Guards against a planned stop that cuts answers: the connections to other daemons were destroyed 150 ms after
  // the last bytes had been queued, while a slow link still carried them.
  it('arrives whole when the daemon closes while the link to its peer is slow', async () => {
    const path = await startPath(disposables, (socket) => {
      socket.write(head(SLOW_LENGTH));
      socket.write(Buffer.alloc(SLOW_LENGTH));
    });
    const [host = '', port = ''] = path.listener.address.split(':');
    const socket = net.connect(Number(port), host);
    let receivedBytes = 0;
    let isComplete: unknown;
    const messages = new MessageSocket(socket, {
      onMessage: (message) => {
        const [operation, , payload] = message as [number, number, unknown];
        if (operation === PEER_OPERATION.result) {
          messages.send([PEER_OPERATION.chunkCredit, 1, SLOW_LENGTH]);
          socket.pause();
        }
        if (operation === PEER_OPERATION.chunk) receivedBytes += (payload as Uint8Array).length;
        if (operation === PEER_OPERATION.chunkEnd) isComplete = payload;
      },
      onClose: () => undefined,
    });
    const frame = ['GET', '/', [], Buffer.alloc(0)];
    const offer = ['r1', 'wallboard', 'a/1', 'download', 1, 5_000, 5_000, true, null, '', 5_000];
    messages.send([PEER_OPERATION.hello, PEER_PROTOCOL_VERSION]);
    messages.send([PEER_OPERATION.offer, 1, ...offer, ...frame]);
    await waitFor(() => path.listener.openStreams > 0);
    await waitFor(() => path.listener.openStreams === 0);
    assert.ok(
      path.listener.unsentBytes > 0,
      'the end of the stream does not mean that it was sent',
    );
    const closed = path.listener.close(2_000);
    setTimeout(() => socket.resume(), 500);
    await closed;
    await waitFor(() => isComplete !== undefined);
    assert.deepEqual([receivedBytes, isComplete], [SLOW_LENGTH, true]);
  });

  it('is read into memory behind another pipelined request, whose order it keeps', async () => {
    const path = await startPath(disposables, (socket, id) => {
      const respond = (length: number) => socket.write(`${head(length)}${'x'.repeat(length)}`);
      if (id === 'first') setTimeout(() => respond(100), 100);
      else respond(LENGTH);
    });
    path.caller.socket.write(requestHead('safe', 'first') + requestHead('safe', 'second'));
    await waitFor(() => path.caller.received.length > LENGTH);
    assert.deepEqual(path.caller.received.match(/(?<=Content-Length: )\d+/g), ['100', `${LENGTH}`]);
  });
});

/** Starts a target, its daemon, the entry of another daemon and a caller. */
async function startPath(
  disposables: DisposableStore,
  respond: (socket: Socket, id: string) => void,
) {
  let requests = 0;
  const target = net.createServer((socket) => {
    socket.on('error', () => undefined);
    disposables.add(() => void socket.destroy());
    socket.on('data', (bytes) => {
      requests += 1;
      respond(socket, /x-id: (\S+)/.exec(bytes.toString())?.[1] ?? '');
    });
  });
  target.listen(0, '127.0.0.1');
  await once(target, 'listening');
  disposables.add(() => void target.close());
  const budget = new MemoryBudget();
  const client = createTargetClient({
    host: '127.0.0.1',
    port: (target.address() as AddressInfo).port,
    headerCodec: {
      requestHeaders: () => [],
      readResponse: (headers) => ({
        // These targets respond in order, so the id is not needed.
        requestId: 'r1',
        notExecuted: false,
        sealed: headers['x-seal'] !== undefined,
        notice: {rateLimitRps: undefined, isLeaving: false},
      }),
    },
    maxConnections: 4,
    memoryBudget: budget,
  });
  disposables.add(() => client.close());
  const admissionController = {
    load: undefined,
    admit: async (offer: Offer) => ({
      cancel: () => undefined,
      run: (frame: RequestFrame, signal: AbortSignal) => {
        const headers = ['x-id', offer.requestId];
        return client.run({
          offer: {...offer, requestId: 'r1'},
          targetId: 'a',
          frame: {...frame, headers},
          deadlineLeftMs: offer.deadlineLeftMs,
          signal,
        });
      },
    }),
  } as unknown as AdmissionController;
  const listener = await startOfferListener({
    host: '127.0.0.1',
    port: 0,
    admissionController,
    logger: silentLogger,
    lagMs: () => 0,
    memoryBudget: budget,
  });
  disposables.add(() => listener.close());
  const peers = createPeerClient({logger: silentLogger, memoryBudget: budget});
  disposables.add(() => peers.close());
  budget.addQueue(() => listener.heldBytes + (peers.heldBytes ?? 0));
  const run: typeof peers.run = (request) => peers.run({...request, address: listener.address});
  const {port, handler} = await startTestEntry(disposables, {run, memoryBudget: budget});
  const caller = await connectCaller(disposables, port);
  return {caller, port, handler, budget, client, listener, requests: () => requests};
}

/** Starts a peer that admits nothing but sends what `respond` sends for each offer. */
async function startPeer(
  disposables: DisposableStore,
  respond: (messages: MessageSocket, exchangeId: number, socket: Socket) => void,
): Promise<string> {
  const server = net.createServer((socket) => {
    disposables.add(() => void socket.destroy());
    const messages = new MessageSocket(socket, {
      onMessage: (message) => {
        const [operation, exchangeId] = message as number[];
        if (operation === PEER_OPERATION.offer) respond(messages, exchangeId!, socket);
      },
      onClose: () => undefined,
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  disposables.add(() => void server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function head(lengthBytes: number): string {
  return `HTTP/1.1 200 OK\r\nx-seal: s\r\nContent-Length: ${lengthBytes}\r\n\r\n`;
}

/** Bytes in which each position can be told from the others. */
function numbered(lengthBytes: number): Buffer {
  const text = Array.from({length: lengthBytes / 8 + 1}, (_, index) => String(index).padStart(8));
  return Buffer.from(text.join('')).subarray(0, lengthBytes);
}

function bodyOf({received}: Caller): string {
  const start = received.indexOf('\r\n\r\n');
  return start < 0 ? '' : received.slice(start + 4);
}
