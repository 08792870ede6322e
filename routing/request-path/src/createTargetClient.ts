import http from 'node:http';
import type {Socket} from 'node:net';
import {readMessageBody} from '@medlarlane/rpc';
import {endToEndHeaders} from './endToEndHeaders.js';
import type {Offer, RequestFrame, RunResult, TargetHeaderCodec} from './messages.js';

export interface TargetClientOptions {
  readonly host: string;
  readonly port: number;
  readonly headerCodec: TargetHeaderCodec;
  /** Connections to the target at once. */
  readonly maxConnections: number;
  /** A connection was refused, so that probably nothing listens any more. */
  readonly onConnectionRefused?: () => void;
}

export interface TargetClient {
  /** Sends one request to the target and returns what became of it. */
  run(opts: {
    offer: Offer;
    targetId: string;
    frame: RequestFrame;
    deadlineLeftMs: number;
    signal: AbortSignal;
  }): Promise<RunResult>;
  /** Tells by a connection attempt whether any process listens at the target's address. */
  probeListener(timeoutMs: number): Promise<'yes' | 'no' | 'unknown'>;
  close(): void;
}

/**
 * A connection that was idle for longer is not used again: targets may drop idle connections, and a
 * request that is sent into the reset may or may not have run.
 */
const MAX_IDLE_MS = 800;
/** Larger answers are cut; a target that sends more is faulty. */
const MAX_ANSWER_BYTES = 32 * 1024 * 1024;
/** All answers that are being read; a process may use 250 MB on the smallest instances. */
const MAX_UNREAD_BYTES = 64 * 1024 * 1024;
/** Interim answers (1xx) to one request; a target that sends more is faulty. */
const MAX_INTERIM_ANSWERS = 16;
const OK_STATUS = 200;
const FIRST_FAILURE_STATUS = 300;
/** The target stops by itself at the deadline that it was told; its answer then is still worth passing on. */
const DEADLINE_GRACE_MS = 50;

/** Creates the client of the one target beside this daemon. */
export function createTargetClient(opts: TargetClientOptions): TargetClient {
  const agent = new WatchfulAgent({
    keepAlive: true,
    scheduling: 'lifo',
    timeout: MAX_IDLE_MS,
    maxSockets: opts.maxConnections,
  });
  const answers = new AnswerBytes();
  return {
    run: (run) => exchange(agent, answers, opts, run),
    probeListener: (timeoutMs) => tryConnect(agent, opts, timeoutMs),
    close: () => agent.destroy(),
  };
}

/** Drops an idle connection on which bytes arrive: they belong to no request. */
class WatchfulAgent extends http.Agent {
  constructor(opts: http.AgentOptions) {
    super(opts);
    this.on('free', (socket: Socket) => {
      socket.on('data', destroySocket);
    });
  }

  // Called by Node.js when it takes a connection from the pool.
  override reuseSocket(socket: Socket, request: http.ClientRequest): void {
    socket.off('data', destroySocket);
    super.reuseSocket(socket, request);
  }
}

/** Bounds the memory of answers that are being read, also where targets send bytes without end. */
class AnswerBytes {
  private unreadBytes = 0;

  /** Counts the body of an answer until it ends. `onExcess` is called when there is no room for it. */
  watch(response: http.IncomingMessage, onExcess: () => void): void {
    let readBytes = 0;
    response.on('data', (chunk: Buffer) => {
      readBytes += chunk.length;
      this.unreadBytes += chunk.length;
      if (this.unreadBytes > MAX_UNREAD_BYTES) onExcess();
    });
    response.once('close', () => (this.unreadBytes -= readBytes));
  }
}

function destroySocket(this: Socket): void {
  this.destroy();
}

function exchange(
  agent: http.Agent,
  answers: AnswerBytes,
  {host, port, headerCodec: wire, onConnectionRefused: onRefused}: TargetClientOptions,
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
        ...wire.requestHeaders({
          requestId: offer.requestId,
          deadlineLeftMs,
          targetId,
          callerService: offer.callerService,
        }),
        ...bodyLength(frame),
      ] as unknown as http.OutgoingHttpHeaders,
    });
    let connected = false;
    let connection: Socket | undefined;
    request.on('socket', (socket) => {
      connection = socket;
      if (!socket.connecting) connected = true;
      else socket.once('connect', () => (connected = true));
    });
    const settle = (result: RunResult): void => {
      clearTimeout(timer);
      signal.removeEventListener('abort', onAbort);
      resolve(result);
    };
    const giveUp = (result: RunResult): void => {
      settle(result);
      request.destroy();
    };
    const onAbort = (): void => giveUp({kind: 'lost', code: 'CANCELLED'});
    const timer = setTimeout(
      () => giveUp({kind: 'lost', code: 'TARGET_TIMEOUT'}),
      deadlineLeftMs + DEADLINE_GRACE_MS,
    );
    signal.addEventListener('abort', onAbort, {once: true});
    request.on('error', (failure: NodeJS.ErrnoException) => {
      if (failure.code === 'ECONNREFUSED') onRefused?.();
      settle(
        connected ? {kind: 'lost', code: 'TARGET_FAILED'} : {kind: 'refused', code: 'NO_TARGET'},
      );
    });
    const fail = (): void => giveUp({kind: 'lost', code: 'TARGET_FAILED'});
    let interimAnswers = 0;
    request.on('information', () => {
      interimAnswers += 1;
      if (interimAnswers > MAX_INTERIM_ANSWERS) fail();
    });
    request.on('response', (response) => {
      answers.watch(response, fail);
      const whole = isFramed(response.headers)
        ? readMessageBody(response, MAX_ANSWER_BYTES)
        : readUntilClose(response);
      whole.then((body) => {
        const result = judge(wire, offer, response, body);
        settle(result);
        // The connection may be back in the pool; what follows on it cannot be trusted.
        if (result.kind === 'lost') connection?.destroy();
      }, fail);
    });
    if (signal.aborted) onAbort();
    else request.end(frame.body);
  });
}

function bodyLength({method, body}: RequestFrame): string[] {
  const mayOmit = body.length === 0 && (method === 'GET' || method === 'HEAD');
  return mayOmit ? [] : ['Content-Length', String(body.length)];
}

function isFramed(headers: http.IncomingHttpHeaders): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/**
 * Reads an answer that ends with its connection. libuv reports a reset that follows data closely as
 * an orderly end, so the connection is written to: only a reset one fails at once. The bytes are an
 * empty line, which HTTP allows before a request.
 */
async function readUntilClose(response: http.IncomingMessage): Promise<Buffer> {
  const {socket} = response;
  let failure: Error | undefined;
  socket.prependListener('error', (error) => (failure = error));
  socket.prependListener('end', () => {
    socket.write('\r\n', (error) => (failure ??= error ?? undefined));
  });
  const body = await readMessageBody(response, MAX_ANSWER_BYTES);
  await new Promise((resolve) => setImmediate(resolve));
  if (failure) throw failure;
  return body;
}

function judge(
  wire: TargetHeaderCodec,
  offer: Offer,
  response: http.IncomingMessage,
  body: Buffer,
): RunResult {
  const {requestId, notExecuted: notRun, sealed} = wire.readResponse(response.headers);
  const status = response.statusCode ?? 0;
  // Targets turn a request without an id away before they know it.
  if (notRun && (requestId === offer.requestId || requestId === undefined)) {
    return {kind: 'rejected', code: status === 421 ? 'NOT_OWNER' : 'OVERLOADED'};
  }
  const succeeded = status >= OK_STATUS && status < FIRST_FAILURE_STATUS;
  if (requestId !== offer.requestId || status < OK_STATUS || (succeeded && !sealed)) {
    return {kind: 'lost', code: 'TARGET_FAILED'};
  }
  return {
    kind: 'answered',
    answer: {status, headers: endToEndHeaders(response.rawHeaders), body},
  };
}

function tryConnect(
  agent: http.Agent,
  {host, port}: TargetClientOptions,
  timeoutMs: number,
): Promise<'yes' | 'no' | 'unknown'> {
  return new Promise((resolve) => {
    const socket = (
      agent as unknown as {createConnection(opts: {host: string; port: number}): Socket}
    ).createConnection({host, port});
    const settle = (found: 'yes' | 'no' | 'unknown'): void => {
      clearTimeout(timer);
      resolve(found);
      socket.destroy();
    };
    const timer = setTimeout(() => settle('unknown'), timeoutMs);
    socket.once('connect', () => settle('yes'));
    socket.once('error', (failure: NodeJS.ErrnoException) => {
      // A target with too many connections turns new ones away, but the old ones stay open.
      const refused = failure.code === 'ECONNREFUSED' && openConnections(agent) === 0;
      settle(refused ? 'no' : 'unknown');
    });
  });
}

function openConnections({sockets, freeSockets}: http.Agent): number {
  return [...Object.values(sockets), ...Object.values(freeSockets)].reduce(
    (count, list) => count + (list?.filter((socket) => !socket.connecting).length ?? 0),
    0,
  );
}
