import http from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {readResponseBody} from '@medlarlane/rpc';
import type {FencedKeyRange, GrantApi, KeyGrantRequest, GrantOutcome} from './calledGrants.js';

/** A grant or release request, encoded for the target's HTTP interface. */
export interface GrantHttpRequest {
  readonly path: string;
  readonly body: string;
}

/** Encodes grants and releases for the target's HTTP interface. */
export interface GrantCodec {
  grant(request: KeyGrantRequest): GrantHttpRequest;
  release(request: FencedKeyRange): GrantHttpRequest;
  /** Returns the proof of a release, or an empty string. */
  decodeHandover(headers: http.IncomingHttpHeaders): string;
}

export interface GrantClientOptions {
  readonly host: string;
  readonly port: number;
  readonly codec: GrantCodec;
  /** When the last heartbeat of the current incarnation arrived, on the monotonic clock. */
  readonly lastHeartbeatAtMs: () => number;
}

export interface GrantClient extends GrantApi {
  close(): void;
}

interface GrantHttpResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
}

/** Sufficient to renew about 30 ranges every 1.5 s. */
const MAX_GRANT_CONNECTIONS = 4;
/** A release waits for running requests, so several releases may be in flight. */
const MAX_RELEASE_CONNECTIONS = 16;
const METHOD = 'POST';
/** The body of a response to a grant is not used. */
const MAX_RESPONSE_BYTES = 65_536;
const OK_STATUS = 200;
const FENCED_STATUS = 409;
const UNSENT = Symbol('unsent');
const UNANSWERED = Symbol('unanswered');

/**
 * Creates the client that sends grants to the local target. The requests do not identify the target's
 * incarnation, so every connection must lead to the current one: after the target closed a connection,
 * or none is left open, a new connection is opened only after another heartbeat.
 */
export function createGrantClient(opts: GrantClientOptions): GrantClient {
  const connections = new ConnectionTracker();
  const mayConnect = (): boolean => opts.lastHeartbeatAtMs() >= connections.lastBrokenAtMs;
  const grants = new GuardedAgent(MAX_GRANT_CONNECTIONS, connections, mayConnect);
  const releases = new GuardedAgent(MAX_RELEASE_CONNECTIONS, connections, mayConnect);
  return {
    grant: async (request, {timeoutMs}) => {
      const response = await sendPost(grants, opts, opts.codec.grant(request), timeoutMs);
      return response === UNSENT
        ? 'unsent'
        : response === UNANSWERED
          ? 'unanswered'
          : toGrantOutcome(response);
    },
    release: async (request, {timeoutMs}) => {
      const response = await sendPost(releases, opts, opts.codec.release(request), timeoutMs);
      if (response === UNSENT || response === UNANSWERED || response.status !== OK_STATUS)
        return undefined;
      return {handover: opts.codec.decodeHandover(response.headers)};
    },
    close: () => {
      grants.destroy();
      releases.destroy();
    },
  };
}

function toGrantOutcome({status}: GrantHttpResponse): GrantOutcome {
  if (status === OK_STATUS) return 'granted';
  // Any other status leaves it uncertain whether the target holds the keys.
  return status === FENCED_STATUS ? 'fenced' : 'unanswered';
}

/** Records since when it is uncertain which incarnation listens at the address. */
class ConnectionTracker {
  lastBrokenAtMs = -Infinity;
  private openCount = 0;

  track(socket: Socket): void {
    let wasOpened = false;
    let closedByTarget = false;
    socket.once('connect', () => {
      wasOpened = true;
      this.openCount += 1;
    });
    socket.once('end', () => (closedByTarget = true));
    socket.once('error', () => (closedByTarget = true));
    socket.once('close', () => {
      if (wasOpened) this.openCount -= 1;
      if (closedByTarget || this.openCount === 0) this.lastBrokenAtMs = performance.now();
    });
  }
}

class GuardedAgent extends http.Agent {
  constructor(
    maxSockets: number,
    private readonly connections: ConnectionTracker,
    private readonly mayConnect: () => boolean,
  ) {
    super({keepAlive: true, maxSockets, scheduling: 'lifo'});
  }

  override createConnection(
    opts: http.ClientRequestArgs,
    callback?: (failure: Error | null, stream: Duplex) => void,
  ): Duplex | null | undefined {
    if (!this.mayConnect()) {
      const failure = new Error('No heartbeat since the connection to the target was closed');
      process.nextTick(() => callback?.(failure, undefined as unknown as Duplex));
      return undefined;
    }
    const socket = super.createConnection(opts, callback) as Socket;
    this.connections.track(socket);
    return socket;
  }
}

function sendPost(
  agent: http.Agent,
  {host, port}: GrantClientOptions,
  {path, body}: GrantHttpRequest,
  timeoutMs: number,
): Promise<GrantHttpResponse | typeof UNSENT | typeof UNANSWERED> {
  return new Promise((resolve) => {
    let connected = false;
    const request = http.request({
      agent,
      host,
      port,
      method: METHOD,
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
      readResponseBody(response, {method: METHOD, maxBytes: MAX_RESPONSE_BYTES}).then(() => {
        clearTimeout(timer);
        resolve({status: response.statusCode ?? 0, headers: response.headers});
      }, fail);
    });
    request.end(body);
  });
}
