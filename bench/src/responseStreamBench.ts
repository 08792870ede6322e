import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {DisposableStore, systemClock} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';
import {PoisonTable} from '@medlarlane/poison';
import {
  createEntryHandler,
  createPeerClient,
  createTargetClient,
  MemoryBudget,
  SiteView,
  startOfferListener,
} from '@medlarlane/request-path';
import type {AdmissionController, Offer, RequestFrame} from '@medlarlane/request-path';
import {RetryBudget} from '@medlarlane/retry';
import {roundFigure} from './figure.js';
import type {Figure} from './figure.js';

/** The largest responses of the known deployments. */
const RESPONSE_BYTES = 540_000;
/** The target sends 1 MB/s, slightly more than the slowest links carry. */
const PART_BYTES = 10_000;
const PART_INTERVAL_MS = 10;
const CONCURRENT_RESPONSES = 20;
const DEADLINE_MS = 20_000;
const REQUEST_ID = 'bench';

interface Path {
  readonly port: number;
  readonly budget: MemoryBudget;
}

/**
 * Measures the time to the first body byte at the caller and the bytes that two daemons hold together.
 * Responses without a length are buffered whole by each daemon; those with a length are streamed.
 */
export async function responseStreamBench(): Promise<Figure[]> {
  const disposables = new DisposableStore();
  try {
    const path = await startPath(disposables);
    const figures: Figure[] = [];
    for (const mode of ['buffered', 'streamed']) {
      path.budget.takePeakBytes();
      const calls = Array.from({length: CONCURRENT_RESPONSES}, () => call(path.port, mode));
      const measured = await Promise.all(calls);
      const peakBytes = path.budget.takePeakBytes();
      const medianOf = (values: number[]): number =>
        values.sort((a, b) => a - b)[Math.floor(values.length / 2)]!;
      const name = `response-stream.${mode}`;
      const firstByteMs = medianOf(measured.map((timing) => timing.firstByteMs));
      const lastByteMs = medianOf(measured.map((timing) => timing.lastByteMs));
      figures.push(
        {name: `${name}.first-byte-p50`, value: roundFigure(firstByteMs), unit: 'ms'},
        {name: `${name}.last-byte-p50`, value: roundFigure(lastByteMs), unit: 'ms'},
        {name: `${name}.peak-held`, value: roundFigure(peakBytes / 1_000), unit: 'kB'},
      );
    }
    return figures;
  } finally {
    await disposables.dispose();
  }
}

async function call(
  port: number,
  mode: string,
): Promise<{firstByteMs: number; lastByteMs: number}> {
  const startedAtMs = performance.now();
  const request = http.get({port, host: '127.0.0.1', path: `/${mode}`, agent: false});
  const [response] = (await once(request, 'response')) as [http.IncomingMessage];
  let firstByteMs: number | undefined;
  let bytes = 0;
  response.on('data', (chunk: Buffer) => {
    firstByteMs ??= performance.now() - startedAtMs;
    bytes += chunk.length;
  });
  await once(response, 'end');
  if (bytes !== RESPONSE_BYTES) throw new Error(`Response has ${bytes} bytes`);
  return {firstByteMs: firstByteMs!, lastByteMs: performance.now() - startedAtMs};
}

/** Starts a target, its daemon's request path and the entry of another daemon in this process. */
async function startPath(disposables: DisposableStore): Promise<Path> {
  const budget = new MemoryBudget();
  const targetPort = await startServer(disposables, respondSlowly);
  const client = createTargetClient({
    host: '127.0.0.1',
    port: targetPort,
    headerCodec: {
      requestHeaders: () => [],
      readResponse: () => ({
        requestId: REQUEST_ID,
        notExecuted: false,
        sealed: true,
        notice: {rateLimitRps: undefined, isLeaving: false},
      }),
    },
    maxConnections: CONCURRENT_RESPONSES,
    memoryBudget: budget,
  });
  const listener = await startOfferListener({
    host: '127.0.0.1',
    port: 0,
    admissionController: {
      admit: (offer: Offer) =>
        Promise.resolve({
          cancel: () => undefined,
          run: (frame: RequestFrame, signal: AbortSignal) =>
            client.run({offer, targetId: 't', frame, deadlineLeftMs: DEADLINE_MS, signal}),
        }),
    } as unknown as AdmissionController,
    logger: silentLogger,
    lagMs: () => 0,
    memoryBudget: budget,
  });
  const peers = createPeerClient({logger: silentLogger, memoryBudget: budget});
  const retryBudget = new RetryBudget({retryRatio: 0, minRetryRps: 0});
  const entry = createEntryHandler({
    view: createView(listener.address),
    clock: systemClock,
    logger: silentLogger,
    headerCodec: {
      reservedHeaders: new Set(),
      readRequest: () => ({requestId: REQUEST_ID, timeLeftMs: undefined, key: undefined}),
      refusalHeaders: () => [],
    },
    peers,
    admissionController: {} as AdmissionController,
    forwardAddress: 'entry:1',
    callerService: 'caller',
    poison: new PoisonTable({reporterId: 'bench'}),
    retryBudget: () => retryBudget,
    lagMs: () => 0,
    phase: () => 'open',
    memoryBudget: budget,
  });
  const port = await startServer(disposables, (request, response) => {
    void entry.handle(request, response);
  });
  disposables.add(async () => {
    client.close();
    peers.close();
    await listener.close();
  });
  return {port, budget};
}

function createView(address: string): SiteView {
  const view = new SiteView({clock: systemClock, availabilityZone: 'a'});
  const limits = {maxHeaderBytes: 16_384, maxBodyBytes: 1_000, extras: {}};
  view.setConfiguration({
    version: 1,
    routes: [
      {
        name: 'all',
        host: '127.0.0.1',
        pathPrefix: '/',
        kind: 'safe',
        timeoutMs: DEADLINE_MS,
        targetLatencyMs: DEADLINE_MS,
        priority: 0,
        maxAttempts: 1,
        shares: [{service: 'target', weight: 1}],
        extras: {},
      },
    ],
    services: [{name: 'target', maxConnections: 100, keyed: false, extras: {}}],
    limits: {...limits, headerTimeoutMs: DEADLINE_MS, idleTimeoutMs: DEADLINE_MS},
  });
  const instance = {availabilityZone: 'a', life: 't/1', service: 'target', slots: 100};
  view.updateInstances({
    full: true,
    removed: [],
    instances: [
      {...instance, forwardAddress: address, state: 'ready', coldLeftMs: 0, stopping: false},
    ],
  });
  return view;
}

/** Sends the response in parts; on the path `/buffered` without its length. */
function respondSlowly(request: http.IncomingMessage, response: http.ServerResponse): void {
  request.resume();
  if (request.url !== '/buffered') response.setHeader('Content-Length', RESPONSE_BYTES);
  let sentBytes = 0;
  const timer = setInterval(() => {
    response.write(Buffer.alloc(PART_BYTES));
    sentBytes += PART_BYTES;
    if (sentBytes < RESPONSE_BYTES) return;
    clearInterval(timer);
    response.end();
  }, PART_INTERVAL_MS);
}

async function startServer(
  disposables: DisposableStore,
  handle: (request: http.IncomingMessage, response: http.ServerResponse) => void,
): Promise<number> {
  const server = http.createServer(handle);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  disposables.add(() => {
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
}
