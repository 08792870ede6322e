import type http from 'node:http';
import type {Socket} from 'node:net';
import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import type {ErrorCode} from '@medlarlane/errors';
import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import type {PoisonTable} from '@medlarlane/poison';
import type {RetryBudget} from '@medlarlane/retry';
import {readMessageBody} from '@medlarlane/rpc';
import {isIdempotent} from '@medlarlane/site-config';
import type {Route} from '@medlarlane/site-config';
import type {PeerClient} from './createPeerClient.js';
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
import type {InstanceView, SiteView} from './siteView.js';
import {OfferPlan} from './offerPlan.js';
import {waitForSocketPoll} from './waitForSocketPoll.js';
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
  /** Refuses what the service as a whole does not admit; without it, only gates refuse. */
  readonly entryAdmission?: EntryAdmission;
  readonly onResponse?: (outcome: EntryOutcome) => void;
}

/** Outcome of a caller's request, for metrics. */
export interface EntryOutcome {
  readonly route: string;
  readonly status: number;
  readonly durationMs: number;
  readonly attempts: number;
}

export interface EntryHandler {
  handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void>;
  readonly inFlight: number;
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
  route?: Route;
  deadlineAtMs?: number;
  service?: string;
  key?: number;
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

interface FinalResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  readonly code?: ErrorCode;
}

/**
 * Above this event loop lag, requests are refused immediately, because the time that they waited before
 * they were read is unknown.
 */
const MAX_LAG_MS = 100;
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
/** With less time left, an attempt has no chance of a response before the deadline. */
const MIN_ATTEMPT_MS = 10;

/** Creates the handler for callers' requests: routing, target selection, attempts and response. */
export function createEntryHandler(opts: EntryHandlerOptions): EntryHandler {
  let inFlight = 0;
  return {
    get inFlight() {
      return inFlight;
    },
    handle: async (request, response) => {
      inFlight += 1;
      try {
        await handle(opts, request, response);
      } finally {
        inFlight -= 1;
      }
    },
  };
}

async function handle(
  opts: EntryHandlerOptions,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const {clock, headerCodec} = opts;
  const abort = new AbortController();
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
    ...(key === undefined ? {} : {key}),
  };
  let isDisconnected = false;
  response.on('close', () => {
    if (response.writableFinished) return;
    isDisconnected = true;
    abort.abort(CALLER_DISCONNECTED);
  });
  const finalResponse = await processRequest(opts, context, timeLeftMs).catch((thrown: unknown) =>
    refusalResponse(opts, context, toMedlarlaneError(thrown)),
  );
  const durationMs = clock.nowMs() - context.startedAtMs;
  if (!isDisconnected) writeResponse(opts, context, response, finalResponse);
  logResponse(opts, context, finalResponse, {isDisconnected, durationMs});
  opts.onResponse?.({
    route: context.route?.name ?? '',
    status: isDisconnected ? 499 : finalResponse.status,
    durationMs,
    attempts: context.attempts.length,
  });
  if (!isDisconnected) await waitUntilWritten(response);
}

/** Resolves once the response has been written, so that a graceful shutdown waits for it. */
function waitUntilWritten(response: http.ServerResponse): Promise<void> {
  if (response.writableFinished || response.destroyed) return Promise.resolve();
  return new Promise((resolve) => {
    response.once('finish', resolve);
    response.once('close', resolve);
  });
}

async function processRequest(
  opts: EntryHandlerOptions,
  context: RequestContext,
  timeLeftMs: number | undefined,
): Promise<FinalResponse> {
  const {view, clock} = opts;
  const {request} = context;
  if (opts.phase() === 'closed') throw new MedlarlaneError('DRAINING', 'Daemon is stopping');
  const {lagMs} = context;
  if (lagMs > MAX_LAG_MS) {
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
  const remainingMs = Math.min(timeLeftMs ?? route.timeoutMs, route.timeoutMs);
  const stopDeadlineAtMs = opts.stopDeadlineAtMs?.() ?? Infinity;
  if (clock.nowMs() + route.targetLatencyMs > stopDeadlineAtMs) {
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
  const mayHaveWaited = lagMs > POLL_AGAIN_LAG_MS || isFirstRequest(request.socket);
  if (mayHaveWaited) await waitForSocketPoll();
  if (context.abort.signal.aborted) throw new MedlarlaneError('CANCELLED', undefined, {ran: 'no'});
  const body = await readBody(request, view.configuration.limits.maxBodyBytes);
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
  // Aborts all pending waits at the deadline; requests not sent by then are known not to have run.
  const timer = setTimeout(() => context.abort.abort(DEADLINE_PASSED), remainingNowMs);
  return runAttempts(opts, context, route, service, frame, {
    latencyTargetAtMs,
    deadlineAtMs,
  }).finally(() => clearTimeout(timer));
}

const usedConnections = new WeakSet<Socket>();

function isFirstRequest(connection: Socket): boolean {
  if (usedConnections.has(connection)) return false;
  usedConnections.add(connection);
  return true;
}

async function runAttempts(
  opts: EntryHandlerOptions,
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
    const recentRefusal =
      key === undefined ? undefined : view.recentRefusal(nextOffer.instance.life);
    if (recentRefusal) {
      lastResult = preferredResult(lastResult, recentRefusal);
      break;
    }
    if (executionCount > 0 && !opts.retryBudget(service).tryConsume()) break;
    const offerOptions = {...times, isFinal: nextOffer.isFinal};
    const result = await sendOffer(
      opts,
      context,
      route,
      service,
      frame,
      nextOffer.instance,
      offerOptions,
    );
    offerPlan.recordResult(nextOffer, result);
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

/** Selects the result to return: a response over none, and a later response over an earlier failure. */
function preferredResult(last: RunResult | undefined, next: RunResult): RunResult {
  if (!last || next.kind === 'answered') return next;
  if (last.kind === 'answered') return last;
  // Once an attempt may have run, a later refusal cannot guarantee that the request did not run.
  return last.kind === 'lost' ? last : next;
}

async function sendOffer(
  opts: EntryHandlerOptions,
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
  opts: EntryHandlerOptions,
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
  opts: EntryHandlerOptions,
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
  opts: EntryHandlerOptions,
  {request}: RequestContext,
  response: http.ServerResponse,
  {status, headers, body}: FinalResponse,
): void {
  if (opts.phase() !== 'open' || !request.complete) response.shouldKeepAlive = false;
  const bodiless = request.method === 'HEAD' || status === 204 || status === 304;
  const length = bodiless ? [] : ['Content-Length', String(body.length)];
  response.writeHead(status, [...headers, ...length] as unknown as http.OutgoingHttpHeaders);
  response.end(bodiless ? undefined : body);
}

async function readBody(request: http.IncomingMessage, maxBytes: number): Promise<Buffer> {
  const {headers} = request;
  const isEmpty =
    headers['transfer-encoding'] === undefined && (headers['content-length'] ?? '0') === '0';
  if (isEmpty) {
    request.resume();
    return NO_BODY;
  }
  try {
    return await readMessageBody(request, maxBytes);
  } catch (cause) {
    const tooLarge = (cause as {code?: string}).code === 'BODY_TOO_LARGE';
    throw new MedlarlaneError(tooLarge ? 'REQUEST_TOO_LARGE' : 'CANCELLED', undefined, {
      cause,
      ran: 'no',
    });
  }
}

function logResponse(
  {logger, view}: EntryHandlerOptions,
  context: RequestContext,
  {status, code}: FinalResponse,
  {isDisconnected, durationMs}: {isDisconnected: boolean; durationMs: number},
): void {
  logger.info(
    {
      requestId: context.requestId,
      route: context.route?.name,
      service: context.service,
      key: context.key,
      configVersion: view.configuration.version,
      lagMs: Math.round(context.lagMs),
      attempts: context.attempts,
      status: isDisconnected ? undefined : status,
      code,
      durationMs: Math.round(durationMs),
    },
    isDisconnected ? 'Caller disconnected' : 'Request completed',
  );
}
