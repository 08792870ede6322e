import {createHash} from 'node:crypto';
import {Either, Left, Right} from 'purify-ts/Either';
import type {Dispatcher} from 'undici';
import type {AdmissionOutcome, AdmissionQueue} from '@medlarlane/admission';
import type {IdempotencyTable, RecordedResponse, Run} from '@medlarlane/dedupe';
import type {Directory} from '@medlarlane/directory';
import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import {linkAbort} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import type {LoadMeter} from '@medlarlane/load-meter';
import type {Ownership, RunningRequest} from '@medlarlane/ownership';
import {requestFingerprints} from '@medlarlane/poison';
import type {PoisonTable} from '@medlarlane/poison';
import type {Exchange} from './exchange.js';
import {endToEndHeaders, HEADER, targetResponseHeaders} from './headers.js';
import type {ResponseHeaders} from './headers.js';
import {relay, RelayFailure} from './relay.js';
import type {RelayFailureReason, RelayOutcome} from './relay.js';
import {ResponseRecorder} from './responseRecorder.js';
import {endSpan, withTraceHeaders} from './traceHeaders.js';

/** The announced local target, with what this daemon holds for it. */
export interface LocalTargetEndpoint {
  readonly address: string;
  readonly dispatcher: Dispatcher;
  readonly admission: AdmissionQueue;
}

/** How a request at the local target ended. */
export interface RequestCompletion {
  readonly outcome: AdmissionOutcome;
  readonly durationMs: number;
  /** Whether the whole response arrived; a failed request may have been answered with status 500. */
  readonly isAnswered: boolean;
}

/** What became of requests at the local target. */
export interface TargetRequestObserver {
  onSent(requestId: string, fingerprints: () => string[]): void;
  onEnded(requestId: string, ending: RequestCompletion): void;
  /** The target accepts no connection. */
  onConnectionRefused(): void;
}

export interface LocalServerOptions {
  readonly ownership: Ownership;
  readonly directory: Directory;
  readonly idempotency: IdempotencyTable;
  readonly poison: PoisonTable;
  readonly loadMeter: LoadMeter;
  readonly clock: Clock;
  /** The target that runs requests now; `undefined` while none is announced or it has failed. */
  readonly target: () => LocalTargetEndpoint | undefined;
  readonly requestObserver: TargetRequestObserver;
  /** Asks the target to stop working on a request whose caller has gone. */
  readonly cancel: (requestId: string) => void;
  readonly loadHint: () => number;
  readonly ownerAddress: () => string;
}

/** A response that has been passed on, or was cut after it had started. */
export interface ServedResponse {
  readonly status: number;
  readonly isComplete: boolean;
}

type Ended = Omit<RequestCompletion, 'durationMs'>;

// How long a daemon that was named as owner waits until its own directory says so.
const CATCH_UP_LIMIT_MS = 1000;

const ADMISSION_OUTCOMES: Readonly<Record<RelayFailureReason, AdmissionOutcome>> = {
  connect: 'unsent',
  timeout: 'timeout',
  reset: 'failed',
  cancelled: 'cancelled',
};

/** Runs requests on the local target, for which every request is checked twice. */
export class LocalServer {
  constructor(private readonly opts: LocalServerOptions) {}

  /** Returns the error when the response has not started. */
  async serve(exchange: Exchange): Promise<Either<MedlarlaneError, ServedResponse>> {
    try {
      return Right(await this.run(exchange));
    } catch (thrown) {
      return Left(toMedlarlaneError(thrown));
    }
  }

  private async run(exchange: Exchange): Promise<ServedResponse> {
    const running = await this.enter(exchange);
    try {
      this.opts.poison.assertNotQuarantined(
        this.opts.poison.isEmpty ? [] : fingerprintsOf(exchange),
      );
      if (exchange.idempotencyKey === undefined || exchange.position === undefined) {
        return await this.admit(exchange, running, undefined);
      }
      return await this.runOnce(exchange, running, exchange.idempotencyKey, exchange.position);
    } finally {
      running.end();
    }
  }

  /** Enters once this daemon owns the position; waits while a planned move is under way. */
  private async enter(exchange: Exchange): Promise<RunningRequest> {
    const {ownership, directory, clock} = this.opts;
    const service = exchange.document.service;
    const catchUpUntilMs = clock.nowMs() + CATCH_UP_LIMIT_MS;
    for (;;) {
      const entered = ownership.beginRequest(service, exchange.position);
      if (typeof entered !== 'string') return entered;
      if (entered === 'LEASE_EXPIRED') throw new MedlarlaneError('LEASE_EXPIRED');
      const isBehind = exchange.senderIndex > directory.appliedIndex;
      if (entered === 'NOT_OWNER' && !isBehind) throw this.notOwner(exchange);
      const untilMs =
        entered === 'NOT_OWNER'
          ? Math.min(catchUpUntilMs, exchange.deadlineMs)
          : exchange.deadlineMs;
      const timeoutMs = Math.max(0, untilMs - clock.nowMs());
      const waiting = linkAbort([exchange.callerGone], {timeoutMs});
      const changed = directory.waitForChange(waiting.signal).finally(() => waiting.release());
      await changed.catch(() => {
        if (exchange.callerGone.aborted) {
          throw new MedlarlaneError('CANCELLED', undefined, {ran: 'no'});
        }
        throw entered === 'NOT_OWNER'
          ? this.notOwner(exchange)
          : new MedlarlaneError('DEADLINE_EXCEEDED');
      });
    }
  }

  private notOwner({document, position}: Exchange): MedlarlaneError {
    const {directory} = this.opts;
    const range = position === undefined ? undefined : directory.range(document.service, position);
    const owner = directory.session(range?.ownerSessionId ?? 0);
    return new MedlarlaneError('NOT_OWNER', undefined, {
      details: {index: directory.appliedIndex, ownerAddress: owner?.callerAddress ?? ''},
    });
  }

  private async runOnce(
    exchange: Exchange,
    running: RunningRequest,
    id: string,
    position: number,
  ): Promise<ServedResponse> {
    const {deadlineMs, document} = exchange;
    const begun = await this.opts.idempotency.begin({
      service: document.service,
      position,
      id,
      digest: digestOf(exchange),
      deadlineMs,
      signal: exchange.callerGone,
    });
    if (begun.kind === 'recorded') return this.replay(exchange, begun.response);
    try {
      return await this.admit(exchange, running, begun.run);
    } catch (thrown) {
      if (toMedlarlaneError(thrown).ran === 'no') begun.run.markNotRun();
      else begun.run.markUnknown();
      throw thrown;
    }
  }

  private replay({response}: Exchange, recorded: RecordedResponse): ServedResponse {
    response.writeHead(recorded.status, recorded.headers.flat());
    response.end(recorded.body);
    return {status: recorded.status, isComplete: true};
  }

  private async admit(
    exchange: Exchange,
    running: RunningRequest,
    run: Run | undefined,
  ): Promise<ServedResponse> {
    const target = this.opts.target();
    if (!target) throw new MedlarlaneError('NO_TARGET');
    const {callerId, deadlineMs, callerGone} = exchange;
    const permit = await target.admission.acquire({callerId, deadlineMs, signal: callerGone});
    const startedMs = this.opts.clock.nowMs();
    let ended: Ended = {outcome: 'unsent', isAnswered: false};
    try {
      if (!running.isStillOwned()) throw new MedlarlaneError('LEASE_EXPIRED');
      return await this.send(exchange, running, run, target, (report) => (ended = report));
    } finally {
      const durationMs = this.opts.clock.nowMs() - startedMs;
      permit.release({durationMs, outcome: ended.outcome});
      this.opts.requestObserver.onEnded(exchange.requestId, {...ended, durationMs});
    }
  }

  private async send(
    exchange: Exchange,
    running: RunningRequest,
    run: Run | undefined,
    target: LocalTargetEndpoint,
    report: (ended: Ended) => void,
  ): Promise<ServedResponse> {
    const {request, response, document, requestId} = exchange;
    const {requestTimeoutMs} = document.targets;
    const recorder = run ? new ResponseRecorder() : undefined;
    const remainingMs = exchange.deadlineMs - this.opts.clock.nowMs();
    if (remainingMs <= 0) throw new MedlarlaneError('DEADLINE_EXCEEDED');
    this.measureLoad(exchange);
    this.opts.requestObserver.onSent(requestId, () => fingerprintsOf(exchange));
    const span = exchange.span.startChild('target');
    let outcome: RelayOutcome;
    try {
      outcome = await relay({
        dispatcher: target.dispatcher,
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers: withTraceHeaders(this.targetHeaders(exchange, running, remainingMs), span),
        body: exchange.body.open(),
        response,
        timeoutMs: Math.min(remainingMs, requestTimeoutMs),
        intercepts: isTargetRefusal,
        responseHeaders: (headers) => this.answerHeaders(exchange, running, headers),
        observer: recorder,
        outlivesCaller: run !== undefined,
      });
    } catch (thrown) {
      if (!(thrown instanceof RelayFailure)) throw thrown;
      report({outcome: ADMISSION_OUTCOMES[thrown.reason], isAnswered: false});
      if (thrown.reason === 'cancelled') this.opts.cancel(requestId);
      if (thrown.reason === 'connect') this.opts.requestObserver.onConnectionRefused();
      const error = targetError(thrown);
      endSpan(span, 0, error);
      throw error;
    }
    endSpan(span, outcome.status, undefined);
    return this.conclude(outcome, run, recorder, report);
  }

  private measureLoad({document, position}: Exchange): void {
    if (position === undefined) return;
    const range = this.opts.directory.range(document.service, position);
    if (range) this.opts.loadMeter.record(range.startPosition, position);
  }

  private conclude(
    outcome: RelayOutcome,
    run: Run | undefined,
    recorder: ResponseRecorder | undefined,
    report: (ended: Ended) => void,
  ): ServedResponse {
    if (outcome.kind === 'intercepted') {
      // A target that checks its grants, or sheds load, promises that it did not run the request.
      report({outcome: 'shed', isAnswered: true});
      throw new MedlarlaneError(outcome.status === 503 ? 'OVERLOADED' : 'LEASE_EXPIRED');
    }
    const failed = !outcome.isComplete || outcome.status >= 500;
    report({outcome: failed ? 'failed' : 'ok', isAnswered: outcome.isComplete});
    if (outcome.isComplete) run?.finish(recorder?.response);
    else run?.markUnknown();
    return {status: outcome.status, isComplete: outcome.isComplete};
  }

  private targetHeaders(
    exchange: Exchange,
    running: RunningRequest,
    remainingMs: number,
  ): string[] {
    const headers = endToEndHeaders(exchange.request);
    headers.push(HEADER.requestId, exchange.requestId);
    headers.push(HEADER.deadlineMs, String(Math.floor(remainingMs)));
    if (exchange.position !== undefined) {
      headers.push(HEADER.epoch, String(running.epoch));
      headers.push(HEADER.position, String(exchange.position));
    }
    return headers;
  }

  private answerHeaders(
    exchange: Exchange,
    running: RunningRequest,
    headers: ResponseHeaders,
  ): ReturnType<typeof targetResponseHeaders> {
    const kept = targetResponseHeaders(headers);
    kept[HEADER.owner] = this.opts.ownerAddress();
    kept[HEADER.requestId] = exchange.requestId;
    kept[HEADER.epoch] = String(running.epoch);
    kept[HEADER.load] = String(this.opts.loadHint());
    return kept;
  }
}

function isTargetRefusal(status: number, headers: ResponseHeaders): boolean {
  return (status === 409 || status === 503) && headers[HEADER.ran] === 'no';
}

function targetError(failure: RelayFailure): MedlarlaneError {
  const code = (
    {
      connect: 'TARGET_FAILED',
      reset: 'TARGET_FAILED',
      timeout: 'TARGET_TIMEOUT',
      cancelled: 'CANCELLED',
    } as const
  )[failure.reason];
  return new MedlarlaneError(code, undefined, {ran: failure.ran, cause: failure});
}

/** The fingerprints under which a request that crashes targets is recognised. */
function fingerprintsOf({request, document, position, body, idempotencyKey}: Exchange): string[] {
  const bytes = body.heldBytes ?? request.headers['content-length'];
  return requestFingerprints({
    method: request.method ?? 'GET',
    service: document.service,
    key: String(position ?? ''),
    path: request.url ?? '/',
    bodyPrefix: body.firstBytes,
    ...(bytes === undefined ? {} : {bodyBytes: Number(bytes)}),
    ...(idempotencyKey === undefined ? {} : {idempotencyKey}),
  });
}

/**
 * Identifies the content of a non-repeatable request, as far as it can be known before it streams. A
 * forwarded small body arrives with a length even when the caller sent it in chunks, so the header is
 * not used for it.
 */
function digestOf({request, body}: Exchange): string {
  const bytes = body.heldBytes ?? request.headers['content-length'] ?? '';
  return createHash('sha256')
    .update(`${request.method} ${request.url} ${bytes}\n`)
    .update(body.firstBytes)
    .digest('base64');
}
