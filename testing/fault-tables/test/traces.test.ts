import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {request} from 'undici';
import {KEYS, findOwner, SERVICE, startScenario} from '@medlarlane/fault-tables';
import {eventually} from '@medlarlane/fixtures';

interface CollectedSpan {
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId?: string;
  readonly name: string;
}

const TRACE_ID = '0af7651916cd43dd8448eb211c80319c';
const CALLER_SPAN_ID = 'b7ad6b7169203331';

test('A request over two daemons exports one span per hop, each the child of the previous hop', async () => {
  const collector = await startCollector();
  const scenario = await startScenario({
    flags: [`--otlp-url=http://127.0.0.1:${collector.port}`, '--trace-sample-ratio=1'],
  });
  try {
    const key = KEYS[0]!;
    const owner = await findOwner(scenario, key);
    const entry = scenario.servers.find((server) => server !== owner)!;
    const {statusCode, body} = await request(`http://${entry.daemon.ready.caller}/walls/${key}`, {
      headers: {
        'medlarlane-service': SERVICE,
        traceparent: `00-${TRACE_ID}-${CALLER_SPAN_ID}-01`,
      },
    });
    await body.dump();
    assert.equal(statusCode, 200);
    const spans = await eventually('the spans of three hops', () => {
      const traceSpans = collector.spans.filter(({traceId}) => traceId === TRACE_ID);
      return traceSpans.length === 3 && traceSpans;
    });
    const byName = new Map(spans.map((span) => [span.name, span]));
    assert.equal(byName.get('entry')?.parentSpanId, CALLER_SPAN_ID);
    assert.equal(byName.get('owner')?.parentSpanId, byName.get('entry')?.spanId);
    assert.equal(byName.get('target')?.parentSpanId, byName.get('owner')?.spanId);
  } finally {
    await scenario.dispose();
    await collector.close();
  }
});

/** Starts a server that collects spans sent as OTLP/HTTP JSON. */
async function startCollector(): Promise<{
  readonly port: number;
  readonly spans: readonly CollectedSpan[];
  close(): Promise<void>;
}> {
  const spans: CollectedSpan[] = [];
  const server = createServer((incoming, response) => {
    const chunks: Buffer[] = [];
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
    incoming.on('end', () => {
      const {resourceSpans} = JSON.parse(Buffer.concat(chunks).toString('utf8')) as {
        resourceSpans: Array<{scopeSpans: Array<{spans: CollectedSpan[]}>}>;
      };
      const scopes = resourceSpans.flatMap(({scopeSpans}) => scopeSpans);
      spans.push(...scopes.flatMap((scope) => scope.spans));
      response.writeHead(200, {'content-type': 'application/json'}).end('{}');
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    port: (server.address() as AddressInfo).port,
    spans,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
