import type {IncomingMessage, ServerResponse} from 'node:http';
import {v7 as createRequestId} from 'uuid';
import type {Directory} from '@medlarlane/directory';
import {MedlarlaneError} from '@medlarlane/errors';
import {extractKey, hashKey} from '@medlarlane/key-space';
import type {Clock} from '@medlarlane/lifecycle';
import type {ServiceDocument} from '@medlarlane/model';
import type {HopSpan, Tracer} from '@medlarlane/telemetry';
import {HEADER, singleHeader} from './headers.js';
import {RequestBody} from './requestBody.js';

/** A request that this daemon handles, with its response and what routing needs. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly document: ServiceDocument;
  /**
   * Position of the key, or of the Idempotency-Key where the service is not split by key; `undefined`
   * for a request that any server may run.
   */
  readonly position: number | undefined;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  readonly idempotencyKey: string | undefined;
  /** Monotonic time by which the response must have started. */
  readonly deadlineMs: number;
  /** Identifies the caller for fair queueing. */
  readonly callerId: string;
  readonly body: RequestBody;
  /** Aborts when the caller disconnects before its response is complete. */
  readonly disconnectSignal: AbortSignal;
  /** Directory index of the daemon that forwarded the request; 0 for a caller's request. */
  readonly senderIndex: number;
  /** The span of this hop. The code that opened the exchange must end it. */
  readonly span: HopSpan;
}

export interface OpenExchangeOptions {
  readonly directory: Directory;
  readonly clock: Clock;
  /** Whether a daemon forwarded the request. The headers that daemons set are trusted only then. */
  readonly isForwarded: boolean;
  readonly tracer: Tracer;
}

// Also the maximum timeout in a document. Node.js fires timers above 2^31 - 1 ms immediately.
const MAX_DEADLINE_MS = 3_600_000;

/**
 * Extracts what routing needs from a request.
 * @throws MedlarlaneError `SERVICE_UNKNOWN`, `KEY_MISSING`, `IDEMPOTENCY_KEY_REQUIRED`,
 *     `REQUEST_INVALID`, `DEADLINE_EXCEEDED`, `CANCELLED`.
 */
export async function openExchange(
  request: IncomingMessage,
  response: ServerResponse,
  opts: OpenExchangeOptions,
): Promise<Exchange> {
  const document = findDocument(request, opts.directory);
  const method = request.method ?? 'GET';
  const repeatable = (document.requests.repeatableMethods as readonly string[]).includes(method);
  const idempotencyKey = singleHeader(request, HEADER.idempotencyKey);
  if (!repeatable && idempotencyKey === undefined && document.requests.requireIdempotencyKey) {
    throw new MedlarlaneError('IDEMPOTENCY_KEY_REQUIRED');
  }
  const position = positionOf(request, document, repeatable ? undefined : idempotencyKey);
  const deadlineMs = opts.clock.nowMs() + remainingMs(request, document);
  const daemonHeader = (name: string): string | undefined =>
    opts.isForwarded ? singleHeader(request, name) : undefined;
  return {
    request,
    response,
    requestId: daemonHeader(HEADER.requestId) ?? createRequestId(),
    document,
    position,
    repeatable,
    idempotencyKey: repeatable ? undefined : idempotencyKey,
    deadlineMs,
    callerId: daemonHeader(HEADER.callerId) ?? request.socket.remoteAddress ?? '',
    disconnectSignal: createDisconnectSignal(response),
    body: await RequestBody.read(request, deadlineMs, opts.clock),
    senderIndex: Number(daemonHeader(HEADER.index) ?? 0),
    span: opts.tracer.startHopSpan(opts.isForwarded ? 'owner' : 'entry', request.headers, {
      'medlarlane.service': document.service,
    }),
  };
}

function createDisconnectSignal(response: ServerResponse): AbortSignal {
  const abort = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) abort.abort();
  });
  return abort.signal;
}

function findDocument(request: IncomingMessage, directory: Directory): ServiceDocument {
  const service =
    singleHeader(request, HEADER.service) ?? directory.serviceOfHost(request.headers.host ?? '');
  const entry = service === undefined ? undefined : directory.document(service);
  if (entry) return entry.document;
  throw new MedlarlaneError('SERVICE_UNKNOWN', `Unknown service in request: ${service ?? ''}`);
}

function positionOf(
  request: IncomingMessage,
  document: ServiceDocument,
  idempotencyKey: string | undefined,
): number | undefined {
  if (!document.splitByKey || !document.key) {
    return idempotencyKey === undefined ? undefined : hashKey(idempotencyKey);
  }
  const key = extractKey(document.key, {url: request.url ?? '/', headers: request.headers});
  if (key === undefined) throw new MedlarlaneError('KEY_MISSING');
  return hashKey(key);
}

function remainingMs(request: IncomingMessage, document: ServiceDocument): number {
  const text = singleHeader(request, HEADER.deadlineMs);
  if (text === undefined) return document.requests.defaultDeadlineMs;
  const remaining = Number(text);
  if (Number.isFinite(remaining) && remaining >= 0) return Math.min(remaining, MAX_DEADLINE_MS);
  throw new MedlarlaneError('REQUEST_INVALID', `Header ${HEADER.deadlineMs} is not a duration`);
}
