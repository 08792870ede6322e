import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Directory} from '@medlarlane/directory';
import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import type {ErrorCode, ExecutionStatus} from '@medlarlane/errors';
import {hashKey} from '@medlarlane/key-space';
import type {Clock} from '@medlarlane/lifecycle';
import type {HopSpan, Tracer} from '@medlarlane/telemetry';
import type {CallerRouter} from './callerRouter.js';
import {openExchange} from './exchange.js';
import {sendProblem} from './sendProblem.js';
import {endSpan} from './traceHeaders.js';
import {startListener} from './startListener.js';
import type {Listener, ListenerOptions} from './startListener.js';

/** Values of one request for the metrics. */
export interface RequestRecord {
  readonly service: string;
  readonly status: number;
  /** Present when the request was refused. */
  readonly code: ErrorCode | undefined;
  readonly ran: ExecutionStatus | undefined;
  readonly durationMs: number;
}

export interface CallerListenerOptions extends ListenerOptions {
  readonly router: CallerRouter;
  readonly directory: Directory;
  readonly clock: Clock;
  readonly tracer: Tracer;
  /** Returns the time since the configuration was last known to be current. */
  readonly staleMs: () => number;
  readonly maxStaleMs: number;
  readonly onRequest?: (record: RequestRecord) => void;
}

const OWNER_PATH = '/.medlarlane/owner';

/** Starts the listener for callers: HTTP/1.1 requests for any service, and the owner lookup. */
export function startCallerListener(opts: CallerListenerOptions): Promise<Listener> {
  return startListener((request, response) => handle(request, response, opts), opts);
}

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
  opts: CallerListenerOptions,
): Promise<void> {
  const startedMs = opts.clock.nowMs();
  let service = '';
  let error: MedlarlaneError | undefined;
  let span: HopSpan | undefined;
  try {
    if (opts.staleMs() > opts.maxStaleMs) throw new MedlarlaneError('STALE_CONFIGURATION');
    if (request.url?.startsWith(OWNER_PATH))
      return respondWithOwner(request, response, opts.directory);
    const exchange = await openExchange(request, response, {...opts, isForwarded: false});
    service = exchange.document.service;
    span = exchange.span;
    const result = await opts.router.route(exchange);
    result.ifLeft((refusal) => {
      error = refusal;
    });
  } catch (thrown) {
    error = toMedlarlaneError(thrown);
    if (error.code === 'INTERNAL') opts.logger.error({err: thrown}, 'Request failed');
    sendProblem(response, error);
  } finally {
    if (span) endSpan(span, response.statusCode, error);
    opts.onRequest?.({
      service,
      status: response.statusCode,
      code: error?.code,
      ran: error?.ran,
      durationMs: opts.clock.nowMs() - startedMs,
    });
  }
}

/** Responds with the daemon that owns a key, so that a caller can send requests directly to it. */
function respondWithOwner(
  request: IncomingMessage,
  response: ServerResponse,
  directory: Directory,
): void {
  const query = new URL(request.url ?? '/', 'http://localhost').searchParams;
  const service = query.get('service') ?? '';
  const key = query.get('key');
  const entry = directory.document(service);
  if (!entry) throw new MedlarlaneError('SERVICE_UNKNOWN', `Service ${service} has no document`);
  if (!entry.document.splitByKey || !key) throw new MedlarlaneError('KEY_MISSING');
  const range = directory.range(service, hashKey(key));
  const owner = directory.session(range?.ownerSessionId ?? 0);
  if (!range || !owner) throw new MedlarlaneError('NO_OWNER');
  const body = JSON.stringify({
    service,
    key,
    ownerAddress: owner.callerAddress,
    instanceId: owner.instanceId,
    availabilityZone: owner.availabilityZone,
    epoch: range.epoch,
  });
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}
