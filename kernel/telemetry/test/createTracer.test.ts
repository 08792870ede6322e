import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {createTracer} from '@medlarlane/telemetry';
import type {HeaderValues, Tracer} from '@medlarlane/telemetry';

const TEST_OPTIONS = {timeout: 30_000};
const TRACE_ID = '0af7651916cd43dd8448eb211c80319c';
const PARENT = {traceparent: `00-${TRACE_ID}-b7ad6b7169203331-01`};
const UNSAMPLED = {traceparent: `00-${TRACE_ID}-b7ad6b7169203331-00`};

interface CollectedSpan {
  traceId: string;
  spanId: string;
  parentSpanId?: string;
  name: string;
  status: {code?: number; message?: string};
}

interface TracesBody {
  resourceSpans: Array<{
    resource: {attributes: Array<{key: string; value: {stringValue?: string}}>};
    scopeSpans: Array<{spans: CollectedSpan[]}>;
  }>;
}

test('Spans of two hops reach the collector as one trace', TEST_OPTIONS, async (t) => {
  const {url, spans, bodies} = await startCollector(t);
  const entry = createTestTracer(t, url, 1);
  const owner = createTestTracer(t, url, 1);
  const hop = entry.startHopSpan('entry', PARENT, {'medlarlane.service': 'a/b'});
  const forward = hop.startChild('forward');
  const headers: HeaderValues = {};
  forward.inject(headers);
  const next = owner.startHopSpan('owner', headers);
  assert.equal(next.isRecording, true);
  next.setError('OVERLOADED');
  for (const span of [next, forward, hop]) span.end();
  await Promise.all([entry.flush(), owner.flush()]);

  const byName = new Map(spans().map((span) => [span.name, span]));
  assert.deepEqual([...byName.keys()].sort(), ['entry', 'forward', 'owner']);
  for (const span of byName.values()) assert.equal(span.traceId, TRACE_ID);
  assert.equal(byName.get('entry')?.parentSpanId, 'b7ad6b7169203331');
  assert.equal(byName.get('forward')?.parentSpanId, byName.get('entry')?.spanId);
  assert.equal(byName.get('owner')?.parentSpanId, byName.get('forward')?.spanId);
  assert.equal(byName.get('owner')?.status.message, 'OVERLOADED');
  for (const {resourceSpans} of bodies) {
    for (const {resource} of resourceSpans) {
      const name = resource.attributes.find(({key}) => key === 'service.name');
      assert.equal(name?.value.stringValue, 'medlarlaned');
    }
  }
});

test(
  'A trace that its caller does not sample is propagated but not recorded',
  TEST_OPTIONS,
  async (t) => {
    const {url, spans} = await startCollector(t);
    const tracer = createTestTracer(t, url, 1);
    const hop = tracer.startHopSpan('entry', UNSAMPLED);
    const headers: HeaderValues = {};
    hop.inject(headers);
    hop.end();
    await tracer.flush();
    assert.equal(hop.isRecording, false);
    assert.match(String(headers['traceparent']), new RegExp(`^00-${TRACE_ID}-[0-9a-f]{16}-00$`));
    assert.deepEqual(spans(), []);
  },
);

test(
  'A malformed traceparent starts a new trace instead of failing the request',
  TEST_OPTIONS,
  async (t) => {
    const {url, spans} = await startCollector(t);
    const tracer = createTestTracer(t, url, 1);
    for (const traceparent of ['', 'x', `00-${'0'.repeat(32)}-${'0'.repeat(16)}-01`]) {
      tracer.startHopSpan('entry', {traceparent}).end();
    }
    await tracer.flush();
    assert.deepEqual(
      spans().map(({parentSpanId}) => parentSpanId || undefined),
      [undefined, undefined, undefined],
    );
  },
);

test('Without a collector, every span is the same no-op object and sets no header', () => {
  const tracer = createTracer({otlpUrl: '', sampleRatio: 1, serviceName: 'medlarlaned'});
  const hop = tracer.startHopSpan('entry', PARENT);
  const headers: HeaderValues = {};
  hop.startChild('forward').inject(headers);
  assert.deepEqual(headers, {});
  assert.equal(hop, tracer.startHopSpan('owner', {}));
  assert.equal(hop.isRecording, false);
});

function createTestTracer(t: TestContext, otlpUrl: string, sampleRatio: number): Tracer {
  const tracer = createTracer({otlpUrl, sampleRatio, serviceName: 'medlarlaned'});
  t.after(() => tracer.close());
  return tracer;
}

async function startCollector(
  t: TestContext,
): Promise<{url: string; bodies: TracesBody[]; spans: () => CollectedSpan[]}> {
  const bodies: TracesBody[] = [];
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      assert.equal(request.url, '/v1/traces');
      bodies.push(JSON.parse(Buffer.concat(chunks).toString('utf8')) as TracesBody);
      response.writeHead(200, {'content-type': 'application/json'}).end('{}');
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  const spans = (): CollectedSpan[] =>
    bodies.flatMap(({resourceSpans}) =>
      resourceSpans.flatMap(({scopeSpans}) => scopeSpans.flatMap((scope) => scope.spans)),
    );
  return {url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, bodies, spans};
}
