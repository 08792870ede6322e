import type http from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import type {ErrorCode} from '@medlarlane/errors';
import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import type {PoisonTable} from '@medlarlane/poison';
import type {RetryBudget} from '@medlarlane/retry';
import {readMessageBody} from '@medlarlane/rpc';
import {isIdempotent} from '@medlarlane/site-config';
import type {Route} from '@medlarlane/site-config';
import {CallerConnections} from './callerConnections.js';
import type {PipelinedRequest} from './callerConnections.js';
import type {PeerClient} from './createPeerClient.js';
import {RETURNED_TIME_LEFT_FRACTION} from './entryAdmission.js';
import type {EntryAdmission} from './entryAdmission.js';
import {endToEndHeaders} from './endToEndHeaders.js';
import {fingerprintsOf} from './fingerprintsOf.js';
import type {
  CallerHeaderCodec,
  Offer,
  RequestFrame,
  RunResult,
  TargetResponse,
} from './messages.js';
import {writeBody, writeStream} from './callerWriter.js';
import {MemoryBudget} from './memoryBudget.js';
import type {MemoryHold} from './memoryBudget.js';
import {collectStream, ResponseStream} from './responseStream.js';
import type {StreamEnd, StreamFailure} from './responseStream.js';
import type {InstanceView, SiteView} from './siteView.js';
import {OfferPlan} from './offerPlan.js';
import type {PlannedOffer} from './offerPlan.js';
import {unservedCauseOf} from './unservedCause.js';
import type {UnservedCause} from './unservedCause.js';
import {StartQueue} from './startQueue.js';
import {MIN_RESERVED_BODY_BYTES} from './uploadMemory.js';
import type {UploadMemory, UploadReservation} from './uploadMemory.js';
import {toRefusedResult} from './startOfferListener.js';
import type {AdmissionController} from './admissionController.js';

export interface EntryHandlerOptions {
  readonly view: SiteView;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly headerCodec: CallerHeaderCodec;
  readonly peers: PeerClient;
  readonly admissionController: AdmissionController;
  /** Address of this daemon for other daemons; requests for the local target bypass the network. */
  readonly forwardAddress: string;
  /** Service of the local target of this daemon. */
  readonly callerService: string;
  readonly poison: PoisonTable;
  readonly retryBudget: (service: string) => RetryBudget;
  /** Current event loop lag in milliseconds. */
  readonly lagMs: () => number;
  /** While `closing`, connections are closed after each response; when `closed`, requests are refused. */
  readonly phase: () => 'open' | 'closing' | 'closed';
  /** Time by which all requests must be answered, because the daemon stops; `Infinity` before. */
  readonly stopDeadlineAtMs?: () => number;
  /** Whether callers have had the time to notice that the daemon is stopping. */
  readonly isWithdrawn?: () => boolean;
  /** Refuses what the service as a whole does not admit; without it, only gates refuse. */
  readonly entryAdmission?: EntryAdmission;
  readonly onResponse?: (outcome: EntryOutcome) => void;
  /** Counts the bytes of bodies; by default, the handler has a budget of its own. */
  readonly memoryBudget?: MemoryBudget;
  /** Bounds the memory for large bodies of requests; not bounded by default. */
  readonly uploadMemory?: UploadMemory;
  /** Time for which a caller may take no bytes of its response; 5 s by default. */
  readonly maxCallerSilenceMs?: number;
}

/** The options with their defaults. */
interface EntryOptions extends EntryHandlerOptions {
  readonly memoryBudget: MemoryBudget;
  readonly startQueue: StartQueue;
}

/** Outcome of a caller's request, for metrics. */
export interface EntryOutcome {
  readonly route: string;
  readonly status: number;
  readonly durationMs: number;
  readonly attempts: number;
  /** Why the request got no successful response; `undefined` if it got one. */
  readonly cause: UnservedCause | undefined;
}

export interface EntryHandler {
  handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void>;
  /**
   * Closes a connection after the responses to its requests, because nothing more can be read from
   * it; returns false if no request is pending.
   */
  closeAfterPending(connection: Duplex): boolean;
  /** Must be called for each accepted connection. */
  recordConnection(): void;
  readonly inFlight: number;
  /** Requests that were read and wait for processor time. */
  readonly pendingStarts: number;
}

interface Attempt {
  readonly instance: string;
  readonly life: string;
  readonly outcome: string;
  readonly ms: number;
}

interface RequestContext {
  readonly request: http.IncomingMessage;
  readonly requestId: string | undefined;
  readonly startedAtMs: number;
  /** Event loop lag when the request was read. */
  readonly lagMs: number;
  readonly abort: AbortController;
  readonly attempts: Attempt[];
  readonly pipelined: PipelinedRequest;
  /** Counts the body of the request, if there is one. */
  bodyHold?: MemoryHold;
  /** Memory for the body, if it is large. */
  upload?: UploadReservation | undefined;
  /** Whether the rest of the body is read and discarded, so that the connection can be used again. */
  isBodyDiscarded?: boolean;
  /** Time that the caller states to wait from when it sent the request. */
  readonly timeLeftMs: number | undefined;
  route?: Route;
  deadlineAtMs?: number;
  service?: string;
  key?: number;
  /** Whether the request was refused because this daemon had no processor time for it. */
  isDaemonOverloaded?: boolean;
}

interface OfferOptions {
  readonly latencyTargetAtMs: number;
  readonly deadlineAtMs: number;
  /**
   * Whether this is the last offer, in which case the request may be queued and its response may be sent
   * after the latency target.
   */
  readonly isFinal: boolean;
}

/** How a response that is passed on as it is received has ended. */
interface StreamOutcome {
  readonly streamEnd?: StreamEnd;
  readonly streamFailure?: StreamFailure;
}

interface FinalResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Uint8Array | ResponseStream;
  readonly code?: ErrorCode;
}

/**
 * Above this event loop lag, requests are refused immediately, because the time that they waited before
 * they were read is unknown.
 */
const MAX_LAG_MS = 100;
/** A request that waits for longer than this fraction of its time is refused; callers wait for a third of it. */
const MAX_START_WAIT_FRACTION = 0.25;
/** Above this lag, a caller may already have disconnected, so the sockets are polled once more first. */
const POLL_AGAIN_LAG_MS = 15;
/**
 * An overloaded daemon recovers within about this time once it refuses requests. Jitter is added, because
 * callers that are refused together would otherwise retry together.
 */
const MIN_LAG_RETRY_MS = 300;
const LAG_RETRY_JITTER_MS = 700;
const NO_BODY = Buffer.alloc(0);
/** Abort reasons as plain values, because the default reason is an exception with a costly stack trace. */
const CALLER_DISCONNECTED = 'caller left';
const DEADLINE_PASSED = 'deadline passed';
/** Maximum wait for a slot before another target is tried, as a fraction of the time to the latency target. */
const WAIT_FRACTION = 0.05;
/** Typical time until an ownership change of a key is complete. */
const OWNER_CHANGE_RETRY_MS = 300;
/** A daemon that is stopping or unreachable is usually restarting, which takes a second or two. */
const RESTART_RETRY_MS = 1_000;
const RETRY_AFTER_MS: Partial<Record<ErrorCode, number>> = {
  NO_OWNER: OWNER_CHANGE_RETRY_MS,
  NOT_OWNER: OWNER_CHANGE_RETRY_MS,
  NO_TARGET: OWNER_CHANGE_RETRY_MS,
  PEER_FAILED: RESTART_RETRY_MS,
  DRAINING: RESTART_RETRY_MS,
};
/** A starting daemon needs about a second to receive its configuration. */
const NO_CONFIGURATION_RETRY_MS = 500;
/** Maximum size of a response that cannot be streamed to its caller, as for responses without a length. */
const MAX_COLLECTED_BYTES = 32 * 1024 * 1024;
/** With less time left, an attempt has no chance of a response before the deadline. */
const MIN_ATTEMPT_MS = 10;

/** Creates the handler for callers' requests: routing, target selection, attempts and response. */
export function createEntryHandler(options: EntryHandlerOptions): EntryHandler {
  const startQueue = new StartQueue();
  const opts = {...options, startQueue, memoryBudget: options.memoryBudget ?? new MemoryBudget()};
  const connections = new CallerConnections();
  let inFlight = 0;
  return {
    get inFlight() {
      return inFlight;
    },
    get pendingStarts() {
      return startQueue.length;
    },
    recordConnection: () => startQueue.recordConnection(),
    closeAfterPending: (connection) => connections.closeAfterPending(connection),
    handle: async (request, response) => {
      const abort = new AbortController();
      const pipelined = connections.add(request.socket, {
        isSafe: () => isSafeRequest(opts.view, request),
        isLast: !response.shouldKeepAlive,
        onDisconnect: () => abort.abort(CALLER_DISCONNECTED),
      });
      if (!pipelined) {
        request.resume();
        return;
      }
      inFlight += 1;
      try {
        await handle(opts, request, response, pipelined, abort);
      } catch (err) {
        opts.logger.error({err}, 'Response cannot be written');
        request.socket.destroy();
      } finally {
        inFlight -= 1;
      }
    },
  };
}

async function handle(
  opts: EntryOptions,
  request: http.IncomingMessage,
  response: http.ServerResponse,
  pipelined: PipelinedRequest,
  abort: AbortController,
): Promise<void> {
  const {clock, headerCodec} = opts;
  const lagMs = opts.lagMs();
  const {requestId, timeLeftMs, key} = headerCodec.readRequest(request.headers);
  const context: RequestContext = {
    request,
    requestId,
    // The request waited for about the event loop lag before it was read.
    startedAtMs: clock.nowMs() - lagMs,
    lagMs,
    abort,
    attempts: [],
    pipelined,
    timeLeftMs,
    ...(key === undefined ? {} : {key}),
  };
  const mayStart = pipelined.waitForStart();
  if (!(typeof mayStart === 'boolean' ? mayStart : await mayStart)) return;
  const finalResponse = await processRequest(opts, context).catch((thrown: unknown) =>
    refusalResponse(opts, context, toMedlarlaneError(thrown)),
  );
  context.bodyHold?.close();
  context.upload?.release();
  await pipelined.waitForTurn();
  const durationMs = clock.nowMs() - context.startedAtMs;
  const {isDisconnected} = pipelined;
  const streamEnd = isDisconnected
    ? undefined
    : writeResponse(opts, context, response, finalResponse);
  const cause = unservedCauseOf({
    status: finalResponse.status,
    code: finalResponse.code,
    isDisconnected,
    offers: context.attempts.length,
    isDaemonOverloaded: context.isDaemonOverloaded === true,
    isReturning: isReturning(context),
  });
  opts.onResponse?.({
    route: context.route?.name ?? '',
    status: isDisconnected ? 499 : finalResponse.status,
    durationMs,
    attempts: context.attempts.length,
    cause,
  });
  logResponse(opts, context, finalResponse, {
    isDisconnected,
    durationMs,
    cause,
    ...(streamEnd ? await describeStreamEnd(streamEnd, finalResponse.body) : {}),
  });
  await pipelined.waitUntilFinished(response);
}

async function describeStreamEnd(
  streamEnd: Promise<StreamEnd>,
  body: FinalResponse['body'],
): Promise<StreamOutcome> {
  const end = await streamEnd;
  const failure = body instanceof ResponseStream ? body.failure : undefined;
  return {streamEnd: end, ...(failure ? {streamFailure: failure} : {})};
}

/** Whether a caller has returned after a refusal, and not at once: much of its time has passed. */
function isReturning({timeLeftMs, route}: RequestContext): boolean {
  const usualMs = route?.timeoutMs ?? 0;
  return timeLeftMs !== undefined && timeLeftMs < usualMs * RETURNED_TIME_LEFT_FRACTION;
}

/** Whether a request may run at the same time as the other pipelined requests of its connection. */
function isSafeRequest(view: SiteView, {headers, url}: http.IncomingMessage): boolean {
  const route = view.hasConfiguration ? view.findRoute(headers.host ?? '', url ?? '') : undefined;
  return route !== undefined && isIdempotent(route.kind);
}

async function processRequest(opts: EntryOptions, context: RequestContext): Promise<FinalResponse> {
  const {view, clock} = opts;
  const {request} = context;
  if (opts.phase() === 'closed') throw new MedlarlaneError('DRAINING', 'Daemon is stopping');
  const {lagMs} = context;
  if (lagMs > MAX_LAG_MS) {
    context.isDaemonOverloaded = true;
    throw new MedlarlaneError('OVERLOADED', 'Event loop lag of the daemon is too high', {
      details: {retryAfterMs: MIN_LAG_RETRY_MS + Math.random() * LAG_RETRY_JITTER_MS},
    });
  }
  if (!view.hasConfiguration) {
    throw new MedlarlaneError('STALE_CONFIGURATION', 'No configuration received yet', {
      details: {retryAfterMs: NO_CONFIGURATION_RETRY_MS},
    });
  }
  const route = view.findRoute(request.headers.host ?? '', request.url ?? '');
  if (!route) throw new MedlarlaneError('SERVICE_UNKNOWN', 'No route matches the host and path');
  context.route = route;
  const remainingMs = Math.min(context.timeLeftMs ?? route.timeoutMs, route.timeoutMs);
  const stopDeadlineAtMs = opts.stopDeadlineAtMs?.() ?? Infinity;
  // An unsafe request that is cut off leaves its caller in doubt. Only its deadline bounds its duration.
  const mustCompleteMs =
    opts.isWithdrawn?.() && !isIdempotent(route.kind) ? remainingMs : route.targetLatencyMs;
  if (clock.nowMs() + mustCompleteMs > stopDeadlineAtMs) {
    throw new MedlarlaneError('DRAINING', 'Daemon stops before the request can complete', {
      details: {retryAfterMs: RESTART_RETRY_MS},
    });
  }
  const deadlineAtMs = Math.min(context.startedAtMs + remainingMs, stopDeadlineAtMs);
  context.deadlineAtMs = deadlineAtMs;
  // A caller that retries after a refusal has less time left than the route timeout, and the latency
  // target counts from its first attempt.
  const elapsedMs = Math.max(0, route.timeoutMs - remainingMs);
  const latencyTargetAtMs = context.startedAtMs + Math.max(0, route.targetLatencyMs - elapsedMs);
  // Only one connection is accepted per event loop iteration, so a new one may have waited for a long time.
  const mayHaveWaited = isFirstRequest(request.socket) || lagMs > POLL_AGAIN_LAG_MS;
  await waitForStart(opts, context, route, {remainingMs, mayHaveWaited});
  if (context.abort.signal.aborted) throw new MedlarlaneError('CANCELLED', undefined, {ran: 'no'});
  if (route.kind === 'download' && opts.memoryBudget.isTight) {
    throw new MedlarlaneError('OVERLOADED', 'Daemon holds too many bytes for large responses');
  }
  const body = await readBody(opts, context);
  const service = view.pickService(route);
  context.service = service;
  opts.entryAdmission?.assertAdmitted({
    service,
    route,
    key: view.isKeyed(service) ? context.key : undefined,
    timeLeftMs: remainingMs,
  });
  opts.retryBudget(service).recordRequest();
  const frame: RequestFrame = {
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: endToEndHeaders(request.rawHeaders, {without: opts.headerCodec.reservedHeaders}),
    body,
  };
  if (!opts.poison.isEmpty) opts.poison.assertNotQuarantined(fingerprintsOf(service, frame));
  const remainingNowMs = deadlineAtMs - clock.nowMs();
  // The request may have waited for earlier requests of its connection.
  if (remainingNowMs <= 0) throw new MedlarlaneError('DEADLINE_EXCEEDED', undefined, {ran: 'no'});
  // Aborts all pending waits at the deadline; requests not sent by then are known not to have run.
  const timer = setTimeout(() => context.abort.abort(DEADLINE_PASSED), remainingNowMs);
  let stream: ResponseStream | undefined;
  try {
    const times = {latencyTargetAtMs, deadlineAtMs};
    const finalResponse = await runAttempts(opts, context, route, service, frame, times);
    if (finalResponse.body instanceof ResponseStream) stream = finalResponse.body;
    return finalResponse;
  } finally {
    // The deadline also applies to a large response that is still being received.
    if (stream) stream.onSourceEnd(() => clearTimeout(timer));
    else clearTimeout(timer);
  }
}

/** Waits for processor time. @throws MedlarlaneError `OVERLOADED`. */
async function waitForStart(
  {startQueue}: EntryOptions,
  context: RequestContext,
  {priority, targetLatencyMs}: Route,
  {remainingMs, mayHaveWaited}: {remainingMs: number; mayHaveWaited: boolean},
): Promise<void> {
  const maxWaitMs = remainingMs * MAX_START_WAIT_FRACTION;
  const {signal} = context.abort;
  const pending = {priority, targetLatencyMs, maxWaitMs, signal};
  try {
    await startQueue.wait(pending, {mayHaveWaited});
  } catch (overload) {
    context.isDaemonOverloaded = true;
    throw overload;
  }
}

const usedConnections = new WeakSet<Socket>();

function isFirstRequest(connection: Socket): boolean {
  if (usedConnections.has(connection)) return false;
  usedConnections.add(connection);
  return true;
}

async function runAttempts(
  opts: EntryOptions,
  context: RequestContext,
  route: Route,
  service: string,
  frame: RequestFrame,
  times: {latencyTargetAtMs: number; deadlineAtMs: number},
): Promise<FinalResponse> {
  const {view, clock} = opts;
  const key = view.isKeyed(service) ? context.key : undefined;
  const offerPlan = new OfferPlan(view, service, key);
  let executionCount = 0;
  let lastResult: RunResult | undefined;
  while (times.deadlineAtMs - clock.nowMs() >= MIN_ATTEMPT_MS && !context.abort.signal.aborted) {
    const nextOffer = offerPlan.next();
    if (!nextOffer) break;
    const knownRefusal = findKnownRefusal(view, route, nextOffer, key);
    if (knownRefusal) {
      lastResult = preferredResult(lastResult, knownRefusal);
      break;
    }
    if (executionCount > 0 && !opts.retryBudget(service).tryConsume()) break;
    const offerOptions = {...times, isFinal: nextOffer.isFinal};
    const result = await sendOfferAndCollect(
      opts,
      context,
      route,
      service,
      frame,
      nextOffer.instance,
      offerOptions,
    );
    offerPlan.recordResult(nextOffer, result);
    if (nextOffer.isFinal) view.recordFinalResult(nextOffer.instance.life, route.name, result);
    lastResult = preferredResult(lastResult, result);
    if (result.kind === 'answered') {
      const isRetryable =
        isIdempotent(route.kind) &&
        result.answer.status >= 500 &&
        executionCount + 1 < route.maxAttempts;
      if (!isRetryable) break;
    }
    if (result.kind === 'lost' && !isIdempotent(route.kind)) break;
    if (result.kind !== 'refused') executionCount += 1;
    if (executionCount >= route.maxAttempts) break;
  }
  return toFinalResponse(opts, context, service, lastResult);
}

/** Returns the refusal that an offer would get according to what the instance has refused recently. */
function findKnownRefusal(
  view: SiteView,
  route: Route,
  {instance, isFinal}: PlannedOffer,
  key: number | undefined,
): RunResult | undefined {
  const throttled = isFinal ? view.throttleFinalOffer(instance.life, route.name) : undefined;
  return throttled ?? (key === undefined ? undefined : view.recentRefusal(instance.life));
}

/** Selects the result to return: a response over none, and a later response over an earlier failure. */
function preferredResult(last: RunResult | undefined, next: RunResult): RunResult {
  if (!last || next.kind === 'answered') return next;
  if (last.kind === 'answered') return last;
  // Once an attempt may have run, a later refusal cannot guarantee that the request did not run.
  return last.kind === 'lost' ? last : next;
}

/** Sends an offer, and reads a large response into memory unless it can be streamed to the caller. */
async function sendOfferAndCollect(...args: Parameters<typeof sendOffer>): Promise<RunResult> {
  const [{memoryBudget}, {pipelined}] = args;
  const result = await sendOffer(...args);
  if (result.kind !== 'answered' || !(result.answer.body instanceof ResponseStream)) return result;
  if (pipelined.tryStream()) return result;
  const body = await collectStream(result.answer.body, memoryBudget, MAX_COLLECTED_BYTES);
  return body
    ? {...result, answer: {...result.answer, body}}
    : {kind: 'lost', code: 'TARGET_FAILED'};
}

async function sendOffer(
  opts: EntryOptions,
  context: RequestContext,
  route: Route,
  service: string,
  frame: RequestFrame,
  instance: InstanceView,
  {latencyTargetAtMs, deadlineAtMs, isFinal}: OfferOptions,
): Promise<RunResult> {
  const {view, clock, admissionController, peers} = opts;
  const startedAtMs = clock.nowMs();
  const targetLeftMs = Math.round(latencyTargetAtMs - startedAtMs);
  const deadlineLeftMs = Math.round(deadlineAtMs - startedAtMs);
  const offer: Offer = {
    requestId: context.requestId ?? '',
    service,
    life: instance.life,
    route: route.name,
    priority: route.priority,
    targetLeftMs,
    deadlineLeftMs,
    acceptLate: isFinal,
    maxWaitMs: isFinal ? deadlineLeftMs : Math.max(0, targetLeftMs * WAIT_FRACTION),
    ...(context.key === undefined || !view.isKeyed(service) ? {} : {key: context.key}),
    callerService: opts.callerService,
  };
  const {signal} = context.abort;
  view.recordSent(instance.life);
  const result =
    instance.forwardAddress === opts.forwardAddress
      ? await runLocally(admissionController, offer, frame, signal)
      : await peers.run({
          address: instance.forwardAddress,
          offer,
          frame,
          idempotent: isIdempotent(route.kind),
          signal,
        });
  view.recordResult(instance.life, result);
  context.attempts.push({
    instance: instance.forwardAddress,
    life: instance.life,
    outcome: result.kind === 'answered' ? String(result.answer.status) : result.code,
    ms: Math.round(clock.nowMs() - startedAtMs),
  });
  return result;
}

async function runLocally(
  admissionController: AdmissionController,
  offer: Offer,
  frame: RequestFrame,
  signal: AbortSignal,
): Promise<RunResult> {
  try {
    const reservation = await admissionController.admit(offer, signal);
    return await reservation.run(frame, signal);
  } catch (thrown) {
    return toRefusedResult(toMedlarlaneError(thrown), admissionController);
  }
}

function toFinalResponse(
  opts: EntryOptions,
  context: RequestContext,
  service: string,
  result: RunResult | undefined,
): FinalResponse {
  if (result?.kind === 'answered') return fromTargetResponse(result.answer);
  const isExpired = context.abort.signal.reason === DEADLINE_PASSED;
  if (result?.kind === 'lost') {
    const lostCode = isExpired ? 'TARGET_TIMEOUT' : result.code;
    return refusalResponse(
      opts,
      context,
      new MedlarlaneError(lostCode, undefined, {ran: 'unknown'}),
    );
  }
  const code = isExpired ? 'DEADLINE_EXCEEDED' : (result?.code ?? 'NO_OWNER');
  const details = code === 'OVERLOADED' ? returnDetailsOf(opts, context, service) : undefined;
  if (details) {
    return refusalResponse(
      opts,
      context,
      new MedlarlaneError(code, undefined, {ran: 'no', details}),
    );
  }
  const knownRetryAfterMs = result?.kind === 'refused' ? result.retryAfterMs : undefined;
  const retryAfterMs =
    knownRetryAfterMs ?? RETRY_AFTER_MS[code] ?? opts.view.estimateRetryAfterMs(service);
  return refusalResponse(
    opts,
    context,
    new MedlarlaneError(code, undefined, {ran: 'no', details: {retryAfterMs}}),
  );
}

/**
 * Return time by the free capacity of the service; `undefined` if it is unknown, or if the targets of the service
 * own keys: then only the owner can serve the caller, and its gate states the return time.
 */
function returnDetailsOf(
  {entryAdmission, clock, view}: EntryHandlerOptions,
  {route, deadlineAtMs}: RequestContext,
  service: string,
): Record<string, unknown> | undefined {
  if (!route || deadlineAtMs === undefined || view.isKeyed(service)) return undefined;
  const details = entryAdmission?.returnDetails(
    service,
    route.priority,
    deadlineAtMs - clock.nowMs(),
  );
  return details && {...details};
}

function fromTargetResponse({status, headers, body}: TargetResponse): FinalResponse {
  return {status, headers, body};
}

/** Statuses of refusals: 503 guarantees that the request did not run, 502 does not. */
const NOT_EXECUTED_STATUS = 503;
const POSSIBLY_EXECUTED_STATUS = 502;
const STATUS_BY_CODE: Partial<Record<ErrorCode, number>> = {
  SERVICE_UNKNOWN: 404,
  REQUEST_INVALID: 400,
  REQUEST_TOO_LARGE: 413,
  TARGET_TIMEOUT: 504,
};

function refusalResponse(
  opts: EntryOptions,
  context: RequestContext,
  error: MedlarlaneError,
): FinalResponse {
  const {code} = error;
  const status =
    STATUS_BY_CODE[code] ?? (error.ran === 'no' ? NOT_EXECUTED_STATUS : POSSIBLY_EXECUTED_STATUS);
  const retryAfterMs = Number(error.details['retryAfterMs']);
  return {
    status,
    headers: opts.headerCodec.refusalHeaders({
      requestId: context.requestId,
      retryAfterMs:
        status === NOT_EXECUTED_STATUS && Number.isFinite(retryAfterMs) ? retryAfterMs : undefined,
    }),
    body: Buffer.from(`${code}\n`),
    code,
  };
}

function writeResponse(
  opts: EntryOptions,
  {request, pipelined, isBodyDiscarded}: RequestContext,
  response: http.ServerResponse,
  {status, headers, body}: FinalResponse,
): Promise<StreamEnd> | undefined {
  const mustClose = opts.phase() !== 'open' || (!request.complete && !isBodyDiscarded);
  if (pipelined.decideClose(mustClose)) response.shouldKeepAlive = false;
  const bodiless = request.method === 'HEAD' || status === 204 || status === 304;
  const lengthBytes = body instanceof ResponseStream ? body.lengthBytes : body.length;
  const length = bodiless ? [] : ['Content-Length', String(lengthBytes)];
  response.writeHead(status, [...headers, ...length] as unknown as http.OutgoingHttpHeaders);
  const writeOptions = {
    maxSilenceMs: opts.maxCallerSilenceMs,
    onCut: (details: {waitingBytes: number}) =>
      opts.logger.info({...details, status}, 'Silent caller cut off'),
  };
  if (body instanceof ResponseStream) return writeStream(response, body, writeOptions);
  writeBody(response, bodiless ? undefined : body, opts.memoryBudget, writeOptions);
  return undefined;
}

async function readBody(opts: EntryOptions, context: RequestContext): Promise<Buffer> {
  const {request} = context;
  const {headers} = request;
  const {maxBodyBytes} = opts.view.configuration.limits;
  const statedBytes = Number(headers['content-length'] ?? 0);
  if (headers['transfer-encoding'] === undefined && statedBytes === 0) {
    request.resume();
    return NO_BODY;
  }
  if (statedBytes > maxBodyBytes) throw bodyTooLarge();
  try {
    if (statedBytes >= MIN_RESERVED_BODY_BYTES)
      context.upload = opts.uploadMemory?.reserve(statedBytes);
    return await Promise.race([readMessageBody(request, maxBodyBytes), countBody(opts, context)]);
  } catch (cause) {
    if (cause instanceof MedlarlaneError && cause.code === 'OVERLOADED') {
      // Closing the connection while the caller still sends could destroy the response on its way.
      context.isBodyDiscarded = true;
      request.resume();
      throw cause;
    }
    if ((cause as {code?: string}).code === 'BODY_TOO_LARGE') throw bodyTooLarge(cause);
    throw new MedlarlaneError('CANCELLED', undefined, {cause, ran: 'no'});
  }
}

function bodyTooLarge(cause?: unknown): MedlarlaneError {
  return new MedlarlaneError('REQUEST_TOO_LARGE', undefined, {cause, ran: 'no'});
}

/**
 * Counts the memory of a body while it is received; that of a large one is reserved. The promise rejects with
 * MedlarlaneError `OVERLOADED` when the body does not fit, and else never settles.
 */
function countBody(
  {memoryBudget, uploadMemory}: EntryOptions,
  context: RequestContext,
): Promise<never> {
  const {request} = context;
  const hold = memoryBudget.open({isReader: false});
  context.bodyHold = hold;
  let receivedBytes = 0;
  return new Promise((_, reject) => {
    request.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length;
      if (!uploadMemory || receivedBytes < MIN_RESERVED_BODY_BYTES) {
        hold.add(chunk.length);
        return;
      }
      try {
        context.upload ??= uploadMemory.reserve(receivedBytes);
        context.upload.grow(receivedBytes);
      } catch (overload) {
        request.removeAllListeners('data');
        reject(overload as MedlarlaneError);
      }
    });
  });
}

function logResponse(
  {logger, view}: EntryHandlerOptions,
  context: RequestContext,
  {status, code}: FinalResponse,
  {
    isDisconnected,
    durationMs,
    cause,
    streamEnd,
    streamFailure,
  }: StreamOutcome & {
    isDisconnected: boolean;
    durationMs: number;
    cause: UnservedCause | undefined;
  },
): void {
  logger.info(
    {
      requestId: context.requestId,
      route: context.route?.name,
      service: context.service,
      key: context.key,
      configVersion: view.configuration.version,
      lagMs: Math.round(context.lagMs),
      timeLeftMs: context.timeLeftMs,
      attempts: context.attempts,
      status: isDisconnected ? undefined : status,
      code,
      cause,
      streamEnd,
      streamFailure,
      durationMs: Math.round(durationMs),
    },
    isDisconnected ? 'Caller disconnected' : 'Request completed',
  );
}
