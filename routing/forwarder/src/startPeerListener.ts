import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Directory} from '@medlarlane/directory';
import {MedlarlaneError} from '@medlarlane/errors';
import type {Clock} from '@medlarlane/lifecycle';
import type {Tracer} from '@medlarlane/telemetry';
import {openExchange} from './exchange.js';
import {HANDOVER_PATH} from './handOverRecords.js';
import type {LocalServer} from './localServer.js';
import {sendProblem} from './sendProblem.js';
import {startListener} from './startListener.js';
import {endSpan} from './traceHeaders.js';
import type {Listener, ListenerOptions} from './startListener.js';

export interface PeerListenerOptions extends ListenerOptions {
  readonly localServer: LocalServer;
  readonly directory: Directory;
  readonly clock: Clock;
  readonly tracer: Tracer;
  /** Imports one chunk of idempotency records that another daemon hands over. */
  readonly importRecords: (chunk: Uint8Array) => void;
}

const MAX_CHUNK_BYTES = 4 * 1024 * 1024;

/** Starts the listener for other daemons: forwarded requests and the handover of records. */
export function startPeerListener(opts: PeerListenerOptions): Promise<Listener> {
  return startListener((request, response) => handle(request, response, opts), opts);
}

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
  opts: PeerListenerOptions,
): Promise<void> {
  if (request.url === HANDOVER_PATH) {
    opts.importRecords(await readChunk(request));
    response.writeHead(204).end();
    return;
  }
  const exchange = await openExchange(request, response, {...opts, isForwarded: true});
  const result = await opts.localServer.serve(exchange);
  let refusal: MedlarlaneError | undefined;
  result.ifLeft((error) => {
    refusal = error;
    sendProblem(response, error);
  });
  endSpan(exchange.span, response.statusCode, refusal);
}

async function readChunk(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_CHUNK_BYTES)
      throw new MedlarlaneError('REQUEST_INVALID', 'Handover chunk is too large');
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}
