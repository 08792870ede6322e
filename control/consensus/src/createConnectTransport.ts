import type {SecureClientSessionOptions} from 'node:http2';
import {createClient} from '@connectrpc/connect';
import type {Client} from '@connectrpc/connect';
import {
  createConnectTransport as createRpcTransport,
  Http2SessionManager,
} from '@connectrpc/connect-node';
import {ConsensusService} from '@medlarlane/control-rpc';
import {systemClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import type {ConsensusRequest, ConsensusResponse, ConsensusTransport} from './consensusMessages.js';
import {
  fromRpcAppendResponse,
  fromRpcInstallSnapshotResponse,
  fromRpcVoteResponse,
  toRpcAppend,
  toRpcInstallSnapshot,
  toRpcVote,
} from './rpcCodec.js';

export interface ConnectTransportOptions {
  /**
   * Returns the key, certificate and certificate authorities for mutual TLS; called for each new
   * session. Without it the connection is not encrypted.
   */
  readonly tls?: () => SecureClientSessionOptions;
  /** Source address of the connections, for an instance that has several addresses. */
  readonly localAddress?: string;
  readonly clock?: Clock;
  /** Timeout of every call, in addition to the caller's signal. */
  readonly callTimeoutMs?: number;
}

export interface ConnectTransport extends ConsensusTransport {
  /** Closes all sessions; calls in flight fail. */
  close(): void;
}

interface Session {
  readonly client: Client<typeof ConsensusService>;
  readonly manager: Http2SessionManager;
  /** Time since which every call has failed, or the time of the last reconnect if that is later. */
  failingSinceMs: number | undefined;
}

const DEFAULT_CALL_TIMEOUT_MS = 30_000;
// TCP retransmits with an exponential backoff of up to minutes. A new connection detects at once
// that the link works again.
const RECONNECT_AFTER_FAILING_MS = 1_000;

/** Calls other replicas over HTTP/2, with one session per peer. */
export function createConnectTransport(opts: ConnectTransportOptions = {}): ConnectTransport {
  const sessions = new Map<string, Session>();
  const clock = opts.clock ?? systemClock;
  return {
    call: async (_peerId, address, request, signal) => {
      const session = sessions.get(address) ?? openSession(address, opts);
      sessions.set(address, session);
      try {
        const response = await callPeer(session.client, request, signal);
        session.failingSinceMs = undefined;
        return response;
      } catch (failure) {
        reconnectIfFailing(session, clock);
        throw failure;
      }
    },
    close: () => {
      for (const {manager} of sessions.values()) manager.abort();
      sessions.clear();
    },
  };
}

function openSession(address: string, opts: ConnectTransportOptions): Session {
  const baseUrl = `${opts.tls ? 'https' : 'http'}://${address}`;
  const {tls, localAddress} = opts;
  const manager = new Http2SessionManager(
    baseUrl,
    {},
    {
      ...tls?.(),
      ...(localAddress === undefined ? {} : {localAddress}),
    },
  );
  const transport = createRpcTransport({
    baseUrl,
    httpVersion: '2',
    sessionManager: manager,
    acceptCompression: [],
    defaultTimeoutMs: opts.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS,
  });
  return {client: createClient(ConsensusService, transport), manager, failingSinceMs: undefined};
}

async function callPeer(
  client: Client<typeof ConsensusService>,
  request: ConsensusRequest,
  signal: AbortSignal,
): Promise<ConsensusResponse> {
  switch (request.kind) {
    case 'vote':
      return fromRpcVoteResponse(await client.vote(toRpcVote(request), {signal}));
    case 'append':
      return fromRpcAppendResponse(await client.append(toRpcAppend(request), {signal}));
    case 'installSnapshot': {
      const response = await client.installSnapshot(toRpcInstallSnapshot(request), {signal});
      return fromRpcInstallSnapshotResponse(response);
    }
  }
}

function reconnectIfFailing(session: Session, clock: Clock): void {
  const nowMs = clock.nowMs();
  session.failingSinceMs ??= nowMs;
  if (nowMs - session.failingSinceMs < RECONNECT_AFTER_FAILING_MS) return;
  session.failingSinceMs = nowMs;
  session.manager.abort();
}
