import {Agent, buildConnector, request} from 'undici';
import {ADMIN_OPERATIONS, adminOperationPath, parseAdminResponse} from '@medlarlane/admin-api';
import type {AdminOperation, AdminRequest, AdminResponse} from '@medlarlane/admin-api';
import {fromProblemDocument, MedlarlaneError} from '@medlarlane/errors';
import type {ErrorCode} from '@medlarlane/errors';
import {linkAbort} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';

export interface AdminClientOptions {
  /** `<ip>:<port>` or a URL; tried in order, starting with the last one that answered. */
  readonly endpoints: readonly string[];
  /** Operator token, sent with requests that change state. */
  readonly token?: string;
  /** Certificate authority of https endpoints, PEM. */
  readonly caPem?: string;
  /** Time for one operation with all its attempts. */
  readonly timeoutMs: number;
  readonly clock: Clock;
  /** Ends the attempts when it aborts. */
  readonly signal: AbortSignal;
}

type Outcome<T> =
  {readonly response: T} | {readonly failure: MedlarlaneError; readonly mayHaveRun: boolean};

// A commit takes below 1 s even with an election; an endpoint that is silent for longer is given up.
const ATTEMPT_TIMEOUT_MS = 3_000;
const CONNECT_TIMEOUT_MS = 1_000;
const FIRST_PAUSE_MS = 100;
const MAX_PAUSE_MS = 1_000;

/** Refusals that another endpoint or a later attempt may not repeat. */
const PASSING: ReadonlySet<ErrorCode> = new Set<ErrorCode>([
  'NOT_LEADER',
  'NO_LEADER',
  'COMMIT_UNKNOWN',
  'ENDPOINT_UNREACHABLE',
]);

/** Changes that the control state recognises when they arrive twice. */
const RESENDABLE: ReadonlySet<AdminOperation> = new Set<AdminOperation>([
  'applyDocument',
  'claimTeam',
  'drain',
]);

/** What to do after a lost answer to an operation that carries no change id. */
const CHECK_FIRST: Readonly<Partial<Record<AdminOperation, string>>> = {
  drain: 'Draining twice does no harm: run the command again.',
  addLearner: 'Look at medlarlane members list before another attempt.',
  promote: 'Look at medlarlane members list before another attempt.',
  removeMember: 'Look at medlarlane members list before another attempt.',
};

/** Calls operator operations at any of several admin listeners. */
export class AdminClient {
  private readonly agent: Agent;
  /** Errors of opening a connection (TCP or TLS): nothing of the request was sent. */
  private readonly connectErrors = new WeakSet<Error>();
  private preferred = 0;

  constructor(private readonly opts: AdminClientOptions) {
    const connect = buildConnector({
      timeout: CONNECT_TIMEOUT_MS,
      ...(opts.caPem ? {ca: opts.caPem} : {}),
    });
    this.agent = new Agent({
      connect: (target, callback) =>
        connect(target, (...result) => {
          if (result[0]) this.connectErrors.add(result[0]);
          callback(...result);
        }),
    });
  }

  /**
   * Calls an operation. After a lost answer the same request, with the same change id, is sent again,
   * to the next endpoint if there is one.
   * @throws MedlarlaneError of the daemon; `ENDPOINT_UNREACHABLE` when no endpoint accepts a connection;
   *     `COMMIT_UNKNOWN` when a change was sent and no answer came within the time.
   */
  async call<O extends AdminOperation>(
    operation: O,
    body: AdminRequest<O>,
  ): Promise<AdminResponse<O>> {
    const {clock, endpoints, timeoutMs, signal} = this.opts;
    const endMs = clock.nowMs() + timeoutMs;
    let mayHaveRun = false;
    let pauseMs = FIRST_PAUSE_MS;
    for (;;) {
      const failures: MedlarlaneError[] = [];
      const first = this.preferred;
      for (let offset = 0; offset < endpoints.length; offset += 1) {
        const position = (first + offset) % endpoints.length;
        // A silent endpoint must leave time for the others.
        const shareMs = (endMs - clock.nowMs()) / (endpoints.length - offset);
        const limitMs = Math.min(ATTEMPT_TIMEOUT_MS, shareMs);
        if (limitMs <= 0 || signal.aborted) break;
        const outcome = await this.attempt(endpoints[position] ?? '', operation, body, limitMs);
        if ('response' in outcome) {
          this.preferred = position;
          return outcome.response;
        }
        mayHaveRun ||= outcome.mayHaveRun;
        if (!isWorthAnotherAttempt(operation, outcome)) {
          throw withNextStep(operation, outcome.failure);
        }
        failures.push(outcome.failure);
      }
      const unreachable = failures.every(({code}) => code === 'ENDPOINT_UNREACHABLE');
      const isLate = signal.aborted || clock.nowMs() + pauseMs >= endMs;
      if (isLate || (unreachable && !mayHaveRun)) {
        const failure = finalFailure(operation, failures, {mayHaveRun, endpoints, timeoutMs});
        throw withNextStep(operation, failure);
      }
      // An interrupted pause ends the operation in the next round.
      await clock.sleep(pauseMs, {signal}).catch(() => undefined);
      pauseMs = Math.min(pauseMs * 2, MAX_PAUSE_MS);
    }
  }

  async close(): Promise<void> {
    await this.agent.close();
  }

  private async attempt<O extends AdminOperation>(
    endpoint: string,
    operation: O,
    body: AdminRequest<O>,
    limitMs: number,
  ): Promise<Outcome<AdminResponse<O>>> {
    const {changesState} = ADMIN_OPERATIONS[operation];
    const {token} = this.opts;
    let status: number;
    let text: string;
    const limit = linkAbort([this.opts.signal], {timeoutMs: limitMs});
    try {
      const answer = await request(new URL(adminOperationPath(operation), urlOf(endpoint)), {
        method: 'POST',
        dispatcher: this.agent,
        signal: limit.signal,
        headers: {
          'content-type': 'application/json',
          ...(changesState && token !== undefined ? {authorization: `Bearer ${token}`} : {}),
        },
        body: JSON.stringify(body),
      });
      status = answer.statusCode;
      text = await answer.body.text();
    } catch (cause) {
      return this.connectionFailure(endpoint, operation, cause);
    } finally {
      limit.release();
    }
    const json = parseJson(text);
    if (status === 200) return {response: parseAdminResponse(operation, json)};
    const failure =
      fromProblemDocument(json) ??
      new MedlarlaneError(
        'INTERNAL',
        `${endpoint} answered ${status} without a problem document; is it an admin listener?`,
      );
    return {failure, mayHaveRun: changesState && failure.ran === 'unknown'};
  }

  private connectionFailure(
    endpoint: string,
    operation: AdminOperation,
    cause: unknown,
  ): {failure: MedlarlaneError; mayHaveRun: boolean} {
    const code = errorCodeOf(cause);
    const isConnectError = cause instanceof Error && this.connectErrors.has(cause);
    if (isConnectError || !ADMIN_OPERATIONS[operation].changesState) {
      const message = `${endpoint} is not reachable (${code})`;
      return {
        failure: new MedlarlaneError('ENDPOINT_UNREACHABLE', message, {cause}),
        mayHaveRun: false,
      };
    }
    const message = `${endpoint} gave no answer to ${operation} (${code})`;
    return {failure: new MedlarlaneError('COMMIT_UNKNOWN', message, {cause}), mayHaveRun: true};
  }
}

/** Reads `<ip>:<port>` or a URL. */
export function urlOf(endpoint: string): URL {
  const text = endpoint.includes('://') ? endpoint : `http://${endpoint}`;
  if (URL.canParse(text)) {
    const url = new URL(text);
    const isPlain = url.pathname === '/' && url.search === '' && url.hostname !== '';
    if (isPlain && (url.protocol === 'http:' || url.protocol === 'https:')) return url;
  }
  throw new MedlarlaneError('REQUEST_INVALID', `--endpoint: "${endpoint}" is not <ip>:<port>`, {
    details: {
      problems: [{flag: '--endpoint', expected: '<ip>:<port> or a URL', found: endpoint}],
    },
  });
}

function errorCodeOf(cause: unknown): string {
  if (!(cause instanceof Error)) return String(cause);
  if (cause instanceof AggregateError) return errorCodeOf(cause.errors[0]);
  return 'code' in cause && typeof cause.code === 'string' ? cause.code : cause.name;
}

function isWorthAnotherAttempt(
  operation: AdminOperation,
  {failure, mayHaveRun}: {failure: MedlarlaneError; mayHaveRun: boolean},
): boolean {
  return PASSING.has(failure.code) && (!mayHaveRun || RESENDABLE.has(operation));
}

function finalFailure(
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
    reasons || `No endpoint answered within ${timeoutMs} ms`,
    {cause: last, details: {endpoints}},
  );
}

function withNextStep(operation: AdminOperation, error: MedlarlaneError): MedlarlaneError {
  const nextStep = CHECK_FIRST[operation];
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
