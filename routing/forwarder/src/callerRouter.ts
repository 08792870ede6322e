import {Either, Left, Right} from 'purify-ts/Either';
import type {Directory} from '@medlarlane/directory';
import {
  fromProblemDocument,
  isErrorCode,
  MedlarlaneError,
  toMedlarlaneError,
} from '@medlarlane/errors';
import {timeoutSignal} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import type {Session} from '@medlarlane/model';
import type {Lease} from '@medlarlane/ownership';
import {decideRetry} from '@medlarlane/retry';
import type {RetryBudget} from '@medlarlane/retry';
import {chooseOwner} from './chooseOwner.js';
import type {Exchange} from './exchange.js';
import {endToEndHeaders, endToEndResponseHeaders, HEADER} from './headers.js';
import type {ResponseHeaders} from './headers.js';
import type {LocalServer, ServedResponse} from './localServer.js';
import type {Peers} from './peers.js';
import {sendProblem} from './sendProblem.js';
import {relay, RelayFailure} from './relay.js';
import type {RelayOutcome} from './relay.js';
import {withTraceHeaders} from './traceHeaders.js';

export interface CallerRouterOptions {
  readonly directory: Directory;
  readonly lease: Lease;
  readonly localServer: LocalServer;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly availabilityZone: string;
  readonly random: () => number;
  readonly retryBudgetOf: (service: string) => RetryBudget;
}

// A daemon that refuses a request returns a newer owner. More redirects mean diverging directories.
const MAX_REDIRECTS = 2;
const REDIRECT_WAIT_MS = 1000;
// A lost owner is replaced within this time, so waiting longer does not help.
const OWNER_WAIT_LIMIT_MS = 3000;
// A lease that expired during a leader change is renewed without a directory change, hence the polling.
const OWNER_RETRY_INTERVAL_MS = 100;
// Bounds the memory that requests waiting for a new owner use.
const MAX_WAITING_FOR_OWNER = 1024;
// Lets the owner's own response at the deadline arrive before this daemon times out.
const PEER_RESPONSE_GRACE_MS = 100;

// A target that refuses connections was stopped or crashed, and its daemon releases its ranges.
const LOST_OWNER_CODES = new Set([
  'NO_OWNER',
  'LEASE_EXPIRED',
  'PEER_FAILED',
  'NO_TARGET',
  'TARGET_FAILED',
]);

/** Routes a caller's request to the daemon that may run it. Only the entry daemon retries requests. */
export class CallerRouter {
  private waitingForOwner = 0;

  constructor(private readonly opts: CallerRouterOptions) {}

  /** Responds to the request. Returns `Left` with the error if the request was refused. */
  async route(exchange: Exchange): Promise<Either<MedlarlaneError, ServedResponse>> {
    const budget = this.opts.retryBudgetOf(exchange.document.service);
    budget.recordRequest();
    const tried = new Set<number>();
    let attempt = 1;
    let redirects = 0;
    let ownerWaitUntilMs: number | undefined;
    for (;;) {
      const result = await this.attempt(exchange, tried);
      const error = result.caseOf<MedlarlaneError | undefined>({
        Left: (failure) => failure,
        Right: () => undefined,
      });
      if (!error) return result;
      if (!exchange.body.isReplayable || exchange.response.headersSent)
        return respondWithError(exchange, error);
      if (error.code === 'NOT_OWNER' && redirects < MAX_REDIRECTS) {
        redirects += 1;
        await this.waitForIndex(exchange, Number(error.details['index'] ?? 0));
        continue;
      }
      if (error.ran === 'no' && LOST_OWNER_CODES.has(error.code)) {
        ownerWaitUntilMs ??= this.opts.clock.nowMs() + OWNER_WAIT_LIMIT_MS;
        if (await this.waitForOwner(exchange, ownerWaitUntilMs)) continue;
        return respondWithError(exchange, error);
      }
      const decision = decideRetry({
        idempotent: exchange.repeatable,
        ran: error.ran,
        attempt,
        code: error.code,
        remainingMs: this.remainingMs(exchange),
      });
      if (!decision.retry || !budget.tryConsume()) return respondWithError(exchange, error);
      attempt += 1;
      await this.opts.clock.sleep(decision.delayMs);
    }
  }

  private async attempt(
    exchange: Exchange,
    tried: Set<number>,
  ): Promise<Either<MedlarlaneError, ServedResponse>> {
    let owner: Session;
    try {
      owner = chooseOwner(exchange, tried, this.opts);
    } catch (thrown) {
      return Left(toMedlarlaneError(thrown));
    }
    tried.add(owner.sessionId);
    if (owner.sessionId === this.opts.lease.sessionId) {
      return this.opts.localServer.serve(exchange);
    }
    const endTracking = this.opts.peers.trackRequest(owner);
    try {
      return await this.forward(exchange, owner);
    } finally {
      endTracking();
    }
  }

  private async forward(
    exchange: Exchange,
    owner: Session,
  ): Promise<Either<MedlarlaneError, ServedResponse>> {
    const remainingMs = this.remainingMs(exchange);
    if (remainingMs <= 0) return Left(new MedlarlaneError('DEADLINE_EXCEEDED'));
    let outcome: RelayOutcome;
    try {
      outcome = await relay({
        dispatcher: this.opts.peers.pool(owner),
        method: exchange.request.method ?? 'GET',
        path: exchange.request.url ?? '/',
        headers: withTraceHeaders(this.peerHeaders(exchange, remainingMs), exchange.span),
        body: exchange.body.open(),
        response: exchange.response,
        timeoutMs: remainingMs + PEER_RESPONSE_GRACE_MS,
        shouldIntercept: (_status, headers) => headers[HEADER.code] !== undefined,
        transformHeaders: (headers) => this.callerHeaders(headers, owner),
        continuesAfterDisconnect: false,
      });
    } catch (thrown) {
      if (!(thrown instanceof RelayFailure)) throw thrown;
      return Left(toPeerError(thrown));
    }
    if (outcome.kind === 'passed-on') return Right(outcome);
    return Left(parseRefusal(outcome));
  }

  private peerHeaders(exchange: Exchange, remainingMs: number): string[] {
    const headers = endToEndHeaders(exchange.request);
    headers.push(HEADER.service, exchange.document.service);
    headers.push(HEADER.hop, '1');
    headers.push(HEADER.index, String(this.opts.directory.appliedIndex));
    headers.push(HEADER.requestId, exchange.requestId);
    headers.push(HEADER.deadlineMs, String(Math.floor(remainingMs)));
    headers.push(HEADER.callerId, exchange.callerId);
    return headers;
  }

  private callerHeaders(
    headers: ResponseHeaders,
    owner: Session,
  ): ReturnType<typeof endToEndResponseHeaders> {
    const load = headers[HEADER.load];
    if (typeof load === 'string') this.opts.peers.recordLoad(owner, Number(load));
    return endToEndResponseHeaders(headers);
  }

  /** Waits until this daemon's directory is as recent as that of the daemon that refused the request. */
  private async waitForIndex(exchange: Exchange, index: number): Promise<void> {
    const timeoutMs = Math.min(REDIRECT_WAIT_MS, this.remainingMs(exchange));
    await this.opts.directory.waitForIndex(index, timeoutSignal(timeoutMs)).catch(() => undefined);
  }

  /**
   * Waits for a directory change, or for a short interval after which the owner may have renewed its
   * lease. The request was not run yet. Returns whether to try again.
   */
  private async waitForOwner(exchange: Exchange, untilMs: number): Promise<boolean> {
    const {clock, directory} = this.opts;
    const timeoutMs = Math.min(untilMs - clock.nowMs(), this.remainingMs(exchange));
    if (timeoutMs <= 0 || this.waitingForOwner >= MAX_WAITING_FOR_OWNER) return false;
    this.waitingForOwner += 1;
    const signal = timeoutSignal(Math.min(timeoutMs, OWNER_RETRY_INTERVAL_MS));
    await directory.waitForChange(signal).catch(() => undefined);
    this.waitingForOwner -= 1;
    return !exchange.response.destroyed;
  }

  private remainingMs({deadlineMs}: Exchange): number {
    return deadlineMs - this.opts.clock.nowMs();
  }
}

function respondWithError(
  exchange: Exchange,
  error: MedlarlaneError,
): Either<MedlarlaneError, ServedResponse> {
  sendProblem(exchange.response, error);
  return Left(error);
}

function toPeerError(failure: RelayFailure): MedlarlaneError {
  const timeoutCode = failure.ran === 'no' ? 'DEADLINE_EXCEEDED' : 'TARGET_TIMEOUT';
  const code = (
    {
      connect: 'PEER_FAILED',
      reset: 'PEER_FAILED',
      timeout: timeoutCode,
      cancelled: 'CANCELLED',
    } as const
  )[failure.reason];
  return new MedlarlaneError(code, undefined, {ran: failure.ran, cause: failure});
}

/** Parses the problem document, or the headers when there is none, as in the response to a HEAD. */
function parseRefusal({
  headers,
  body,
}: Extract<RelayOutcome, {kind: 'intercepted'}>): MedlarlaneError {
  try {
    const error = fromProblemDocument(JSON.parse(body.toString('utf8')));
    if (error) return error;
  } catch {
    // Falls back to the headers.
  }
  const [code, ran, index] = [headers[HEADER.code], headers[HEADER.ran], headers[HEADER.index]];
  if (typeof code !== 'string' || !isErrorCode(code)) return new MedlarlaneError('PEER_FAILED');
  return new MedlarlaneError(code, undefined, {
    ran: ran === 'no' ? 'no' : 'unknown',
    ...(typeof index === 'string' ? {details: {index: Number(index)}} : {}),
  });
}
