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

// An owner that refuses names a newer one; more follows than this mean that the views diverge.
const MAX_FOLLOWS = 2;
const FOLLOW_WAIT_MS = 1000;
// A key is served again within this time of a loss, so waiting longer is useless.
const OWNER_WAIT_LIMIT_MS = 3000;
// A lease that lapsed while the control leader changed comes back without a change of the directory.
const OWNER_RETRY_INTERVAL_MS = 100;
// Bounds the memory of requests that wait for a new owner.
const MAX_WAITING_FOR_OWNER = 1024;
// The owner's own answer at the deadline should arrive before this daemon gives up.
const PEER_GRACE_MS = 100;

// A target that takes no connection has left or crashed, and its daemon gives up its ranges.
const LOST_OWNER_CODES = new Set([
  'NO_OWNER',
  'LEASE_EXPIRED',
  'PEER_FAILED',
  'NO_TARGET',
  'TARGET_FAILED',
]);

/** Takes a caller's request to the daemon that may run it. Only this daemon repeats it. */
export class CallerRouter {
  private waitingForOwner = 0;

  constructor(private readonly opts: CallerRouterOptions) {}

  /** Answers the request. Returns the error with which it was refused, if it was. */
  async route(exchange: Exchange): Promise<Either<MedlarlaneError, ServedResponse>> {
    const budget = this.opts.retryBudgetOf(exchange.document.service);
    budget.recordRequest();
    const tried = new Set<number>();
    let attempt = 1;
    let follows = 0;
    let ownerWaitUntilMs: number | undefined;
    for (;;) {
      const result = await this.attempt(exchange, tried);
      const error = result.caseOf<MedlarlaneError | undefined>({
        Left: (failure) => failure,
        Right: () => undefined,
      });
      if (!error) return result;
      if (!exchange.body.isReplayable || exchange.response.headersSent)
        return refuse(exchange, error);
      if (error.code === 'NOT_OWNER' && follows < MAX_FOLLOWS) {
        follows += 1;
        await this.waitForIndex(exchange, Number(error.details['index'] ?? 0));
        continue;
      }
      if (error.ran === 'no' && LOST_OWNER_CODES.has(error.code)) {
        ownerWaitUntilMs ??= this.opts.clock.nowMs() + OWNER_WAIT_LIMIT_MS;
        if (await this.waitForOwner(exchange, ownerWaitUntilMs)) continue;
        return refuse(exchange, error);
      }
      const decision = decideRetry({
        idempotent: exchange.repeatable,
        ran: error.ran,
        attempt,
        code: error.code,
        remainingMs: this.remainingMs(exchange),
      });
      if (!decision.retry || !budget.tryConsume()) return refuse(exchange, error);
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
    const done = this.opts.peers.trackRequest(owner);
    try {
      return await this.forward(exchange, owner);
    } finally {
      done();
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
        timeoutMs: remainingMs + PEER_GRACE_MS,
        intercepts: (_status, headers) => headers[HEADER.code] !== undefined,
        responseHeaders: (headers) => this.answerHeaders(headers, owner),
        outlivesCaller: false,
      });
    } catch (thrown) {
      if (!(thrown instanceof RelayFailure)) throw thrown;
      return Left(peerError(thrown));
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

  private answerHeaders(
    headers: ResponseHeaders,
    owner: Session,
  ): ReturnType<typeof endToEndResponseHeaders> {
    const load = headers[HEADER.load];
    if (typeof load === 'string') this.opts.peers.recordLoad(owner, Number(load));
    return endToEndResponseHeaders(headers);
  }

  /** Waits until this daemon's directory is as new as that of the daemon that refused. */
  private async waitForIndex(exchange: Exchange, index: number): Promise<void> {
    const limitMs = Math.min(FOLLOW_WAIT_MS, this.remainingMs(exchange));
    await this.opts.directory.waitForIndex(index, timeoutSignal(limitMs)).catch(() => undefined);
  }

  /**
   * Waits for a change of the directory, or a moment when the owner may have its lease back. Nothing
   * has run so far. Returns whether another attempt makes sense.
   */
  private async waitForOwner(exchange: Exchange, untilMs: number): Promise<boolean> {
    const {clock, directory} = this.opts;
    const limitMs = Math.min(untilMs - clock.nowMs(), this.remainingMs(exchange));
    if (limitMs <= 0 || this.waitingForOwner >= MAX_WAITING_FOR_OWNER) return false;
    this.waitingForOwner += 1;
    const signal = timeoutSignal(Math.min(limitMs, OWNER_RETRY_INTERVAL_MS));
    await directory.waitForChange(signal).catch(() => undefined);
    this.waitingForOwner -= 1;
    return !exchange.response.destroyed;
  }

  private remainingMs({deadlineMs}: Exchange): number {
    return deadlineMs - this.opts.clock.nowMs();
  }
}

function refuse(
  exchange: Exchange,
  error: MedlarlaneError,
): Either<MedlarlaneError, ServedResponse> {
  sendProblem(exchange.response, error);
  return Left(error);
}

function peerError(failure: RelayFailure): MedlarlaneError {
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

/** Reads the headers when there is no document, as in the answer to a HEAD. */
function parseRefusal({
  headers,
  body,
}: Extract<RelayOutcome, {kind: 'intercepted'}>): MedlarlaneError {
  try {
    const error = fromProblemDocument(JSON.parse(body.toString('utf8')));
    if (error) return error;
  } catch {
    // The headers say what can be relied on.
  }
  const [code, ran, index] = [headers[HEADER.code], headers[HEADER.ran], headers[HEADER.index]];
  if (typeof code !== 'string' || !isErrorCode(code)) return new MedlarlaneError('PEER_FAILED');
  return new MedlarlaneError(code, undefined, {
    ran: ran === 'no' ? 'no' : 'unknown',
    ...(typeof index === 'string' ? {details: {index: Number(index)}} : {}),
  });
}
