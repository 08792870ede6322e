import type http from 'node:http';
import type {Socket} from 'node:net';
import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import type {ErrorCode} from '@medlarlane/errors';
import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import type {PoisonTable} from '@medlarlane/poison';
import type {RetryBudget} from '@medlarlane/retry';
import {readMessageBody} from '@medlarlane/rpc';
import type {Route} from '@medlarlane/site-config';
import type {PeerClient} from './createPeerClient.js';
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
import {readTurn} from './readTurn.js';
import {refusedBy} from './startGateListener.js';
import type {AdmissionController} from './targetGate.js';

export interface EntryHandlerOptions {
  readonly view: SiteView;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly headerCodec: CallerHeaderCodec;
  readonly peers: PeerClient;
  readonly admissionController: AdmissionController;
  /** Listener of this daemon for other daemons; requests for its own target skip the network. */
  readonly forwardAddress: string;
  /** Service of the target beside this daemon. */
  readonly callerService: string;
  readonly poison: PoisonTable;
  readonly retryBudget: (service: string) => RetryBudget;
  /** How late this process gets to its work, milliseconds. */
  readonly lagMs: () => number;
  /** `closing` connections are not kept, `closed` daemons take no request any more. */
  readonly phase: () => 'open' | 'closing' | 'closed';
  readonly onResponse?: (outcome: EntryOutcome) => void;
}

/** How a caller's request ended, for metrics. */
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

interface Job {
  readonly request: http.IncomingMessage;
  readonly requestId: string | undefined;
  readonly startedAtMs: number;
  /** Delay of the process when it read the request. */
  readonly lagMs: number;
  readonly abort: AbortController;
  readonly attempts: Attempt[];
  route?: Route;
  service?: string;
  key?: number;
}

interface OfferTerms {
  readonly targetAtMs: number;
  readonly deadlineAtMs: number;
  /** Whether the request is left to this target, which may let it wait and answer it late. */
  readonly isFinal: boolean;
}

interface FinalAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  readonly code?: ErrorCode;
}

/**
 * A daemon that is later than this with its work refuses requests before anything else, because the
 * time that they waited unread cannot be known.
 */
const MAX_LAG_MS = 100;
/** Beyond this delay a caller may have left while its request waited; its close is read a turn later. */
const NOTICE_LAG_MS = 15;
/**
 * An overloaded daemon catches up within about this time once it refuses. Spread, because those that
 * are refused together would come back together.
 */
const MIN_LAG_RETRY_MS = 300;
const LAG_RETRY_SPREAD_MS = 700;
const NO_BODY = Buffer.alloc(0);
/** Given as values, because the default reason is an exception that costs a stack trace. */
const CALLER_LEFT = 'caller left';
const DEADLINE_PASSED = 'deadline passed';
/** Part of the time left that a request waits for a slot before another target is asked. */
const WAIT_SHARE = 0.05;
/** A caller that is refused while the owner of its key changes finds it settled after about this time. */
const OWNER_CHANGE_RETRY_MS = 300;
/** A daemon that stops or cannot be reached mostly restarts, which takes a second or two. */
const RESTART_RETRY_MS = 1_000;
const RETRY_AFTER_MS: Partial<Record<ErrorCode, number>> = {
  NO_OWNER: OWNER_CHANGE_RETRY_MS,
  NOT_OWNER: OWNER_CHANGE_RETRY_MS,
  NO_TARGET: OWNER_CHANGE_RETRY_MS,
  PEER_FAILED: RESTART_RETRY_MS,
  DRAINING: RESTART_RETRY_MS,
};
/** While no configuration is known; a daemon that starts needs about a second. */
const NO_CONFIGURATION_RETRY_MS = 500;
/** An attempt that starts with less time left has no chance to be answered. */
const MIN_ATTEMPT_MS = 10;

/** Creates the handler of callers' requests: route, target choice, attempts, answer. */
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
  const {clock, headerCodec: wire} = opts;
  const abort = new AbortController();
  const lagMs = opts.lagMs();
  const {requestId, timeLeftMs, key} = wire.readRequest(request.headers);
  const job: Job = {
    request,
    requestId,
    // The request waited unread for about as long as the process is behind.
    startedAtMs: clock.nowMs() - lagMs,
    lagMs,
    abort,
    attempts: [],
    ...(key === undefined ? {} : {key}),
  };
  let gone = false;
  response.on('close', () => {
    if (response.writableFinished) return;
    gone = true;
    abort.abort(CALLER_LEFT);
  });
  const final = await answerFor(opts, job, timeLeftMs).catch((thrown: unknown) =>
    refusal(opts, job, toMedlarlaneError(thrown)),
  );
  const durationMs = clock.nowMs() - job.startedAtMs;
  if (!gone) send(opts, job, response, final);
  logAnswer(opts, job, final, {gone, durationMs});
  opts.onResponse?.({
    route: job.route?.name ?? '',
    status: gone ? 499 : final.status,
    durationMs,
    attempts: job.attempts.length,
  });
  if (!gone) await written(response);
}

/** Resolves when the answer has left this process; until then a planned stop waits for it. */
function written(response: http.ServerResponse): Promise<void> {
  if (response.writableFinished || response.destroyed) return Promise.resolve();
  return new Promise((resolve) => {
    response.once('finish', resolve);
    response.once('close', resolve);
  });
}

async function answerFor(
  opts: EntryHandlerOptions,
  job: Job,
  timeLeftMs: number | undefined,
): Promise<FinalAnswer> {
  const {view, clock} = opts;
  const {request} = job;
  if (opts.phase() === 'closed') throw new MedlarlaneError('DRAINING', 'This daemon stops');
  const {lagMs} = job;
  if (lagMs > MAX_LAG_MS) {
    throw new MedlarlaneError('OVERLOADED', 'This daemon is behind with its work', {
      details: {retryAfterMs: MIN_LAG_RETRY_MS + Math.random() * LAG_RETRY_SPREAD_MS},
    });
  }
  if (!view.hasConfiguration) {
    throw new MedlarlaneError('STALE_CONFIGURATION', 'No configuration is known yet', {
      details: {retryAfterMs: NO_CONFIGURATION_RETRY_MS},
    });
  }
  const route = view.findRoute(request.headers.host ?? '', request.url ?? '');
  if (!route) throw new MedlarlaneError('SERVICE_UNKNOWN', 'No route matches');
  job.route = route;
  const leftMs = Math.min(timeLeftMs ?? route.timeoutMs, route.timeoutMs);
  const deadlineAtMs = job.startedAtMs + leftMs;
  // A caller that comes back after a refusal has less than the usual time left, and its target
  // latency counts from its first attempt.
  const elapsedMs = Math.max(0, route.timeoutMs - leftMs);
  const targetAtMs = job.startedAtMs + Math.max(0, route.targetLatencyMs - elapsedMs);
  // One connection is accepted in a turn of the event loop, so that a new one may have waited for long.
  const mayHaveWaited = lagMs > NOTICE_LAG_MS || isFirstRequest(request.socket);
  if (mayHaveWaited) await readTurn();
  if (job.abort.signal.aborted) throw new MedlarlaneError('CANCELLED', undefined, {ran: 'no'});
  const body = await readBody(request, view.configuration.limits.maxBodyBytes);
  const service = view.pickService(route);
  job.service = service;
  opts.retryBudget(service).recordRequest();
  const frame: RequestFrame = {
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: endToEndHeaders(request.rawHeaders, {without: opts.headerCodec.reservedHeaders}),
    body,
  };
  if (!opts.poison.isEmpty) opts.poison.assertNotQuarantined(fingerprintsOf(service, frame));
  const leftNowMs = deadlineAtMs - clock.nowMs();
  // Ends all waiting at once; what has not been sent by then is known not to have run.
  const timer = setTimeout(() => job.abort.abort(DEADLINE_PASSED), leftNowMs);
  return attempt(opts, job, route, service, frame, {targetAtMs, deadlineAtMs}).finally(() =>
    clearTimeout(timer),
  );
}

const usedConnections = new WeakSet<Socket>();

function isFirstRequest(connection: Socket): boolean {
  if (usedConnections.has(connection)) return false;
  usedConnections.add(connection);
  return true;
}

async function attempt(
  opts: EntryHandlerOptions,
  job: Job,
  route: Route,
  service: string,
  frame: RequestFrame,
  times: {targetAtMs: number; deadlineAtMs: number},
): Promise<FinalAnswer> {
  const {view, clock} = opts;
  const key = view.isKeyed(service) ? job.key : undefined;
  const plan = new OfferPlan(view, service, key);
  let arrivals = 0;
  let last: RunResult | undefined;
  while (times.deadlineAtMs - clock.nowMs() >= MIN_ATTEMPT_MS && !job.abort.signal.aborted) {
    const next = plan.next();
    if (!next) break;
    const expected = key === undefined ? undefined : view.recentRefusal(next.instance.life);
    if (expected) {
      last = preferred(last, expected);
      break;
    }
    if (arrivals > 0 && !opts.retryBudget(service).tryConsume()) break;
    const terms = {...times, isFinal: next.isFinal};
    const result = await offer(opts, job, route, service, frame, next.instance, terms);
    plan.recordResult(next, result);
    last = preferred(last, result);
    if (result.kind === 'answered') {
      const retriable =
        route.kind === 'safe' && result.answer.status >= 500 && arrivals + 1 < route.maxAttempts;
      if (!retriable) break;
    }
    if (result.kind === 'lost' && route.kind !== 'safe') break;
    if (result.kind !== 'refused') arrivals += 1;
    if (arrivals >= route.maxAttempts) break;
  }
  return finish(opts, job, service, last);
}

/** An answer is better than none, and a later answer better than an earlier failure. */
function preferred(last: RunResult | undefined, next: RunResult): RunResult {
  if (!last || next.kind === 'answered') return next;
  if (last.kind === 'answered') return last;
  // Once something may have run, no later refusal makes it certain that nothing did.
  return last.kind === 'lost' ? last : next;
}

async function offer(
  opts: EntryHandlerOptions,
  job: Job,
  route: Route,
  service: string,
  frame: RequestFrame,
  instance: InstanceView,
  {targetAtMs, deadlineAtMs, isFinal}: OfferTerms,
): Promise<RunResult> {
  const {view, clock, admissionController: gate, peers} = opts;
  const startedAtMs = clock.nowMs();
  const targetLeftMs = Math.round(targetAtMs - startedAtMs);
  const deadlineLeftMs = Math.round(deadlineAtMs - startedAtMs);
  const message: Offer = {
    requestId: job.requestId ?? '',
    service,
    life: instance.life,
    route: route.name,
    priority: route.priority,
    targetLeftMs,
    deadlineLeftMs,
    acceptLate: isFinal,
    maxWaitMs: isFinal ? deadlineLeftMs : Math.max(0, targetLeftMs * WAIT_SHARE),
    ...(job.key === undefined || !view.isKeyed(service) ? {} : {key: job.key}),
    callerService: opts.callerService,
  };
  const {signal} = job.abort;
  view.recordSent(instance.life);
  const result =
    instance.forwardAddress === opts.forwardAddress
      ? await runHere(gate, message, frame, signal)
      : await peers.run({
          address: instance.forwardAddress,
          offer: message,
          frame,
          idempotent: route.kind === 'safe',
          signal,
        });
  view.recordResult(instance.life, result);
  job.attempts.push({
    instance: instance.forwardAddress,
    life: instance.life,
    outcome: result.kind === 'answered' ? String(result.answer.status) : result.code,
    ms: Math.round(clock.nowMs() - startedAtMs),
  });
  return result;
}

async function runHere(
  gate: AdmissionController,
  message: Offer,
  frame: RequestFrame,
  signal: AbortSignal,
): Promise<RunResult> {
  try {
    const admission = await gate.admit(message, signal);
    return await admission.run(frame, signal);
  } catch (thrown) {
    return refusedBy(toMedlarlaneError(thrown), gate);
  }
}

function finish(
  opts: EntryHandlerOptions,
  job: Job,
  service: string,
  result: RunResult | undefined,
): FinalAnswer {
  if (result?.kind === 'answered') return fromTarget(result.answer);
  const expired = job.abort.signal.reason === DEADLINE_PASSED;
  if (result?.kind === 'lost') {
    const lostBy = expired ? 'TARGET_TIMEOUT' : result.code;
    return refusal(opts, job, new MedlarlaneError(lostBy, undefined, {ran: 'unknown'}));
  }
  const code = expired ? 'DEADLINE_EXCEEDED' : (result?.code ?? 'NO_OWNER');
  const known = result?.kind === 'refused' ? result.retryAfterMs : undefined;
  const retryAfterMs = known ?? RETRY_AFTER_MS[code] ?? opts.view.estimateRetryAfterMs(service);
  return refusal(
    opts,
    job,
    new MedlarlaneError(code, undefined, {ran: 'no', details: {retryAfterMs}}),
  );
}

function fromTarget({status, headers, body}: TargetResponse): FinalAnswer {
  return {status, headers, body};
}

/** Statuses of refusals by whether the request ran; only the first promises that it did not. */
const NOT_RUN_STATUS = 503;
const UNKNOWN_STATUS = 502;
const STATUS_OF: Partial<Record<ErrorCode, number>> = {
  SERVICE_UNKNOWN: 404,
  REQUEST_INVALID: 400,
  REQUEST_TOO_LARGE: 413,
  TARGET_TIMEOUT: 504,
};

function refusal(opts: EntryHandlerOptions, job: Job, error: MedlarlaneError): FinalAnswer {
  const {code} = error;
  const status = STATUS_OF[code] ?? (error.ran === 'no' ? NOT_RUN_STATUS : UNKNOWN_STATUS);
  const retryAfterMs = Number(error.details['retryAfterMs']);
  return {
    status,
    headers: opts.headerCodec.refusalHeaders({
      requestId: job.requestId,
      retryAfterMs:
        status === NOT_RUN_STATUS && Number.isFinite(retryAfterMs) ? retryAfterMs : undefined,
    }),
    body: Buffer.from(`${code}\n`),
    code,
  };
}

function send(
  opts: EntryHandlerOptions,
  {request}: Job,
  response: http.ServerResponse,
  {status, headers, body}: FinalAnswer,
): void {
  if (opts.phase() !== 'open' || !request.complete) response.shouldKeepAlive = false;
  const bodiless = request.method === 'HEAD' || status === 204 || status === 304;
  const length = bodiless ? [] : ['Content-Length', String(body.length)];
  response.writeHead(status, [...headers, ...length] as unknown as http.OutgoingHttpHeaders);
  response.end(bodiless ? undefined : body);
}

async function readBody(request: http.IncomingMessage, maxBytes: number): Promise<Buffer> {
  const {headers} = request;
  const empty =
    headers['transfer-encoding'] === undefined && (headers['content-length'] ?? '0') === '0';
  if (empty) {
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

function logAnswer(
  {logger, view}: EntryHandlerOptions,
  job: Job,
  {status, code}: FinalAnswer,
  {gone, durationMs}: {gone: boolean; durationMs: number},
): void {
  logger.info(
    {
      requestId: job.requestId,
      route: job.route?.name,
      service: job.service,
      key: job.key,
      configVersion: view.configuration.version,
      lagMs: Math.round(job.lagMs),
      attempts: job.attempts,
      status: gone ? undefined : status,
      code,
      durationMs: Math.round(durationMs),
    },
    gone ? 'Caller left' : 'Answered',
  );
}
