import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import type {DisposableStore} from '@medlarlane/lifecycle';
import {systemClock} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';
import {PoisonTable} from '@medlarlane/poison';
import {createEntryHandler, SiteView} from '@medlarlane/request-path';
import type {
  AdmissionController,
  CallerHeaderCodec,
  EntryHandler,
  EntryHandlerOptions,
  PeerClient,
} from '@medlarlane/request-path';
import {RetryBudget} from '@medlarlane/retry';
import type {RequestKind} from '@medlarlane/site-config';

const headerCodec: CallerHeaderCodec = {
  reservedHeaders: new Set(['x-id']),
  readRequest: (headers) => ({
    requestId: headers['x-id'] as string | undefined,
    timeLeftMs: undefined,
    key: undefined,
  }),
  refusalHeaders: () => [],
};
/** Kinds of the routes, each with its name as path prefix. */
const KINDS: readonly RequestKind[] = ['safe', 'unsafe', 'download'];

/** Starts a handler with a real listener in front of peers that `run` stands in for. */
export async function startTestEntry(
  disposables: DisposableStore,
  opts: {run: PeerClient['run']; maxBodyBytes?: number} & Partial<EntryHandlerOptions>,
): Promise<{readonly handler: EntryHandler; readonly port: number}> {
  const view = createView(opts.maxBodyBytes ?? 1_000);
  const budget = new RetryBudget({retryRatio: 1, minRetryRps: 10});
  const handler = createEntryHandler({
    view,
    clock: systemClock,
    logger: silentLogger,
    headerCodec,
    peers: {run: opts.run, close: () => undefined},
    admissionController: {} as AdmissionController,
    forwardAddress: 'self:1',
    callerService: 'desk',
    poison: new PoisonTable({reporterId: 'test'}),
    retryBudget: () => budget,
    phase: () => 'open',
    lagMs: () => 0,
    ...opts,
  });
  const server = http.createServer((request, response) => void handler.handle(request, response));
  server.on('clientError', (_failure, socket) => {
    if (!handler.closeAfterPending(socket)) socket.destroy();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  disposables.add(() => {
    server.closeAllConnections();
    server.close();
  });
  return {handler, port: (server.address() as AddressInfo).port};
}

export interface Caller {
  readonly socket: Socket;
  readonly received: string;
  readonly isClosed: boolean;
}

/** Opens a caller's connection that records all bytes it receives. */
export async function connectCaller(disposables: DisposableStore, port: number): Promise<Caller> {
  const socket = net.connect(port, '127.0.0.1');
  disposables.add(() => void socket.destroy());
  let received = '';
  let isClosed = false;
  socket.setEncoding('latin1');
  socket.on('data', (text: string) => (received += text));
  socket.on('error', () => undefined);
  socket.on('close', () => (isClosed = true));
  await once(socket, 'connect');
  return {
    socket,
    get received() {
      return received;
    },
    get isClosed() {
      return isClosed;
    },
  };
}

/** The head of a request for the route of a kind. */
export function requestHead(kind: RequestKind, id: string, headers = ''): string {
  const method = kind === 'unsafe' ? 'POST' : 'GET';
  return `${method} /${kind}/ HTTP/1.1\r\nHost: walls.example\r\nx-id: ${id}\r\n${headers}\r\n`;
}

/** Waits until a condition holds, at most 3 s. */
export async function waitFor(condition: () => boolean): Promise<void> {
  const untilMs = performance.now() + 3_000;
  while (!condition()) {
    if (performance.now() > untilMs) throw new Error('Condition does not hold in time');
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

function createView(maxBodyBytes: number): SiteView {
  const view = new SiteView({clock: systemClock, availabilityZone: 'a'});
  view.setConfiguration({
    version: 1,
    routes: KINDS.map((kind) => ({
      name: kind,
      host: 'walls.example',
      pathPrefix: `/${kind}/`,
      kind,
      timeoutMs: 20_000,
      targetLatencyMs: 10_000,
      priority: 1,
      maxAttempts: 2,
      shares: [{service: 'wallboard', weight: 1}],
      extras: {},
    })),
    services: [{name: 'wallboard', maxConnections: 9, keyed: false, extras: {}}],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 1_000,
      extras: {},
    },
  });
  view.updateInstances({
    full: true,
    removed: [],
    instances: ['a/1', 'b/1', 'c/1'].map((life) => ({
      forwardAddress: `${life}:1`,
      availabilityZone: 'a',
      life,
      service: 'wallboard',
      state: 'ready',
      slots: 4,
      coldLeftMs: 0,
      stopping: false,
    })),
  });
  return view;
}
