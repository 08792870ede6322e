import http from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {FencedKeyRange, GrantApi, KeyGrantRequest, GrantOutcome} from './pushedGrants.js';

/** One call as the target's interface spells it. */
export interface GrantHttpRequest {
  readonly path: string;
  readonly body: string;
}

/** How grants and releases look at the target's address. */
export interface GrantCodec {
  grant(order: KeyGrantRequest): GrantHttpRequest;
  release(order: FencedKeyRange): GrantHttpRequest;
  /** The proof of a release, or an empty text. */
  decodeHandover(headers: http.IncomingHttpHeaders): string;
}

export interface GrantClientOptions {
  readonly host: string;
  readonly port: number;
  readonly codec: GrantCodec;
  /** When the current life of the target was last heard, on the monotonic clock. */
  readonly lastHeartbeatAtMs: () => number;
}

export interface GrantClient extends GrantApi {
  close(): void;
}

interface Reply {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
}

/** Renewals of some thirty ranges every second and a half need no more at once. */
const MAX_GRANT_CONNECTIONS = 4;
/** A release waits for running work, so that several may be open. */
const MAX_RELEASE_CONNECTIONS = 16;
const OK_STATUS = 200;
const FENCED_STATUS = 409;
const UNSENT = Symbol('unsent');
const UNANSWERED = Symbol('unanswered');

/**
 * Creates the client for grants at the target beside this daemon. The calls name no life, so that a
 * connection may only lead to the life that is meant: after all connections were closed, or one was
 * closed by the target, a new one is opened only when the life has been heard again.
 */
export function createGrantClient(opts: GrantClientOptions): GrantClient {
  const witness = new ConnectionWitness();
  const mayConnect = (): boolean => opts.lastHeartbeatAtMs() >= witness.brokenAtMs;
  const grants = new GuardedAgent(MAX_GRANT_CONNECTIONS, witness, mayConnect);
  const releases = new GuardedAgent(MAX_RELEASE_CONNECTIONS, witness, mayConnect);
  return {
    grant: async (order, {timeoutMs}) => {
      const reply = await post(grants, opts, opts.codec.grant(order), timeoutMs);
      return reply === UNSENT ? 'unsent' : reply === UNANSWERED ? 'unanswered' : outcomeOf(reply);
    },
    release: async (order, {timeoutMs}) => {
      const reply = await post(releases, opts, opts.codec.release(order), timeoutMs);
      if (reply === UNSENT || reply === UNANSWERED || reply.status !== OK_STATUS) return undefined;
      return {handover: opts.codec.decodeHandover(reply.headers)};
    },
    close: () => {
      grants.destroy();
      releases.destroy();
    },
  };
}

function outcomeOf({status}: Reply): GrantOutcome {
  if (status === OK_STATUS) return 'granted';
  // Any other answer leaves open whether the target holds the keys.
  return status === FENCED_STATUS ? 'fenced' : 'unanswered';
}

/** Knows since when it is uncertain which life listens at the address. */
class ConnectionWitness {
  brokenAtMs = -Infinity;
  private openCount = 0;

  watch(socket: Socket): void {
    let open = false;
    let endedByTarget = false;
    socket.once('connect', () => {
      open = true;
      this.openCount += 1;
    });
    socket.once('end', () => (endedByTarget = true));
    socket.once('error', () => (endedByTarget = true));
    socket.once('close', () => {
      if (open) this.openCount -= 1;
      if (endedByTarget || this.openCount === 0) this.brokenAtMs = performance.now();
    });
  }
}

class GuardedAgent extends http.Agent {
  constructor(
    maxSockets: number,
    private readonly witness: ConnectionWitness,
    private readonly mayConnect: () => boolean,
  ) {
    super({keepAlive: true, maxSockets, scheduling: 'lifo'});
  }

  override createConnection(
    opts: http.ClientRequestArgs,
    callback?: (failure: Error | null, stream: Duplex) => void,
  ): Duplex | null | undefined {
    if (!this.mayConnect()) {
      const failure = new Error('It is not known which life of the target listens');
      process.nextTick(() => callback?.(failure, undefined as unknown as Duplex));
      return undefined;
    }
    const socket = super.createConnection(opts, callback) as Socket;
    this.witness.watch(socket);
    return socket;
  }
}

function post(
  agent: http.Agent,
  {host, port}: GrantClientOptions,
  {path, body}: GrantHttpRequest,
  timeoutMs: number,
): Promise<Reply | typeof UNSENT | typeof UNANSWERED> {
  return new Promise((resolve) => {
    let connected = false;
    const request = http.request({
      agent,
      host,
      port,
      method: 'POST',
      path,
      headers: {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body)},
    });
    const fail = (): void => {
      clearTimeout(timer);
      request.destroy();
      resolve(connected ? UNANSWERED : UNSENT);
    };
    const timer = setTimeout(fail, timeoutMs);
    request.on('socket', (socket) => {
      if (!socket.connecting) connected = true;
      else socket.once('connect', () => (connected = true));
    });
    request.on('error', fail);
    request.on('response', (response) => {
      response.on('error', fail);
      response.resume();
      response.on('end', () => {
        clearTimeout(timer);
        resolve({status: response.statusCode ?? 0, headers: response.headers});
      });
    });
    request.end(body);
  });
}
