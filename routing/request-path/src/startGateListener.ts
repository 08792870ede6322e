import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {decode, encode} from '@msgpack/msgpack';
import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import type {Logger} from '@medlarlane/logger';
import {readWhole} from '@medlarlane/rpc';
import {offerSchema, requestFrameSchema} from './messages.js';
import type {RequestFrame, RunResult} from './messages.js';
import {OFFER_HEADER} from './peerProtocol.js';
import {readTurn} from './readTurn.js';
import type {GateAdmission, TargetGate} from './targetGate.js';

export interface GateListenerOptions {
  readonly host: string;
  /** 0 picks a free port. */
  readonly port: number;
  readonly gate: TargetGate;
  readonly logger: Logger;
}

export interface GateListener {
  readonly address: string;
  close(): Promise<void>;
}

/** Given as a value, because the default reason is an exception that costs a stack trace. */
const CALLER_LEFT = 'caller left';
/** The largest body that a configuration may allow, with its frame. */
const MAX_FRAME_BYTES = 65 * 1024 * 1024;
/** Longer than daemons keep idle connections to each other. */
const IDLE_CONNECTION_MS = 60_000;

/**
 * Starts the listener for requests of other daemons. A request comes in two steps: the offer in the
 * head, and after a slot was reserved and confirmed with 100, the request itself. Until then the
 * other daemon may give up and turn elsewhere, knowing that nothing ran.
 */
export async function startGateListener(opts: GateListenerOptions): Promise<GateListener> {
  const server = http.createServer({keepAliveTimeout: IDLE_CONNECTION_MS, requestTimeout: 0});
  server.on('checkContinue', (request: http.IncomingMessage, response: http.ServerResponse) => {
    void serve(request, response, opts);
  });
  server.on('request', (_request, response: http.ServerResponse) => {
    response.writeHead(400).end();
  });
  server.listen(opts.port, opts.host);
  await once(server, 'listening');
  const {address, port} = server.address() as AddressInfo;
  return {
    address: `${address}:${port}`,
    close: async () => {
      server.closeAllConnections();
      server.close();
      await once(server, 'close');
    },
  };
}

async function serve(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  {gate, logger}: GateListenerOptions,
): Promise<void> {
  const abort = new AbortController();
  response.on('close', () => {
    if (!response.writableFinished) abort.abort(CALLER_LEFT);
  });
  let admission: GateAdmission | undefined;
  let result: RunResult;
  try {
    const offer = offerSchema.parse(JSON.parse(String(request.headers[OFFER_HEADER])));
    const admitted = gate.admit(offer, abort.signal);
    const queued = setImmediate(() => response.writeProcessing());
    admission = await admitted.finally(() => clearImmediate(queued));
    response.writeContinue();
    const frame = await readFrame(request);
    // A close of the other daemon that arrived with the request is read a turn later.
    await readTurn();
    if (abort.signal.aborted) throw new MedlarlaneError('CANCELLED', undefined, {ran: 'no'});
    result = await admission.run(frame, abort.signal);
  } catch (thrown) {
    admission?.cancel();
    const error = toMedlarlaneError(thrown);
    if (error.code === 'INTERNAL' && !abort.signal.aborted) {
      logger.warn({err: error}, 'Offer failed');
    }
    const retryAfterMs = Number(error.details['retryAfterMs']);
    result = {
      kind: 'refused',
      code: error.code,
      ...(Number.isFinite(retryAfterMs) ? {retryAfterMs} : {}),
      load: gate.load,
    };
  }
  if (response.destroyed) return;
  const body = encode(result, {ignoreUndefined: true});
  response.writeHead(200, {'content-length': body.byteLength});
  response.end(body);
}

async function readFrame(request: http.IncomingMessage): Promise<RequestFrame> {
  return requestFrameSchema.parse(decode(await readWhole(request, MAX_FRAME_BYTES)));
}
