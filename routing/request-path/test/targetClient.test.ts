import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {after, describe, it} from 'node:test';
import {DisposableStore} from '@medlarlane/lifecycle';
import {createTargetClient} from '@medlarlane/request-path';
import type {Offer, RunResult, TargetClient, TargetHeaderCodec} from '@medlarlane/request-path';

const wire: TargetHeaderCodec = {
  requestHeaders: ({requestId}) => ['x-id', requestId],
  readResponse: (headers) => ({
    requestId: headers['x-id'] as string | undefined,
    notExecuted: headers['x-not-run'] !== undefined,
    sealed: headers['x-seal'] !== undefined,
  }),
};

interface Row {
  readonly name: string;
  /** Writes the answer to the request with this id. */
  readonly answer: (socket: Socket, id: string) => void;
  readonly expected: string;
}

const ROWS: readonly Row[] = [
  {
    name: 'a whole answer',
    answer: (socket, id) => socket.write(head(id, 'Content-Length: 2') + 'ok'),
    expected: 'answered 200 ok',
  },
  {
    name: 'an answer that ends with the connection',
    answer: (socket, id) => socket.end(head(id, 'Connection: close') + 'ok'),
    expected: 'answered 200 ok',
  },
  {
    name: 'an answer without length on a connection that is reset',
    answer: (socket, id) => {
      socket.write(head(id, 'Connection: close') + 'ok');
      setTimeout(() => socket.resetAndDestroy(), 20);
    },
    expected: 'lost TARGET_FAILED',
  },
  {
    name: 'an answer without length whose reset follows at once',
    answer: (socket, id) =>
      socket.write(head(id, 'Connection: close') + 'ok', () => socket.resetAndDestroy()),
    expected: 'lost TARGET_FAILED',
  },
  {
    name: 'an answer that is shorter than its length',
    answer: (socket, id) => socket.end(head(id, 'Content-Length: 9') + 'ok'),
    expected: 'lost TARGET_FAILED',
  },
  {
    name: 'an answer to another request',
    answer: (socket) => socket.write(head('other', 'Content-Length: 2') + 'ok'),
    expected: 'lost TARGET_FAILED',
  },
  {
    name: 'a success that the target does not vouch for',
    answer: (socket, id) =>
      socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nContent-Length: 2\r\n\r\nok`),
    expected: 'lost TARGET_FAILED',
  },
  {
    name: 'bytes that are no answer',
    answer: (socket) => socket.write('nonsense\r\n\r\n'),
    expected: 'lost TARGET_FAILED',
  },
  {
    name: 'a reset without an answer',
    answer: (socket) => socket.resetAndDestroy(),
    expected: 'lost TARGET_FAILED',
  },
  {
    name: 'a promise that the request did not run',
    answer: (socket, id) =>
      socket.write(`HTTP/1.1 503 Full\r\nx-id: ${id}\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n`),
    expected: 'rejected OVERLOADED',
  },
  {
    name: 'a failure of the target itself',
    answer: (socket, id) =>
      socket.write(
        `HTTP/1.1 500 Failed\r\nx-id: ${id}\r\nx-seal: s\r\nContent-Length: 2\r\n\r\nno`,
      ),
    expected: 'answered 500 no',
  },
];

describe('The client of a target', () => {
  const disposables = new DisposableStore();
  after(() => disposables.dispose());

  for (const {name, answer, expected} of ROWS) {
    it(`reports ${name} as ${expected}`, async () => {
      const client = await startTarget(disposables, answer);
      assert.equal(describeResult(await run(client, 'r1')), expected);
    });
  }

  it('does not use a connection again on which bytes came that belong to no request', async () => {
    const connections = new Set<Socket>();
    const client = await startTarget(disposables, (socket, id) => {
      connections.add(socket);
      socket.write(head(id, 'Content-Length: 2') + 'ok');
      if (id === 'r1') setTimeout(() => socket.write(head('r1', 'Content-Length: 2') + 'no'), 20);
    });
    assert.equal(describeResult(await run(client, 'r1')), 'answered 200 ok');
    await new Promise((resolve) => setTimeout(resolve, 80));
    assert.equal(describeResult(await run(client, 'r2')), 'answered 200 ok');
    assert.equal(connections.size, 2);
  });

  interface EndlessRow {
    readonly name: string;
    readonly head: (id: string) => string;
    readonly rest: Buffer;
  }
  const ENDLESS_ROWS: readonly EndlessRow[] = [
    {
      name: 'a body without length',
      head: (id) => head(id, 'Connection: close'),
      rest: Buffer.alloc(65_536, 'x'),
    },
    {
      name: 'a chunked body',
      head: (id) => head(id, 'Transfer-Encoding: chunked'),
      rest: Buffer.from(`ffff\r\n${'x'.repeat(0xffff)}\r\n`),
    },
    {
      name: 'a head',
      head: () => 'HTTP/1.1 200 OK\r\n',
      rest: Buffer.from(`x-more: ${'x'.repeat(2_000)}\r\n`),
    },
    {
      name: 'a header line',
      head: () => 'HTTP/1.1 200 OK\r\nx-more: ',
      rest: Buffer.alloc(65_536, 'x'),
    },
    {name: 'empty lines', head: () => '', rest: Buffer.from('\r\n'.repeat(8_000))},
    {
      name: 'interim answers',
      head: () => '',
      rest: Buffer.from('HTTP/1.1 102 Processing\r\n\r\n'.repeat(200)),
    },
  ];
  for (const {name, head: start, rest} of ENDLESS_ROWS) {
    it(`gives up ${name} without end, keeps its memory small and serves others`, async () => {
      let open = 0;
      const client = await startTarget(disposables, (socket, id) => {
        if (id !== 'endless') {
          socket.write(head(id, 'Content-Length: 2') + 'ok');
          return;
        }
        open += 1;
        socket.once('close', () => (open -= 1));
        socket.write(start(id));
        const more = (): void => {
          while (!socket.destroyed && socket.write(rest)) continue;
        };
        socket.on('drain', more);
        more();
      });
      const before = process.memoryUsage().rss;
      const endless = run(client, 'endless');
      assert.equal(describeResult(await run(client, 'r1')), 'answered 200 ok');
      assert.match(describeResult(await endless), /^lost TARGET_(FAILED|TIMEOUT)$/);
      const grownBytes = process.memoryUsage().rss - before;
      assert.ok(grownBytes < 200 * 1024 * 1024, `${grownBytes} bytes more`);
      await new Promise((resolve) => setTimeout(resolve, 50));
      assert.equal(open, 0);
    });
  }

  it('bounds the memory of all endless answers together', async () => {
    const client = await startTarget(disposables, (socket, id) => {
      socket.write(head(id, 'Connection: close'));
      const more = (): void => {
        while (!socket.destroyed && socket.write(Buffer.alloc(65_536, 'x'))) continue;
      };
      socket.on('drain', more);
      more();
    });
    const before = process.memoryUsage().rss;
    const results = await Promise.all(['a', 'b', 'c', 'd'].map((id) => run(client, id)));
    assert.ok(results.every(({kind}) => kind === 'lost'));
    const grownBytes = process.memoryUsage().rss - before;
    assert.ok(grownBytes < 200 * 1024 * 1024, `${grownBytes} bytes more`);
  });

  it('says that a refused connection ran nothing', async () => {
    const server = net.createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    server.close();
    await once(server, 'close');
    const client = createTargetClient({
      host: '127.0.0.1',
      port,
      headerCodec: wire,
      maxConnections: 4,
    });
    disposables.add(() => client.close());
    assert.equal(describeResult(await run(client, 'r1')), 'refused NO_TARGET');
    assert.equal(await client.probeListener(500), 'no');
  });

  it('closes the connection when the caller leaves', async () => {
    let closed = false;
    const client = await startTarget(disposables, (socket) => {
      socket.once('close', () => (closed = true));
    });
    const abort = new AbortController();
    const running = run(client, 'r1', abort.signal);
    await new Promise((resolve) => setTimeout(resolve, 30));
    abort.abort();
    assert.equal(describeResult(await running), 'lost CANCELLED');
    await new Promise((resolve) => setTimeout(resolve, 30));
    assert.equal(closed, true);
  });
});

function head(id: string, framing: string): string {
  return `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\n${framing}\r\n\r\n`;
}

function describeResult(result: RunResult): string {
  return result.kind === 'answered'
    ? `answered ${result.answer.status} ${Buffer.from(result.answer.body).toString()}`
    : `${result.kind} ${result.code}`;
}

function run(client: TargetClient, requestId: string, signal?: AbortSignal): Promise<RunResult> {
  const offer: Offer = {
    requestId,
    service: 'wallboard',
    life: 'a/1',
    route: 'schedule',
    priority: 0,
    targetLeftMs: 1_000,
    deadlineLeftMs: 1_000,
    acceptLate: false,
    maxWaitMs: 1_000,
    callerService: 'desk',
  };
  return client.run({
    offer,
    targetId: 'a',
    frame: {method: 'GET', path: '/walls/1', headers: [], body: Buffer.alloc(0)},
    deadlineLeftMs: 1_000,
    signal: signal ?? new AbortController().signal,
  });
}

async function startTarget(
  disposables: DisposableStore,
  answer: (socket: Socket, id: string) => void,
): Promise<TargetClient> {
  const sockets = new Set<Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      const id = /x-id: (\S+)/.exec(bytes.toString())?.[1] ?? '';
      answer(socket, id);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const client = createTargetClient({
    host: '127.0.0.1',
    port,
    headerCodec: wire,
    maxConnections: 4,
  });
  disposables.add(() => {
    client.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return client;
}
