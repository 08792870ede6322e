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

/** The announced local target with its connections and its admission queue. */
export interface LocalTargetEndpoint {
  readonly address: string;
  readonly dispatcher: Dispatcher;
  readonly admission: AdmissionQueue;
}

/** Outcome and duration of a request to the local target. */
export interface RequestCompletion {
  readonly outcome: AdmissionOutcome;
  readonly durationMs: number;
  /** Whether the whole response arrived. A failed request may have one, with status 500. */
  readonly isAnswered: boolean;
}

/** Observes the requests to the local target. */
export interface TargetRequestObserver {
  onSent(requestId: string, fingerprints: () => string[]): void;
  onEnded(requestId: string, ending: RequestCompletion): void;
  /** Called when the target accepts no connection. */
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
  /** Asks the target to stop working on a request whose caller has disconnected. */
  readonly cancel: (requestId: string) => void;
  readonly loadHint: () => number;
  readonly ownerAddress: () => string;
}

/** A response that was relayed completely, or was cut off after it had started. */
export interface ServedResponse {
  readonly status: number;
  readonly isComplete: boolean;
}

type CompletionStatus = Omit<RequestCompletion, 'durationMs'>;

// How long a daemon waits for its own directory when the sender already sees it as the owner.
const CATCH_UP_TIMEOUT_MS = 1000;

const ADMISSION_OUTCOMES: Readonly<Record<RelayFailureReason, AdmissionOutcome>> = {
  connect: 'unsent',
  timeout: 'timeout',
  reset: 'failed',
  cancelled: 'cancelled',
};

/** Runs requests on the local target. Checks ownership on arrival and again before sending. */
export class LocalServer {
  constructor(private readonly opts: LocalServerOptions) {}

  /** Returns `Left` with the error when the response has not started. */
  async serve(exchange: Exchange): Promise<Either<MedlarlaneError, ServedResponse>> {
    try {
      return Right(await this.run(exchange));
    } catch (thrown) {
      return Left(toMedlarlaneError(thrown));
    }
  }

  private async run(exchange: Exchange): Promise<ServedResponse> {
    const running = await this.beginRequest(exchange);
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

  /** Begins the request once this daemon owns its position; waits while a planned move is in progress. */
  private async beginRequest(exchange: Exchange): Promise<RunningRequest> {
    const {ownership, directory, clock} = this.opts;
    const service = exchange.document.service;
    const catchUpUntilMs = clock.nowMs() + CATCH_UP_TIMEOUT_MS;
    for (;;) {
      const result = ownership.beginRequest(service, exchange.position);
      if (typeof result !== 'string') return result;
      if (result === 'LEASE_EXPIRED') throw new MedlarlaneError('LEASE_EXPIRED');
      const isBehind = exchange.senderIndex > directory.appliedIndex;
      if (result === 'NOT_OWNER' && !isBehind) throw this.notOwnerError(exchange);
      const untilMs =
        result === 'NOT_OWNER'
          ? Math.min(catchUpUntilMs, exchange.deadlineMs)
          : exchange.deadlineMs;
      const timeoutMs = Math.max(0, untilMs - clock.nowMs());
      const timeout = linkAbort([exchange.disconnectSignal], {timeoutMs});
      const changed = directory.waitForChange(timeout.signal).finally(() => timeout.release());
      await changed.catch(() => {
        if (exchange.disconnectSignal.aborted) {
          throw new MedlarlaneError('CANCELLED', undefined, {ran: 'no'});
        }
        throw result === 'NOT_OWNER'
          ? this.notOwnerError(exchange)
          : new MedlarlaneError('DEADLINE_EXCEEDED');
      });
    }
  }

  private notOwnerError({document, position}: Exchange): MedlarlaneError {
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
    const result = await this.opts.idempotency.begin({
      service: document.service,
      position,
      id,
      digest: digestOf(exchange),
      deadlineMs,
      signal: exchange.disconnectSignal,
    });
    if (result.kind === 'recorded') return this.replay(exchange, result.response);
    try {
      return await this.admit(exchange, running, result.run);
    } catch (thrown) {
      if (toMedlarlaneError(thrown).ran === 'no') result.run.markNotRun();
      else result.run.markUnknown();
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
    const {callerId, deadlineMs, disconnectSignal} = exchange;
    const permit = await target.admission.acquire({callerId, deadlineMs, signal: disconnectSignal});
    const startedMs = this.opts.clock.nowMs();
    let status: CompletionStatus = {outcome: 'unsent', isAnswered: false};
    try {
      if (!running.isStillOwned()) throw new MedlarlaneError('LEASE_EXPIRED');
      return await this.send(exchange, running, run, target, (newStatus) => (status = newStatus));
    } finally {
      const durationMs = this.opts.clock.nowMs() - startedMs;
      permit.release({durationMs, outcome: status.outcome});
      this.opts.requestObserver.onEnded(exchange.requestId, {...status, durationMs});
    }
  }

  private async send(
    exchange: Exchange,
    running: RunningRequest,
    run: Run | undefined,
    target: LocalTargetEndpoint,
    report: (status: CompletionStatus) => void,
  ): Promise<ServedResponse> {
    const {request, response, document, requestId} = exchange;
    const {requestTimeoutMs} = document.targets;
    const recorder = run ? new ResponseRecorder() : undefined;
    const remainingMs = exchange.deadlineMs - this.opts.clock.nowMs();
    if (remainingMs <= 0) throw new MedlarlaneError('DEADLINE_EXCEEDED');
    this.recordLoad(exchange);
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
        shouldIntercept: isTargetRefusal,
        closesIntercepted: true,
        transformHeaders: (headers) => this.callerHeaders(exchange, running, headers),
        observer: recorder,
        continuesAfterDisconnect: run !== undefined,
      });
    } catch (thrown) {
      if (!(thrown instanceof RelayFailure)) throw thrown;
      report({outcome: ADMISSION_OUTCOMES[thrown.reason], isAnswered: false});
      if (thrown.reason === 'cancelled') this.opts.cancel(requestId);
      if (thrown.reason === 'connect') this.opts.requestObserver.onConnectionRefused();
      const error = toTargetError(thrown);
      endSpan(span, 0, error);
      throw error;
    }
    endSpan(span, outcome.status, undefined);
    return this.handleOutcome(outcome, run, recorder, report);
  }

  private recordLoad({document, position}: Exchange): void {
    if (position === undefined) return;
    const range = this.opts.directory.range(document.service, position);
    if (range) this.opts.loadMeter.record(range.startPosition, position);
  }

  private handleOutcome(
    outcome: RelayOutcome,
    run: Run | undefined,
    recorder: ResponseRecorder | undefined,
    report: (status: CompletionStatus) => void,
  ): ServedResponse {
    if (outcome.kind === 'intercepted') {
      // A target that refuses a request by its grant or sheds load guarantees that it was not run.
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

  private callerHeaders(
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

function toTargetError(failure: RelayFailure): MedlarlaneError {
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

/** Returns the fingerprints by which requests that crash targets are recognised. */
function fingerprintsOf({request, document, position, body, idempotencyKey}: Exchange): string[] {
  const bytes = body.bufferedBytes ?? request.headers['content-length'];
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
 * Returns a digest of a non-repeatable request, computed from what is known before its body is streamed.
 * A forwarded small body arrives with a content-length even when the caller sent it in chunks, so for
 * buffered bodies the header is not used.
 */
function digestOf({request, body}: Exchange): string {
  const bytes = body.bufferedBytes ?? request.headers['content-length'] ?? '';
  return createHash('sha256')
    .update(`${request.method} ${request.url} ${bytes}\n`)
    .update(body.firstBytes)
    .digest('base64');
}
