import http from 'node:http';
import type {Socket} from 'node:net';
import type {TargetNotice} from '@medlarlane/key-holds';
import {CHUNK_WINDOW_BYTES} from '@medlarlane/peer-rpc';
import {isFinalStatus, readResponseBody} from '@medlarlane/rpc';
import {endToEndHeaders} from './endToEndHeaders.js';
import type {
  Offer,
  RequestFrame,
  RunResult,
  TargetHeaderCodec,
  TargetHealth,
  TargetResponseFields,
} from './messages.js';
import {MemoryBudget} from './memoryBudget.js';
import type {MemoryHold} from './memoryBudget.js';
import {MIN_STREAMED_BYTES, ResponseStream} from './responseStream.js';
import type {StreamFailure} from './responseStream.js';

export interface TargetClientOptions {
  readonly host: string;
  readonly port: number;
  readonly headerCodec: TargetHeaderCodec;
  /** Maximum number of connections to the target. */
  readonly maxConnections: number;
  /** Counts the responses being read; by default, the client has a budget of its own. */
  readonly memoryBudget?: MemoryBudget;
  /** Called when a connection was refused, which usually means that the target no longer listens. */
  readonly onConnectionRefused?: () => void;
  /** Called with what the incarnation states about itself, for each response to a request. */
  readonly onNotice?: (incarnation: string, notice: TargetNotice) => void;
}

export interface TargetClient {
  /** Sends a request to the target and returns its result. */
  run(opts: {
    offer: Offer;
    targetId: string;
    frame: RequestFrame;
    deadlineLeftMs: number;
    signal: AbortSignal;
  }): Promise<RunResult>;
  /** Requests the health path. Resolves with `undefined` without a response within the timeout. */
  checkHealth(path: string, timeoutMs: number): Promise<TargetHealth | undefined>;
  /** Determines by a connection attempt whether a process listens on the target's address. */
  probeListener(timeoutMs: number): Promise<'yes' | 'no' | 'unknown'>;
  close(): void;
}

/**
 * A connection that was idle for longer is not reused: targets may close idle connections, and it is
 * unknown whether a request sent on a connection that is being reset was run.
 */
const MAX_IDLE_MS = 800;
/** Maximum size of a response; a target that sends more is faulty. */
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;
/** The body of a response to a health check is not used. */
const MAX_HEALTH_RESPONSE_BYTES = 65_536;
/** Responses with more headers are not streamed, because the head must fit into one fragment. */
const MAX_STREAMED_HEADER_CHARS = 4_096;
/**
 * Bytes read from the target ahead of the caller. The target's slot is free once its last byte was read, so
 * that most large responses do not occupy it for as long as their callers need.
 */
const READ_AHEAD_BYTES = 4 * CHUNK_WINDOW_BYTES;
/** Failure responses are not streamed, because the request may be repeated. */
const FIRST_RETRYABLE_STATUS = 500;
/** Maximum number of interim responses (1xx) to a request; a target that sends more is faulty. */
const MAX_INTERIM_RESPONSES = 16;
const NO_BODY = Buffer.alloc(0);
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
const OK_STATUS = 200;
/** Status of a response whose sender is not the addressed instance or does not own the key. */
const MISDIRECTED_STATUS = 421;
const FIRST_FAILURE_STATUS = 300;
/**
 * Grace period after the deadline. The target stops at its deadline by itself, and the response that it
 * then sends is still forwarded.
 */
const DEADLINE_GRACE_MS = 50;

/** Creates the client for the local target of this daemon. */
export function createTargetClient(opts: TargetClientOptions): TargetClient {
  const agent = new SafeReuseAgent({
    keepAlive: true,
    scheduling: 'lifo',
    timeout: MAX_IDLE_MS,
    maxSockets: opts.maxConnections,
  });
  const memoryBudget = opts.memoryBudget ?? new MemoryBudget();
  return {
    run: (run) => sendRequest(agent, memoryBudget, opts, run),
    checkHealth: (path, timeoutMs) => requestHealth(agent, opts, path, timeoutMs),
    probeListener: (timeoutMs) => probeConnection(agent, opts, timeoutMs),
    close: () => agent.destroy(),
  };
}

/** Closes idle connections that receive data, because the data belongs to no request. */
class SafeReuseAgent extends http.Agent {
  constructor(opts: http.AgentOptions) {
    super(opts);
    this.on('free', (socket: Socket) => {
      socket.on('data', destroySocket);
    });
  }

  // Called by Node.js when it reuses a pooled connection.
  override reuseSocket(socket: Socket, request: http.ClientRequest): void {
    socket.off('data', destroySocket);
    super.reuseSocket(socket, request);
  }
}

/**
 * Counts the bytes of a response that is read into memory, and calls `onExcess` when the budget is
 * exceeded, even if a target sends endless data.
 */
function countBufferedBytes(
  response: http.IncomingMessage,
  budget: MemoryBudget,
  onExcess: () => void,
): void {
  let hold: MemoryHold | undefined;
  response.on('data', (chunk: Buffer) => {
    hold ??= budget.open({isReader: false, onCut: onExcess});
    hold.add(chunk.length);
  });
  response.once('close', () => hold?.close());
}

function destroySocket(this: Socket): void {
  this.destroy();
}

function sendRequest(
  agent: http.Agent,
  memoryBudget: MemoryBudget,
  {host, port, headerCodec, onConnectionRefused, onNotice}: TargetClientOptions,
  run: Parameters<TargetClient['run']>[0],
): Promise<RunResult> {
  const {offer, targetId, frame, deadlineLeftMs, signal} = run;
  return new Promise((resolve) => {
    const request = http.request({
      agent,
      host,
      port,
      method: frame.method,
      path: frame.path,
      setHost: false,
      headers: [
        ...frame.headers,
        ...headerCodec.requestHeaders({
          requestId: offer.requestId,
          deadlineLeftMs,
          targetId,
          callerService: offer.callerService,
        }),
        ...contentLengthHeader(frame),
      ] as unknown as http.OutgoingHttpHeaders,
    });
    let isConnected = false;
    let connection: Socket | undefined;
    request.on('socket', (socket) => {
      connection = socket;
      if (!socket.connecting) isConnected = true;
      else socket.once('connect', () => (isConnected = true));
    });
    let stream: ResponseStream | undefined;
    const stopWatching = (): void => {
      clearTimeout(timer);
      signal.removeEventListener('abort', onAbort);
    };
    const settle = (result: RunResult, failure?: StreamFailure): void => {
      stopWatching();
      stream?.finish('broken', failure);
      resolve(result);
    };
    const settleAndDestroy = (result: RunResult, failure?: StreamFailure): void => {
      settle(result, failure);
      request.destroy();
    };
    const onAbort = (): void =>
      settleAndDestroy({kind: 'lost', code: 'CANCELLED'}, 'request-aborted');
    const timer = setTimeout(
      () => settleAndDestroy({kind: 'lost', code: 'TARGET_TIMEOUT'}, 'request-aborted'),
      deadlineLeftMs + DEADLINE_GRACE_MS,
    );
    signal.addEventListener('abort', onAbort, {once: true});
    request.on('error', (failure: NodeJS.ErrnoException) => {
      if (failure.code === 'ECONNREFUSED') onConnectionRefused?.();
      settle(
        isConnected ? {kind: 'lost', code: 'TARGET_FAILED'} : {kind: 'refused', code: 'NO_TARGET'},
      );
    });
    const fail = (): void => settleAndDestroy({kind: 'lost', code: 'TARGET_FAILED'});
    // Node.js closes the connection of a response that switches protocols without an error.
    request.on('upgrade', (_response, socket) => {
      socket.destroy();
      fail();
    });
    let interimResponses = 0;
    request.on('information', () => {
      interimResponses += 1;
      if (interimResponses > MAX_INTERIM_RESPONSES) fail();
    });
    request.on('response', (response) => {
      if (!isFinalStatus(response.statusCode ?? 0)) return fail();
      const fields = headerCodec.readResponse(response.headers);
      const isFromTarget =
        fields.requestId === offer.requestId && response.statusCode !== MISDIRECTED_STATUS;
      if (isFromTarget) onNotice?.(offer.life, fields.notice);
      const lengthBytes = streamedLength(frame, response);
      const classify = (): RunResult =>
        classifyResponse(fields, offer, response, {isReused: request.reusedSocket});
      const head = lengthBytes === undefined ? undefined : classify();
      if (lengthBytes !== undefined && head?.kind === 'answered') {
        stream = openStream(response, lengthBytes, memoryBudget, () => request.destroy());
        stream.onSourceEnd(stopWatching);
        resolve({...head, answer: {...head.answer, body: stream}});
        return;
      }
      countBufferedBytes(response, memoryBudget, fail);
      const {method} = frame;
      readResponseBody(response, {method, maxBytes: MAX_RESPONSE_BYTES}).then((body) => {
        const result = withBody(classify(), body);
        settle(result);
        // The connection may already be back in the pool. Further data on it cannot be trusted: after a rejection
        // that is sent once more, the next request would count as not run.
        if (result.kind !== 'answered') connection?.destroy();
      }, fail);
    });
    if (signal.aborted) onAbort();
    else request.end(frame.body);
  });
}

function requestHealth(
  agent: http.Agent,
  {host, port, headerCodec}: TargetClientOptions,
  path: string,
  timeoutMs: number,
): Promise<TargetHealth | undefined> {
  return new Promise((resolve) => {
    const request = http.get({agent, host, port, path});
    const settle = (health: TargetHealth | undefined): void => {
      clearTimeout(timer);
      resolve(health);
      if (!health) request.destroy();
    };
    const timer = setTimeout(() => settle(undefined), timeoutMs);
    request.on('response', (response) => {
      const {targetId, coldLeftMs} = headerCodec.readResponse(response.headers);
      const isHealthy = response.statusCode === OK_STATUS;
      readResponseBody(response, {method: 'GET', maxBytes: MAX_HEALTH_RESPONSE_BYTES}).then(
        () => settle({isHealthy, targetId, coldLeftMs}),
        () => settle(undefined),
      );
    });
    request.on('error', () => settle(undefined));
  });
}

function contentLengthHeader({method, body}: RequestFrame): string[] {
  const canOmit = body.length === 0 && (method === 'GET' || method === 'HEAD');
  return canOmit ? [] : ['Content-Length', String(body.length)];
}

function classifyResponse(
  {requestId, notExecuted, sealed}: TargetResponseFields,
  offer: Offer,
  response: http.IncomingMessage,
  {isReused}: {isReused: boolean},
): RunResult {
  const status = response.statusCode ?? 0;
  // A target that rejects a request early does not know its ID yet. On a connection that has carried another
  // request, only the ID tells to which one the rejection belongs.
  const isOwn = requestId === undefined ? !isReused : requestId === offer.requestId;
  if (notExecuted && isOwn) {
    return {kind: 'rejected', code: status === MISDIRECTED_STATUS ? 'NOT_OWNER' : 'OVERLOADED'};
  }
  const succeeded = status >= OK_STATUS && status < FIRST_FAILURE_STATUS;
  if (requestId !== offer.requestId || (succeeded && !sealed)) {
    return {kind: 'lost', code: 'TARGET_FAILED'};
  }
  return {
    kind: 'answered',
    answer: {status, headers: endToEndHeaders(response.rawHeaders), body: NO_BODY},
  };
}

function withBody(result: RunResult, body: Uint8Array): RunResult {
  return result.kind === 'answered' ? {...result, answer: {...result.answer, body}} : result;
}

/** Returns the length of a response that can be streamed. */
function streamedLength(
  {method}: RequestFrame,
  {statusCode = 0, headers, rawHeaders}: http.IncomingMessage,
): number | undefined {
  const lengthBytes = Number(headers['content-length']);
  const isBodiless = method === 'HEAD' || BODILESS_STATUSES.has(statusCode);
  if (!(lengthBytes > MIN_STREAMED_BYTES) || isBodiless) return undefined;
  // The end of a chunked response must be known first.
  if (headers['transfer-encoding'] !== undefined) return undefined;
  const headerChars = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  const canStream = statusCode < FIRST_RETRYABLE_STATUS && headerChars <= MAX_STREAMED_HEADER_CHARS;
  return canStream ? lengthBytes : undefined;
}

/** Passes a response on as it is received, and pauses its connection while enough was read ahead. */
function openStream(
  response: http.IncomingMessage,
  lengthBytes: number,
  budget: MemoryBudget,
  onCancel: () => void,
): ResponseStream {
  const isFull = (): boolean =>
    stream.untakenBytes >= (budget.isTight ? CHUNK_WINDOW_BYTES : READ_AHEAD_BYTES);
  const stream = new ResponseStream({
    lengthBytes,
    budget,
    onCancel,
    onTaken: () => {
      if (response.isPaused() && !isFull()) response.resume();
    },
  });
  response.on('data', (chunk: Buffer) => {
    stream.push(chunk);
    if (isFull()) response.pause();
  });
  response.on('end', () => stream.finish(response.complete ? 'complete' : 'broken'));
  response.on('error', () => stream.finish('broken'));
  response.on('close', () => stream.finish('broken'));
  return stream;
}

function probeConnection(
  agent: http.Agent,
  {host, port}: TargetClientOptions,
  timeoutMs: number,
): Promise<'yes' | 'no' | 'unknown'> {
  return new Promise((resolve) => {
    const socket = (
      agent as unknown as {createConnection(opts: {host: string; port: number}): Socket}
    ).createConnection({host, port});
    const settle = (outcome: 'yes' | 'no' | 'unknown'): void => {
      clearTimeout(timer);
      resolve(outcome);
      socket.destroy();
    };
    const timer = setTimeout(() => settle('unknown'), timeoutMs);
    socket.once('connect', () => settle('yes'));
    socket.once('error', (failure: NodeJS.ErrnoException) => {
      // A target with too many connections refuses new ones while existing ones stay open.
      const isRefused = failure.code === 'ECONNREFUSED' && countOpenConnections(agent) === 0;
      settle(isRefused ? 'no' : 'unknown');
    });
  });
}

function countOpenConnections({sockets, freeSockets}: http.Agent): number {
  return [...Object.values(sockets), ...Object.values(freeSockets)].reduce(
    (count, list) => count + (list?.filter((socket) => !socket.connecting).length ?? 0),
    0,
  );
}
