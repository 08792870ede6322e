import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {after, describe, it} from 'node:test';
import {DemandMeter, ServiceLevels} from '@medlarlane/admission';
import {DisposableStore, systemClock} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';
import {PoisonTable} from '@medlarlane/poison';
import {createEntryHandler, EntryAdmission, SiteView} from '@medlarlane/request-path';
import type {
  CallerHeaderCodec,
  Offer,
  RunResult,
  AdmissionController,
} from '@medlarlane/request-path';
import {RetryBudget} from '@medlarlane/retry';
import type {RequestKind} from '@medlarlane/site-config';

const headerCodec: CallerHeaderCodec = {
  reservedHeaders: new Set(['x-id']),
  readRequest: (headers) => ({
    requestId: headers['x-id'] as string | undefined,
    timeLeftMs: Number(headers['x-left'] ?? 500),
    key: headers['x-key'] === undefined ? undefined : Number(headers['x-key']),
  }),
  refusalHeaders: ({retryAfterMs}) =>
    retryAfterMs === undefined ? [] : ['Retry-After', String(retryAfterMs / 1_000)],
};

const answered = (status: number, text = 'ok'): RunResult => ({
  kind: 'answered',
  answer: {status, headers: ['x-seal', 's'], body: Buffer.from(text)},
});
const refused = (retryAfterMs?: number): RunResult => ({
  kind: 'refused',
  code: 'OVERLOADED',
  ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
});
const rejected: RunResult = {kind: 'rejected', code: 'OVERLOADED'};
const lost: RunResult = {kind: 'lost', code: 'TARGET_FAILED'};

interface Row {
  readonly name: string;
  readonly kind?: RequestKind;
  /** Results of the offers in order; the last one repeats. */
  readonly results: readonly RunResult[];
  readonly status: number;
  readonly offers: number;
}

const ROWS: readonly Row[] = [
  {name: 'a response is forwarded', results: [answered(200)], status: 200, offers: 1},
  {
    name: 'a refused offer is made to another target, also for non-idempotent requests',
    kind: 'unsafe',
    results: [refused(), answered(200)],
    status: 200,
    offers: 2,
  },
  {
    name: 'a request rejected by a target is offered to another one',
    kind: 'unsafe',
    results: [rejected, answered(200)],
    status: 200,
    offers: 2,
  },
  {
    name: 'a lost non-idempotent request is not retried and may have run',
    kind: 'unsafe',
    results: [lost, answered(200)],
    status: 502,
    offers: 1,
  },
  {
    name: 'a lost idempotent request is sent to another target',
    results: [lost, answered(200)],
    status: 200,
    offers: 2,
  },
  {
    name: 'a failure response of a target is returned if no other target succeeds',
    results: [answered(500, 'no'), refused()],
    status: 500,
    offers: 4,
  },
  {
    name: 'a failure response to a non-idempotent request is not retried',
    kind: 'unsafe',
    results: [answered(500, 'no'), answered(200)],
    status: 500,
    offers: 1,
  },
  {
    name: 'a request that may have run is not reported as refused',
    results: [lost, refused()],
    status: 502,
    offers: 4,
  },
  {
    name: 'a request that no target admits is refused',
    kind: 'unsafe',
    results: [refused(80)],
    status: 503,
    offers: 4,
  },
];

describe('Entry handler', () => {
  const disposables = new DisposableStore();
  after(() => disposables.dispose());

  for (const row of ROWS) {
    it(row.name, async () => {
      const entry = await startEntry(disposables, row);
      const {status} = await entry.send({});
      assert.equal(status, row.status);
      assert.equal(entry.offers.length, row.offers);
    });
  }

  it('returns a retry delay to a refused caller', async () => {
    const entry = await startEntry(disposables, {results: [refused(80)], kind: 'unsafe'});
    const {headers} = await entry.send({});
    assert.equal(headers['retry-after'], '0.08');
  });

  it('does not retry once the retry budget of the service is exhausted', async () => {
    const entry = await startEntry(disposables, {
      results: [lost],
      budget: new RetryBudget({retryRatio: 0, minRetryRps: 0}),
    });
    const {status} = await entry.send({});
    assert.deepEqual([status, entry.offers.length], [502, 1]);
  });

  it('offers a request for a key only to the owner', async () => {
    const entry = await startEntry(disposables, {results: [refused()], keyed: true});
    const {status} = await entry.send({'x-key': '70'});
    assert.equal(status, 503);
    assert.deepEqual(
      entry.offers.map(({life}) => life),
      ['b/1'],
    );
  });

  it('responds at the deadline without a guarantee that the request did not run', async () => {
    const entry = await startEntry(disposables, {results: []});
    const startedAtMs = performance.now();
    const {status} = await entry.send({'x-left': '60'});
    assert.equal(status, 504);
    assert.ok(performance.now() - startedAtMs < 400);
  });

  it('guarantees at the deadline that a request that was never sent did not run', async () => {
    const entry = await startEntry(disposables, {results: [], neverSent: true});
    const {status} = await entry.send({'x-left': '60'});
    assert.equal(status, 503);
  });

  it('sends no offer if the caller disconnected during a high event loop lag', async () => {
    const entry = await startEntry(disposables, {results: [answered(200)], lagMs: 50});
    const socket = net.connect(entry.port, '127.0.0.1');
    await once(socket, 'connect');
    socket.end('GET /schedule/1 HTTP/1.1\r\nHost: walls.example\r\nx-id: r1\r\n\r\n');
    socket.destroy();
    await new Promise((resolve) => setTimeout(resolve, 60));
    assert.equal(entry.offers.length, 0);
  });

  it('sends no offer if the caller disconnected before its connection was accepted', async () => {
    const entry = await startEntry(disposables, {results: [answered(200)]});
    const sockets = Array.from({length: 20}, () => net.connect(entry.port, '127.0.0.1'));
    for (const socket of sockets) {
      socket.end('GET /schedule/1 HTTP/1.1\r\nHost: walls.example\r\nx-id: r1\r\n\r\n');
    }
    await new Promise((resolve) => setTimeout(resolve, 100));
    assert.equal(entry.offers.length, 0);
  });

  it('subtracts the event loop lag from the remaining time', async () => {
    const entry = await startEntry(disposables, {results: [answered(200)], lagMs: 90});
    await entry.send({'x-left': '500'});
    assert.ok(entry.offers[0] && entry.offers[0].deadlineLeftMs <= 410);
  });

  it('refuses immediately while the event loop lag is too high', async () => {
    const entry = await startEntry(disposables, {results: [answered(200)], lagMs: 400});
    const {status, headers} = await entry.send({});
    assert.deepEqual([status, entry.offers.length], [503, 0]);
    assert.ok(Number(headers['retry-after']) > 0);
  });

  // Guards against hops and slots spent on requests that the service as a whole cannot serve.
  it('refuses what the service does not admit before any hop, without a return time', async () => {
    const entry = await startEntry(disposables, {results: [answered(200)], busyFraction: 1});
    const responses = await Promise.all([entry.send({}), entry.send({}), entry.send({})]);
    assert.deepEqual(
      responses.map(({status}) => status),
      [503, 503, 503],
    );
    assert.deepEqual(
      responses.map(({headers}) => headers['retry-after']),
      [undefined, undefined, undefined],
    );
    assert.equal(entry.offers.length, 0);
  });

  it('refuses nothing because of the level while the service has free slots', async () => {
    const entry = await startEntry(disposables, {results: [answered(200)], busyFraction: 0.84});
    assert.equal((await entry.send({})).status, 200);
  });

  // Guards against requests that are refused for the sums of a service while the owner of their key is free.
  it('leaves a request for a key to the gate of its owner, also in a full service', async () => {
    const results = [answered(200), answered(200)];
    const entry = await startEntry(disposables, {results, keyed: true, busyFraction: 1});
    for (const key of ['70', '20']) assert.equal((await entry.send({'x-key': key})).status, 200);
    assert.equal(entry.offers.length, 2);
  });

  it('finds no route for another host', async () => {
    const entry = await startEntry(disposables, {results: []});
    const {status} = await entry.send({host: 'other.example'});
    assert.equal(status, 404);
  });

  it('forwards the time remaining until the deadline and until the latency target', async () => {
    const entry = await startEntry(disposables, {results: [answered(200)]});
    await entry.send({'x-left': '300'});
    const [offer] = entry.offers;
    assert.ok(offer && offer.deadlineLeftMs <= 300 && offer.deadlineLeftMs > 200);
    // 200 ms of the 500 ms route timeout have passed, and so have 200 ms of the 400 ms latency target.
    assert.ok(offer.targetLeftMs <= 200 && offer.targetLeftMs > 100);
  });
});

async function startEntry(
  disposables: DisposableStore,
  opts: {
    results: readonly RunResult[];
    kind?: RequestKind;
    keyed?: boolean;
    budget?: RetryBudget;
    lagMs?: number;
    /** Whether offers without a result wait for a slot until they are aborted. */
    neverSent?: boolean;
    /** Busy slots of the service, which needs more than it has for requests of priority 0. */
    busyFraction?: number;
  },
) {
  const view = new SiteView({clock: systemClock, availabilityZone: 'a'});
  view.setConfiguration({
    version: 1,
    routes: [
      {
        name: 'schedule',
        host: 'walls.example',
        pathPrefix: '/schedule/',
        kind: opts.kind ?? 'safe',
        timeoutMs: 500,
        targetLatencyMs: 400,
        priority: 1,
        maxAttempts: 2,
        shares: [{service: 'wallboard', weight: 1}],
        extras: {},
      },
    ],
    services: [{name: 'wallboard', maxConnections: 9, keyed: opts.keyed ?? false, extras: {}}],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 1_000,
      extras: {},
    },
  });
  view.updateInstances({
    full: true,
    removed: [],
    instances: ['a/1', 'b/1', 'c/1', 'd/1', 'e/1'].map((life) => ({
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
  view.setRanges('wallboard', [
    {fromKey: 0, toKey: 49, ownerLife: 'a/1'},
    {fromKey: 50, toKey: 99, ownerLife: 'b/1'},
  ]);
  const offers: Offer[] = [];
  const serviceLevels = new ServiceLevels({clock: systemClock, logger: silentLogger});
  if (opts.busyFraction !== undefined) {
    const busySlots = 100 * opts.busyFraction;
    const urgent = {
      priority: 0,
      newRps: 200,
      returnedRps: 0,
      completedRps: 99,
      busySlots,
      refusedRps: 9,
    };
    const own = {
      priority: 1,
      newRps: 5,
      returnedRps: 0,
      completedRps: 1,
      busySlots: 1,
      refusedRps: 1,
    };
    const demand = {usableSlots: 100, busySlots, byPriority: [urgent, own]};
    serviceLevels.update([['wallboard', demand]], 1);
  }
  const demandMeter = new DemandMeter(systemClock);
  const handler = createEntryHandler({
    view,
    clock: systemClock,
    logger: silentLogger,
    headerCodec,
    peers: {
      run: async ({offer, signal}) => {
        const result = opts.results[Math.min(offers.length, opts.results.length - 1)];
        offers.push(offer);
        if (result) return result;
        await once(signal, 'abort');
        return {kind: opts.neverSent ? 'refused' : 'lost', code: 'CANCELLED'};
      },
      close: () => undefined,
    },
    admissionController: {} as AdmissionController,
    forwardAddress: 'self:1',
    callerService: 'desk',
    entryAdmission: new EntryAdmission({serviceLevels, demandMeter}),
    poison: new PoisonTable({reporterId: 'test'}),
    retryBudget: () => opts.budget ?? budget,
    phase: () => 'open',
    lagMs: () => opts.lagMs ?? 0,
  });
  const budget = new RetryBudget({retryRatio: 1, minRetryRps: 10});
  const server = http.createServer((request, response) => {
    void handler.handle(request, response);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  disposables.add(() => {
    server.closeAllConnections();
    server.close();
  });
  const {port} = server.address() as AddressInfo;
  const send = async (headers: Record<string, string>) => {
    const request = http.get({
      port,
      host: '127.0.0.1',
      path: '/schedule/1',
      headers: {host: 'walls.example', 'x-id': 'r1', ...headers},
    });
    const [response] = (await once(request, 'response')) as [http.IncomingMessage];
    response.resume();
    await once(response, 'end');
    return {status: response.statusCode, headers: response.headers};
  };
  return {send, offers, port};
}
