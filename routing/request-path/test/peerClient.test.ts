import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {after, describe, it} from 'node:test';
import {MedlarlaneError} from '@medlarlane/errors';
import {DisposableStore} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';
import {MessageSocket, PEER_OPERATION, PEER_PROTOCOL_VERSION} from '@medlarlane/peer-rpc';
import {createPeerClient, startOfferListener} from '@medlarlane/request-path';
import type {
  Offer,
  PeerClient,
  RequestFrame,
  RunResult,
  AdmissionController,
} from '@medlarlane/request-path';

const OFFER: Offer = {
  requestId: 'r1',
  service: 'desk',
  life: 't/1',
  route: 'walls',
  priority: 1,
  targetLeftMs: 400,
  deadlineLeftMs: 900,
  acceptLate: false,
  maxWaitMs: 1_000,
  key: 7,
  callerService: 'log',
};
const FRAME: RequestFrame = {
  method: 'POST',
  path: '/a?b=c',
  headers: ['x-a', '1'],
  body: Buffer.from('body'),
};
const ANSWERED: RunResult = {
  kind: 'answered',
  answer: {status: 200, headers: ['x-b', '2'], body: Buffer.from('answer')},
};

describe('Request between two daemons', () => {
  const disposables = new DisposableStore();
  after(() => disposables.dispose());

  for (const idempotent of [true, false]) {
    it(`reaches the peer completely and returns the response (idempotent: ${idempotent})`, async () => {
      const peer = await startPeer(disposables, {});
      const result = await send(peer, {idempotent});
      assert.deepEqual(peer.offers, [OFFER]);
      assert.deepEqual(peer.frames.map(withTextBody), [withTextBody(FRAME)]);
      assert.equal(result.kind, 'answered');
      if (result.kind !== 'answered') return;
      assert.equal(Buffer.from(result.answer.body as Uint8Array).toString(), 'answer');
      assert.deepEqual(result.answer.headers, ['x-b', '2']);
    });
  }

  it('supports bodies of several megabytes', async () => {
    const peer = await startPeer(disposables, {});
    const frame = {...FRAME, body: Buffer.alloc(5_000_000, 3)};
    const result = await send(peer, {frame, idempotent: false});
    assert.equal(result.kind, 'answered');
    assert.ok(frame.body.equals(Buffer.from(peer.frames[0]!.body)));
  });

  it('is refused with the error code and the retry delay of the peer', async () => {
    const peer = await startPeer(disposables, {
      admit: () => new MedlarlaneError('OVERLOADED', undefined, {details: {retryAfterMs: 70}}),
    });
    const result = await send(peer, {idempotent: false});
    assert.equal(result.kind, 'refused');
    assert.equal(result.kind === 'refused' && result.code, 'OVERLOADED');
    assert.equal(result.kind === 'refused' && result.retryAfterMs, 70);
    assert.equal(peer.frames.length, 0);
  });

  it('is cancelled at the peer if the caller disconnects', async () => {
    const peer = await startPeer(disposables, {neverEnds: true});
    const abort = new AbortController();
    const running = send(peer, {idempotent: true, signal: abort.signal});
    await waitFor(() => peer.frames.length === 1);
    abort.abort('left');
    assert.deepEqual(await running, {kind: 'lost', code: 'CANCELLED'});
    await waitFor(() => peer.cancelled === 1);
  });

  it('does not run if it is cancelled immediately after it was sent', async () => {
    const peer = await startPeer(disposables, {lagMs: 100});
    const abort = new AbortController();
    const running = send(peer, {idempotent: true, signal: abort.signal});
    abort.abort('left');
    await running;
    await send(peer, {idempotent: true, offer: {...OFFER, requestId: 'r2'}});
    assert.equal(peer.frames.length, 1);
  });

  it('has less time left if the peer had a high event loop lag', async () => {
    const peer = await startPeer(disposables, {lagMs: 120});
    await send(peer, {idempotent: true});
    assert.equal(peer.offers[0]?.deadlineLeftMs, OFFER.deadlineLeftMs - 120);
    assert.equal(peer.offers[0]?.targetLeftMs, OFFER.targetLeftMs - 120);
  });

  it('succeeds after the other daemon was restarted', async () => {
    const first = await startPeer(disposables, {});
    await send(first, {idempotent: false});
    await first.close();
    const second = await startPeer(disposables, {port: Number(first.address.split(':')[1])});
    let result = await send(first, {idempotent: false});
    // The end of the previous connection may only be noticed now.
    if (result.kind === 'refused') result = await send(first, {idempotent: false});
    assert.equal(second.frames.length, 1);
    assert.equal(result.kind, 'answered');
  });

  interface SilentRow {
    readonly name: string;
    readonly idempotent: boolean;
    /** Whether the peer admits the offer before it becomes unresponsive. */
    readonly admits: boolean;
    readonly expected: RunResult['kind'] | 'waits';
  }
  const SILENT_ROWS: readonly SilentRow[] = [
    {
      name: 'an offer is abandoned as not run',
      idempotent: false,
      admits: false,
      expected: 'refused',
    },
    {
      name: 'an idempotent request is abandoned as lost',
      idempotent: true,
      admits: false,
      expected: 'lost',
    },
    {
      name: 'a non-idempotent request that was sent waits for its result',
      idempotent: false,
      admits: true,
      expected: 'waits',
    },
  ];
  for (const {name, idempotent: repeatable, admits, expected} of SILENT_ROWS) {
    it(`at an unresponsive peer: ${name}`, async () => {
      const peer = await startSilentPeer(disposables, {admits, refusesFirst: true});
      assert.equal((await send(peer, {idempotent: repeatable})).kind, 'refused');
      const abort = new AbortController();
      const running = send(peer, {idempotent: repeatable, signal: abort.signal});
      const waited = new Promise<'waits'>((resolve) => setTimeout(() => resolve('waits'), 750));
      const outcome = await Promise.race([running.then(({kind}) => kind), waited]);
      abort.abort('end of test');
      assert.equal(outcome, expected);
    });
  }

  it('is not sent to a peer that has not sent any message, and is abandoned as not run', async () => {
    const peer = await startSilentPeer(disposables, {admits: false});
    const result = await send(peer, {idempotent: true});
    assert.deepEqual(result, {kind: 'refused', code: 'PEER_FAILED'});
  });

  it('opens a new connection if the old one is unresponsive', async () => {
    const peer = await startSilentPeer(disposables, {admits: false, refusesFirst: true});
    await send(peer, {idempotent: false});
    await send(peer, {idempotent: false});
    await send(peer, {idempotent: false});
    assert.equal(peer.connections(), 2);
  });

  it('opens no further connection to a peer that accepted one but has not read from it yet', async () => {
    const peer = await startSilentPeer(disposables, {admits: false});
    const startedAtMs = performance.now();
    let refused = 0;
    while (performance.now() - startedAtMs < 900) {
      if ((await send(peer, {idempotent: false})).kind === 'refused') refused += 1;
    }
    assert.ok(refused >= 2);
    assert.equal(peer.connections(), 1);
    while (performance.now() - startedAtMs < 2_300) await send(peer, {idempotent: false});
    assert.equal(peer.connections(), 2);
  });

  it('does not treat a peer as unresponsive because of a stall of this process', async () => {
    const peer = await startPeer(disposables, {neverEnds: true});
    const abort = new AbortController();
    const running = send(peer, {idempotent: true, signal: abort.signal});
    await waitFor(() => peer.frames.length === 1);
    const endsAtMs = performance.now() + 700;
    while (performance.now() < endsAtMs) continue;
    const waited = new Promise<'waits'>((resolve) => setTimeout(() => resolve('waits'), 60));
    assert.equal(await Promise.race([running.then(({kind}) => kind), waited]), 'waits');
    abort.abort('end of test');
  });

  it('receives the complete response of a daemon that stops immediately afterwards', async () => {
    const body = Buffer.alloc(16_000_000, 5);
    const peer = await startPeer(disposables, {lastAnswer: body});
    const result = await send(peer, {idempotent: false});
    assert.ok(
      result.kind === 'answered' && body.equals(Buffer.from(result.answer.body as Uint8Array)),
    );
  });

  it('is refused as not run by a daemon of another protocol version', async () => {
    const peer = await startPeer(disposables, {});
    const socket = net.connect(Number(peer.address.split(':')[1]), '127.0.0.1');
    const messages = new MessageSocket(socket, {
      onMessage: () => undefined,
      onClose: () => undefined,
    });
    messages.send([PEER_OPERATION.hello, PEER_PROTOCOL_VERSION - 1]);
    const offer = ['r1', 'desk', 't/1', 'walls', 1, 400, 900, false, 7, 'log', 1_000];
    messages.send([PEER_OPERATION.offer, 1, ...offer]);
    await once(socket, 'close');
    assert.equal(peer.offers.length, 0);
  });

  it('is refused immediately if no daemon listens at the address', async () => {
    const peer = await startPeer(disposables, {});
    await peer.close();
    const startedAtMs = performance.now();
    const result = await send(peer, {idempotent: true});
    assert.deepEqual(result, {kind: 'refused', code: 'PEER_FAILED'});
    assert.ok(performance.now() - startedAtMs < 200);
  });
});

interface Peer {
  readonly client: PeerClient;
  readonly address: string;
}

interface GatePeer extends Peer {
  readonly offers: Offer[];
  readonly frames: RequestFrame[];
  readonly cancelled: number;
  close(): Promise<void>;
}

async function startPeer(
  disposables: DisposableStore,
  opts: {
    admit?: () => MedlarlaneError | undefined;
    neverEnds?: boolean;
    /** Body of a response after which the listener closes. */
    lastAnswer?: Buffer;
    lagMs?: number;
    port?: number;
  },
): Promise<GatePeer> {
  const offers: Offer[] = [];
  const frames: RequestFrame[] = [];
  let cancelled = 0;
  const admissionController = {
    load: {inFlight: 0, waiting: 0, slots: 1, meanMs: 1},
    admit: async (offer: Offer) => {
      offers.push(offer);
      const refusal = opts.admit?.();
      if (refusal) throw refusal;
      return {
        cancel: () => undefined,
        run: (frame: RequestFrame, signal: AbortSignal): Promise<RunResult> => {
          frames.push(frame);
          if (opts.lastAnswer) {
            setImmediate(() => void close());
            const answer = {status: 200, headers: [], body: opts.lastAnswer};
            return Promise.resolve({kind: 'answered', answer});
          }
          if (!opts.neverEnds) return Promise.resolve(ANSWERED);
          return new Promise((resolve) => {
            signal.addEventListener('abort', () => {
              cancelled += 1;
              resolve({kind: 'lost', code: 'CANCELLED'});
            });
          });
        },
      };
    },
  } as unknown as AdmissionController;
  const listener = await startOfferListener({
    host: '127.0.0.1',
    port: opts.port ?? 0,
    admissionController,
    logger: silentLogger,
    lagMs: () => opts.lagMs ?? 0,
  });
  let open = true;
  const close = async (): Promise<void> => {
    if (open) await listener.close();
    open = false;
  };
  disposables.add(close);
  const client = disposables.use(createPeerClient({logger: silentLogger}), (created) =>
    created.close(),
  );
  return {
    client,
    address: listener.address,
    offers,
    frames,
    get cancelled() {
      return cancelled;
    },
    close,
  };
}

/** Starts a peer that is silent, except that it may refuse the first offer and admit the others. */
async function startSilentPeer(
  disposables: DisposableStore,
  {admits, refusesFirst = false}: {admits: boolean; refusesFirst?: boolean},
): Promise<Peer & {connections(): number}> {
  const sockets: Socket[] = [];
  let offers = 0;
  const server = net.createServer((socket) => {
    sockets.push(socket);
    disposables.add(() => void socket.destroy());
    const messages = new MessageSocket(socket, {
      onMessage: (message) => {
        const [operation, exchange] = message as number[];
        if (operation === PEER_OPERATION.offer) offers += 1;
        if (refusesFirst && offers === 1 && operation === PEER_OPERATION.offer) {
          messages.send([PEER_OPERATION.result, exchange, {kind: 'refused', code: 'OVERLOADED'}]);
          return;
        }
        if (admits && operation === PEER_OPERATION.offer)
          messages.send([PEER_OPERATION.admitted, exchange]);
      },
      onClose: () => undefined,
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  disposables.add(() => void server.close());
  const client = disposables.use(createPeerClient({logger: silentLogger}), (created) =>
    created.close(),
  );
  const {port} = server.address() as AddressInfo;
  return {client, address: `127.0.0.1:${port}`, connections: () => sockets.length};
}

function send(
  {client, address}: Peer,
  opts: {idempotent: boolean; signal?: AbortSignal; frame?: RequestFrame; offer?: Offer},
): Promise<RunResult> {
  return client.run({
    address,
    offer: opts.offer ?? OFFER,
    frame: opts.frame ?? FRAME,
    idempotent: opts.idempotent,
    signal: opts.signal ?? new AbortController().signal,
  });
}

function withTextBody({body, ...rest}: RequestFrame): unknown {
  return {...rest, body: Buffer.from(body).toString()};
}

async function waitFor(condition: () => boolean): Promise<void> {
  const endsAtMs = performance.now() + 5_000;
  while (!condition()) {
    if (performance.now() > endsAtMs) throw new Error('Condition not met within 5 s');
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}
