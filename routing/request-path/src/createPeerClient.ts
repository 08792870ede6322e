import net from 'node:net';
import type {Logger} from '@medlarlane/logger';
import {
  CHUNK_WINDOW_BYTES,
  MessageSocket,
  PEER_OPERATION,
  PEER_PROTOCOL_VERSION,
  parsePeerMessage,
} from '@medlarlane/peer-rpc';
import type {PeerMessage} from '@medlarlane/peer-rpc';
import {splitAddress} from '@medlarlane/rpc';
import {MemoryBudget} from './memoryBudget.js';
import {encodeOffer, streamedBodyLength} from './messages.js';
import type {Offer, RequestFrame, RunResult} from './messages.js';
import {ResponseStream} from './responseStream.js';
import type {StreamFailure} from './responseStream.js';
import {MIN_RESERVED_BODY_BYTES} from './uploadMemory.js';

export interface PeerRequest {
  readonly address: string;
  readonly offer: Offer;
  readonly frame: RequestFrame;
  /** Whether the request can safely run more than once. */
  readonly idempotent: boolean;
  readonly signal: AbortSignal;
}

export interface PeerClient {
  /** Bytes in the send queues of all connections. */
  readonly heldBytes?: number;
  /** Offers a request to the daemon at `address`, which runs it once it is admitted. */
  run(request: PeerRequest): Promise<RunResult>;
  close(): void;
}

/**
 * Timeout without any message from the peer, after which an offer is abandoned. A reachable daemon
 * responds within a round trip. Abandoning is safe, because the request itself has not been sent yet.
 */
const OFFER_TIMEOUT_MS = 250;
/**
 * The same timeout for an idempotent request that was sent. It is longer, because abandoning it may
 * discard a response, and another target then has to repeat the work.
 */
const SENT_REQUEST_TIMEOUT_MS = 500;
/**
 * The same timeout where no other target can take over: the caller has the first bytes of the response, or this
 * daemon is stopping. A peer whose processor or link is congested is silent for a second at times.
 */
const PATIENT_TIMEOUT_MS = 2_500;
/**
 * Grace period in which a new connection without any message from the peer is kept. A daemon that has
 * just started accepts a connection long before it reads from it, and further connections would only
 * add to its load.
 */
const NEW_CONNECTION_GRACE_MS = 1_500;
/** Time without any message from the peer after which a ping is sent. */
const PING_DELAY_MS = 100;
const CHECK_INTERVAL_MS = 50;
/** Larger bodies are only sent after a slot was reserved, so that refusals cost no bandwidth. */
const MAX_INLINE_BODY_BYTES = 2_048;
/** Credit is returned in steps, which cost a message each, long before the window is used up. */
const CREDIT_STEP_BYTES = CHUNK_WINDOW_BYTES / 4;
const LOST: RunResult = {kind: 'lost', code: 'PEER_FAILED'};
/** TCP keep-alive, which detects dead peers on idle connections. */
const KEEP_ALIVE_MS = 10_000;

interface Exchange {
  readonly request: PeerRequest;
  /** Whether the request has been sent and may therefore have run. */
  sent: boolean;
  /** Set once the head of a large response was received; the exchange then lasts until its end. */
  stream?: ResponseStream;
  /** Returns the result. */
  resolve(result: RunResult): void;
  /** Ends the exchange, with the result unless a stream was already returned, which breaks for the given cause. */
  settle(result: RunResult, failure?: StreamFailure): void;
}

/** Creates the client for requests to other daemons, with one connection per daemon. */
export function createPeerClient({
  logger,
  memoryBudget = new MemoryBudget(),
  isStopping = () => false,
}: {
  logger: Logger;
  /** Whether this daemon is stopping and answers what it has accepted. */
  isStopping?: () => boolean;
  /** Counts the large responses being received; by default, the client has a budget of its own. */
  memoryBudget?: MemoryBudget;
}): PeerClient {
  /** Addresses whose last connection was lost. */
  const lostAddresses = new Set<string>();
  const connections = new Map<string, PeerConnection>();
  const openConnections = new Set<PeerConnection>();
  let timer: NodeJS.Timeout | undefined;
  let timerStartedAtMs = 0;
  /** Starts the timer shared by all connections, because each wake-up of the process costs CPU time. */
  const startCheckTimer = (): void => {
    if (timer) return;
    timerStartedAtMs = performance.now();
    // After a stall of this process, pending data must be read before the check.
    timer = setTimeout(() => setImmediate(checkAll), CHECK_INTERVAL_MS);
  };
  const checkAll = (): void => {
    timer = undefined;
    // A stall of this process must not count as unresponsiveness of its peers.
    const observedMs = Math.min(performance.now() - timerStartedAtMs, 2 * CHECK_INTERVAL_MS);
    for (const connection of [...openConnections]) connection.check(observedMs);
    if ([...openConnections].some(({hasPendingRequests}) => hasPendingRequests)) startCheckTimer();
  };
  const connect = (address: string): PeerConnection => {
    const connection = new PeerConnection(address, {
      memoryBudget,
      isStopping,
      onConnect: () => {
        if (lostAddresses.delete(address)) logger.info({address}, 'Peer connection restored');
      },
      onLost: (lossDetails) => {
        if (connections.get(address) !== connection) return;
        connections.delete(address);
        if (!lostAddresses.has(address))
          logger.info({address, ...lossDetails}, 'Peer connection lost');
        lostAddresses.add(address);
      },
      onClose: () => openConnections.delete(connection),
    });
    connections.set(address, connection);
    openConnections.add(connection);
    return connection;
  };
  return {
    get heldBytes() {
      return [...openConnections].reduce((sum, {heldBytes}) => sum + heldBytes, 0);
    },
    run: (request) => {
      startCheckTimer();
      return (connections.get(request.address) ?? connect(request.address)).start(request);
    },
    close: () => {
      clearTimeout(timer);
      for (const connection of openConnections) connection.close();
    },
  };
}

/**
 * A connection to another daemon. Once the daemon is unresponsive, the connection accepts no new
 * requests, because it may never recover; non-idempotent requests that were already sent still wait for
 * their results.
 */
class PeerConnection {
  private readonly exchanges = new Map<number, Exchange>();
  private readonly messages: MessageSocket;
  private lastExchangeId = 0;
  private isConnected = false;
  /** Whether the peer has sent any message on this connection. */
  private hasReceived = false;
  private readonly openedAtMs = performance.now();
  private isUnresponsive = false;
  /** Time without any message from the peer while a request was pending. */
  private silentMs = 0;
  private pingSent = false;

  constructor(
    address: string,
    private readonly opts: {
      readonly memoryBudget: MemoryBudget;
      readonly isStopping: () => boolean;
      readonly onConnect: () => void;
      /** Called when the connection accepts no new requests. */
      readonly onLost: (lossDetails: {silentMs: number; waiting: number; reason: string}) => void;
      readonly onClose: () => void;
    },
  ) {
    const socket = net.connect(splitAddress(address));
    socket.setKeepAlive(true, KEEP_ALIVE_MS);
    socket.once('connect', () => {
      this.isConnected = true;
      opts.onConnect();
    });
    this.messages = new MessageSocket(socket, {
      onMessage: (message) => this.receive(parsePeerMessage(message)),
      onClose: (failure) => this.onClose(failure),
    });
    this.messages.send([PEER_OPERATION.hello, PEER_PROTOCOL_VERSION]);
  }

  start(request: PeerRequest): Promise<RunResult> {
    const {signal, frame, offer, idempotent} = request;
    if (signal.aborted) return Promise.resolve({kind: 'refused', code: 'CANCELLED'});
    this.lastExchangeId += 1;
    const id = this.lastExchangeId;
    if (!this.hasPendingRequests) this.resetSilence();
    // A daemon that is starting accepts connections before it reads from them.
    const includesRequest =
      this.hasReceived && idempotent && frame.body.length <= MAX_INLINE_BODY_BYTES;
    return new Promise((resolve) => {
      const onAbort = (): void => this.abandon(id, 'CANCELLED', 'request-aborted');
      const exchange: Exchange = {
        request,
        sent: includesRequest,
        resolve,
        settle: (result, failure) => {
          this.exchanges.delete(id);
          signal.removeEventListener('abort', onAbort);
          exchange.stream?.finish('broken', failure);
          resolve(result);
          if (this.isUnresponsive && this.exchanges.size === 0) this.close();
        },
      };
      this.exchanges.set(id, exchange);
      signal.addEventListener('abort', onAbort, {once: true});
      const {length: bodyBytes} = frame.body;
      if (bodyBytes >= MIN_RESERVED_BODY_BYTES)
        this.messages.send([PEER_OPERATION.bodySize, id, bodyBytes]);
      this.messages.send([
        PEER_OPERATION.offer,
        id,
        ...encodeOffer(offer),
        ...(includesRequest ? frameFields(frame) : []),
      ]);
    });
  }

  get heldBytes(): number {
    return this.messages.heldBytes;
  }

  /** Whether any request is pending. */
  get hasPendingRequests(): boolean {
    return this.exchanges.size > 0;
  }

  /**
   * Detects an unresponsive peer; must be called periodically while a request is pending. `observedMs`
   * is the part of the time since the last call in which this process was able to read.
   */
  check(observedMs: number): void {
    if (!this.hasPendingRequests) return;
    this.silentMs += observedMs;
    if (this.silentMs >= PING_DELAY_MS && !this.pingSent) {
      this.pingSent = true;
      this.messages.send([PEER_OPERATION.ping, 0]);
    }
    if (this.silentMs >= OFFER_TIMEOUT_MS) this.handleUnresponsive();
  }

  close(): void {
    this.messages.destroy();
  }

  /** Resets the detection of an unresponsive peer. */
  private resetSilence(): void {
    this.silentMs = 0;
    this.pingSent = false;
  }

  private receive({operation, exchangeId: id, fields}: PeerMessage): void {
    this.hasReceived = true;
    this.resetSilence();
    const exchange = this.exchanges.get(id);
    if (!exchange) return;
    if (operation === PEER_OPERATION.admitted) {
      exchange.sent = true;
      this.messages.send([PEER_OPERATION.request, id, ...frameFields(exchange.request.frame)]);
    } else if (operation === PEER_OPERATION.result) {
      exchange.sent = true;
      const result = fields[0] as RunResult;
      const lengthBytes = streamedBodyLength(result);
      if (lengthBytes === undefined) exchange.settle(result);
      else this.openStream(id, exchange, result, lengthBytes);
    } else if (operation === PEER_OPERATION.chunk) {
      if (fields[0] instanceof Uint8Array) exchange.stream?.push(fields[0]);
    } else if (operation === PEER_OPERATION.chunkEnd) {
      exchange.stream?.finish(fields[0] === true ? 'complete' : 'broken');
      exchange.settle(LOST);
    }
  }

  /** Returns a large response as a stream whose chunks follow on the connection. */
  private openStream(id: number, exchange: Exchange, head: RunResult, lengthBytes: number): void {
    if (head.kind !== 'answered' || exchange.stream) return;
    let uncreditedBytes = 0;
    const body = new ResponseStream({
      lengthBytes,
      budget: this.opts.memoryBudget,
      onTaken: (bytes) => {
        uncreditedBytes += bytes;
        if (uncreditedBytes < CREDIT_STEP_BYTES) return;
        this.messages.send([PEER_OPERATION.chunkCredit, id, uncreditedBytes]);
        uncreditedBytes = 0;
      },
      onCancel: () => this.abandon(id, 'CANCELLED', 'reader-gone'),
    });
    exchange.stream = body;
    const {status, headers} = head.answer;
    exchange.resolve({...head, answer: {status, headers, body}});
  }

  private abandon(id: number, code: 'CANCELLED' | 'PEER_FAILED', failure: StreamFailure): void {
    const exchange = this.exchanges.get(id);
    if (!exchange) return;
    this.messages.send([PEER_OPERATION.cancel, id]);
    exchange.settle({kind: this.mayHaveRun(exchange) ? 'lost' : 'refused', code}, failure);
  }

  private handleUnresponsive(): void {
    const isInGracePeriod =
      !this.hasReceived && performance.now() - this.openedAtMs < NEW_CONNECTION_GRACE_MS;
    if (!isInGracePeriod) {
      this.isUnresponsive = true;
      this.reportLost('silent');
    }
    for (const [id, exchange] of [...this.exchanges]) {
      if (this.canAbandon(exchange)) this.abandon(id, 'PEER_FAILED', 'peer-silent');
    }
  }

  private canAbandon(exchange: Exchange): boolean {
    if (!this.mayHaveRun(exchange)) return true;
    const hasAlternative = !exchange.stream && !this.opts.isStopping();
    const timeoutMs = hasAlternative ? SENT_REQUEST_TIMEOUT_MS : PATIENT_TIMEOUT_MS;
    return exchange.request.idempotent && this.silentMs >= timeoutMs;
  }

  private reportLost(reason: string): void {
    this.opts.onLost({silentMs: this.silentMs, waiting: this.exchanges.size, reason});
  }

  private onClose(failure: Error | undefined): void {
    this.reportLost(failure?.message ?? 'closed');
    this.opts.onClose();
    for (const exchange of [...this.exchanges.values()]) {
      const kind = this.mayHaveRun(exchange) ? 'lost' : 'refused';
      exchange.settle({kind, code: 'PEER_FAILED'}, 'peer-closed');
    }
  }

  private mayHaveRun({sent}: Exchange): boolean {
    return sent && this.isConnected;
  }
}

function frameFields({method, path, headers, body}: RequestFrame): unknown[] {
  return [method, path, headers, body];
}
