import {Agent, buildConnector, Pool, request} from 'undici';
import {ADMIN_OPERATIONS, adminOperationPath, parseAdminResponse} from '@medlarlane/admin-api';
import type {AdminOperation, AdminRequest, AdminResponse} from '@medlarlane/admin-api';
import {fromProblemDocument, MedlarlaneError} from '@medlarlane/errors';
import type {ErrorCode} from '@medlarlane/errors';
import {createStrictClient} from '@medlarlane/http-client';
import {linkAbort} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';

export interface AdminClientOptions {
  /** `<ip>:<port>` or a URL; tried in order, starting with the last one that responded. */
  readonly endpoints: readonly string[];
  /** Operator token, sent with requests that change state. */
  readonly token?: string;
  /** Certificate authority for https endpoints, PEM. */
  readonly caPem?: string;
  /** Timeout of one operation with all its attempts. */
  readonly timeoutMs: number;
  readonly clock: Clock;
  /** Aborts the operation. */
  readonly signal: AbortSignal;
}

type Outcome<T> =
  {readonly response: T} | {readonly failure: MedlarlaneError; readonly mayHaveRun: boolean};

// A commit takes less than 1 s even with an election; an endpoint that takes longer is abandoned.
const ATTEMPT_TIMEOUT_MS = 3_000;
const CONNECT_TIMEOUT_MS = 1_000;
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1_000;

/** Errors that may not recur at another endpoint or on a later attempt. */
const TRANSIENT_CODES: ReadonlySet<ErrorCode> = new Set<ErrorCode>([
  'NOT_LEADER',
  'NO_LEADER',
  'COMMIT_UNKNOWN',
  'ENDPOINT_UNREACHABLE',
]);

/** Changes that are idempotent, so that they may be sent again. */
const IDEMPOTENT_OPERATIONS: ReadonlySet<AdminOperation> = new Set<AdminOperation>([
  'applyDocument',
  'claimTeam',
  'drain',
]);

/** Next step after a lost response to an operation without a change id. */
const NEXT_STEPS: Readonly<Partial<Record<AdminOperation, string>>> = {
  drain: 'Draining is idempotent: run the command again.',
  addLearner: 'Look at medlarlane members list before another attempt.',
  promote: 'Look at medlarlane members list before another attempt.',
  removeMember: 'Look at medlarlane members list before another attempt.',
};

/** Calls admin operations at any of several admin listeners. */
export class AdminClient {
  private readonly agent: Agent;
  /** Errors of opening a connection (TCP or TLS), after which no part of the request was sent. */
  private readonly connectErrors = new WeakSet<Error>();
  private preferredIndex = 0;

  constructor(private readonly opts: AdminClientOptions) {
    const connect = buildConnector({
      timeout: CONNECT_TIMEOUT_MS,
      ...(opts.caPem ? {ca: opts.caPem} : {}),
    });
    this.agent = new Agent({
      factory: (origin, poolOpts) => new Pool(origin, {...poolOpts, factory: createStrictClient}),
      connect: (target, callback) =>
        connect(target, (...result) => {
          if (result[0]) this.connectErrors.add(result[0]);
          callback(...result);
        }),
    });
  }

  /**
   * Calls an operation. After a lost response the same request, with the same change id, is sent
   * again, to the next endpoint if there is one.
   * @throws MedlarlaneError of the daemon; `ENDPOINT_UNREACHABLE` when no endpoint accepts a
   *     connection; `COMMIT_UNKNOWN` when a change was sent and no response arrived in time.
   */
  async call<O extends AdminOperation>(
    operation: O,
    body: AdminRequest<O>,
  ): Promise<AdminResponse<O>> {
    const {clock, endpoints, timeoutMs, signal} = this.opts;
    const deadlineMs = clock.nowMs() + timeoutMs;
    let mayHaveRun = false;
    let backoffMs = INITIAL_BACKOFF_MS;
    for (;;) {
      const failures: MedlarlaneError[] = [];
      const first = this.preferredIndex;
      for (let offset = 0; offset < endpoints.length; offset += 1) {
        const position = (first + offset) % endpoints.length;
        // An unresponsive endpoint must leave time for the others.
        const endpointBudgetMs = (deadlineMs - clock.nowMs()) / (endpoints.length - offset);
        const attemptTimeoutMs = Math.min(ATTEMPT_TIMEOUT_MS, endpointBudgetMs);
        if (attemptTimeoutMs <= 0 || signal.aborted) break;
        const outcome = await this.attempt(
          endpoints[position] ?? '',
          operation,
          body,
          attemptTimeoutMs,
        );
        if ('response' in outcome) {
          this.preferredIndex = position;
          return outcome.response;
        }
        mayHaveRun ||= outcome.mayHaveRun;
        if (!isRetryable(operation, outcome)) {
          throw withNextStep(operation, outcome.failure);
        }
        failures.push(outcome.failure);
      }
      const unreachable = failures.every(({code}) => code === 'ENDPOINT_UNREACHABLE');
      const isTimedOut = signal.aborted || clock.nowMs() + backoffMs >= deadlineMs;
      if (isTimedOut || (unreachable && !mayHaveRun)) {
        const failure = toFinalError(operation, failures, {mayHaveRun, endpoints, timeoutMs});
        throw withNextStep(operation, failure);
      }
      // When the backoff is aborted, the next iteration ends the operation.
      await clock.sleep(backoffMs, {signal}).catch(() => undefined);
      backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
    }
  }

  async close(): Promise<void> {
    await this.agent.close();
  }

  private async attempt<O extends AdminOperation>(
    endpoint: string,
    operation: O,
    body: AdminRequest<O>,
    attemptTimeoutMs: number,
  ): Promise<Outcome<AdminResponse<O>>> {
    const {changesState} = ADMIN_OPERATIONS[operation];
    const {token} = this.opts;
    let status: number;
    let text: string;
    const abortLink = linkAbort([this.opts.signal], {timeoutMs: attemptTimeoutMs});
    try {
      const response = await request(
        new URL(adminOperationPath(operation), parseEndpoint(endpoint)),
        {
          method: 'POST',
          dispatcher: this.agent,
          signal: abortLink.signal,
          headers: {
            'content-type': 'application/json',
            ...(changesState && token !== undefined ? {authorization: `Bearer ${token}`} : {}),
          },
          body: JSON.stringify(body),
        },
      );
      status = response.statusCode;
      text = await response.body.text();
    } catch (cause) {
      return this.connectionFailure(endpoint, operation, cause);
    } finally {
      abortLink.release();
    }
    const json = parseJson(text);
    if (status === 200) return {response: parseAdminResponse(operation, json)};
    const failure =
      fromProblemDocument(json) ??
      new MedlarlaneError(
        'INTERNAL',
        `${endpoint} responded with ${status} without a problem document; is it an admin listener?`,
      );
    return {failure, mayHaveRun: changesState && failure.ran === 'unknown'};
  }

  private connectionFailure(
    endpoint: string,
    operation: AdminOperation,
    cause: unknown,
  ): {failure: MedlarlaneError; mayHaveRun: boolean} {
    const code = errorCode(cause);
    const isConnectError = cause instanceof Error && this.connectErrors.has(cause);
    if (isConnectError || !ADMIN_OPERATIONS[operation].changesState) {
      const message = `${endpoint} is not reachable (${code})`;
      return {
        failure: new MedlarlaneError('ENDPOINT_UNREACHABLE', message, {cause}),
        mayHaveRun: false,
      };
    }
    const message = `${endpoint} did not respond to ${operation} (${code})`;
    return {failure: new MedlarlaneError('COMMIT_UNKNOWN', message, {cause}), mayHaveRun: true};
  }
}

/** Parses `<ip>:<port>` or a URL. */
export function parseEndpoint(endpoint: string): URL {
  const text = endpoint.includes('://') ? endpoint : `http://${endpoint}`;
  if (URL.canParse(text)) {
    const url = new URL(text);
    const isBaseUrl = url.pathname === '/' && url.search === '' && url.hostname !== '';
    if (isBaseUrl && (url.protocol === 'http:' || url.protocol === 'https:')) return url;
  }
  throw new MedlarlaneError('REQUEST_INVALID', `--endpoint: "${endpoint}" is not <ip>:<port>`, {
    details: {
      problems: [{flag: '--endpoint', expected: '<ip>:<port> or a URL', found: endpoint}],
    },
  });
}

function errorCode(cause: unknown): string {
  if (!(cause instanceof Error)) return String(cause);
  if (cause instanceof AggregateError) return errorCode(cause.errors[0]);
  return 'code' in cause && typeof cause.code === 'string' ? cause.code : cause.name;
}

function isRetryable(
  operation: AdminOperation,
  {failure, mayHaveRun}: {failure: MedlarlaneError; mayHaveRun: boolean},
): boolean {
  return TRANSIENT_CODES.has(failure.code) && (!mayHaveRun || IDEMPOTENT_OPERATIONS.has(operation));
}

function toFinalError(
  operation: AdminOperation,
  failures: readonly MedlarlaneError[],
  {
    mayHaveRun,
    endpoints,
    timeoutMs,
  }: {mayHaveRun: boolean; endpoints: readonly string[]; timeoutMs: number},
): MedlarlaneError {
  const last = failures.at(-1);
  const reasons = failures.map(({message}) => message).join('; ');
  if (mayHaveRun) {
    const message = `No answer to ${operation} from ${endpoints.join(', ')} after up to ${timeoutMs} ms`;
    return new MedlarlaneError('COMMIT_UNKNOWN', message, {cause: last, details: {endpoints}});
  }
  if (last && last.code !== 'ENDPOINT_UNREACHABLE') return last;
  return new MedlarlaneError(
    'ENDPOINT_UNREACHABLE',
    reasons || `No endpoint responded within ${timeoutMs} ms`,
    {cause: last, details: {endpoints}},
  );
}

function withNextStep(operation: AdminOperation, error: MedlarlaneError): MedlarlaneError {
  const nextStep = NEXT_STEPS[operation];
  if (error.code !== 'COMMIT_UNKNOWN' || nextStep === undefined) return error;
  const details = {...error.details, nextStep};
  return new MedlarlaneError(error.code, error.message, {cause: error, details});
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
