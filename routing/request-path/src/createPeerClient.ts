import net from 'node:net';
import type {Logger} from '@medlarlane/logger';
import {
  MessageSocket,
  PEER_OPERATION,
  PEER_PROTOCOL_VERSION,
  parsePeerMessage,
} from '@medlarlane/peer-rpc';
import type {PeerMessage} from '@medlarlane/peer-rpc';
import {splitAddress} from '@medlarlane/rpc';
import {writeOffer} from './messages.js';
import type {Offer, RequestFrame, RunResult} from './messages.js';

export interface PeerRequest {
  readonly address: string;
  readonly offer: Offer;
  readonly frame: RequestFrame;
  /** Whether the request may run more than once. */
  readonly idempotent: boolean;
  readonly signal: AbortSignal;
}

export interface PeerClient {
  /** Offers a request to the daemon at `address` and, once admitted, has it run there. */
  run(run: PeerRequest): Promise<RunResult>;
  close(): void;
}

/**
 * A reachable daemon shows a sign of life within a round trip. An offer without one can be given up
 * without harm, because the request itself has not been sent.
 */
const OFFER_TIMEOUT_MS = 250;
/**
 * The same for a request that was sent and may be repeated. Longer, because an answer may be lost with
 * it and another target has to do the work again.
 */
const REPEAT_TIMEOUT_MS = 500;
/**
 * A daemon that has just started accepts a connection long before it reads from it. Another connection
 * would only add to its work, so that a new one is kept for this time though it is silent.
 */
const NEW_CONNECTION_MS = 1_500;
/** A connection that was silent for this time is asked for a sign of life. */
const PING_AFTER_MS = 100;
const CHECK_MS = 50;
/** Larger bodies are sent only once a slot is reserved, so that refusals cost no bandwidth. */
const MAX_EAGER_BODY_BYTES = 2_048;
/** Finds peers that are gone while nothing is sent to them. */
const KEEP_ALIVE_MS = 10_000;

interface Exchange {
  readonly run: PeerRequest;
  /** Whether the request has been sent, so that it may have run. */
  sent: boolean;
  settle(result: RunResult): void;
}

/** Creates the client for requests to other daemons: one connection to each. */
export function createPeerClient({logger}: {logger: Logger}): PeerClient {
  /** Addresses whose last connection was given up. */
  const lost = new Set<string>();
  const connections = new Map<string, PeerConnection>();
  const all = new Set<PeerConnection>();
  let timer: NodeJS.Timeout | undefined;
  let watchedAtMs = 0;
  /** One timer for all connections, because each wake-up of the process costs processor time. */
  const watch = (): void => {
    if (timer) return;
    watchedAtMs = performance.now();
    // After a stall of this process, what has arrived meanwhile is read first.
    timer = setTimeout(() => setImmediate(checkAll), CHECK_MS);
  };
  const checkAll = (): void => {
    timer = undefined;
    // Time in which this process stood still says nothing about the others.
    const observedMs = Math.min(performance.now() - watchedAtMs, 2 * CHECK_MS);
    for (const connection of [...all]) connection.check(observedMs);
    if ([...all].some(({isBusy}) => isBusy)) watch();
  };
  const connect = (address: string): PeerConnection => {
    const connection = new PeerConnection(address, {
      onConnect: () => {
        if (lost.delete(address)) logger.info({address}, 'Reached a peer again');
      },
      onLost: (facts) => {
        if (connections.get(address) !== connection) return;
        connections.delete(address);
        if (!lost.has(address)) logger.info({address, ...facts}, 'Lost a peer');
        lost.add(address);
      },
      onClose: () => all.delete(connection),
    });
    connections.set(address, connection);
    all.add(connection);
    return connection;
  };
  return {
    run: (run) => {
      watch();
      return (connections.get(run.address) ?? connect(run.address)).start(run);
    },
    close: () => {
      clearTimeout(timer);
      for (const connection of all) connection.close();
    },
  };
}

/**
 * One connection to another daemon. When it stays silent it takes no new requests, because it may never
 * carry anything again; requests that were sent and must not be repeated still wait for its answers.
 */
class PeerConnection {
  private readonly exchanges = new Map<number, Exchange>();
  private readonly messages: MessageSocket;
  private lastExchange = 0;
  private connected = false;
  /** Whether the other daemon ever sent anything on this connection. */
  private heard = false;
  private readonly openedAtMs = performance.now();
  private suspect = false;
  /** Time without a sign of life while a request waited. */
  private silentMs = 0;
  private pinged = false;

  constructor(
    address: string,
    private readonly opts: {
      readonly onConnect: () => void;
      /** The connection takes no new requests. */
      readonly onLost: (facts: {silentMs: number; waiting: number; reason: string}) => void;
      readonly onClose: () => void;
    },
  ) {
    const socket = net.connect(splitAddress(address));
    socket.setKeepAlive(true, KEEP_ALIVE_MS);
    socket.once('connect', () => {
      this.connected = true;
      opts.onConnect();
    });
    this.messages = new MessageSocket(socket, {
      onMessage: (message) => this.receive(parsePeerMessage(message)),
      onClose: (failure) => this.onClose(failure),
    });
    this.messages.send([PEER_OPERATION.hello, PEER_PROTOCOL_VERSION]);
  }

  start(run: PeerRequest): Promise<RunResult> {
    const {signal, frame, offer, idempotent: repeatable} = run;
    if (signal.aborted) return Promise.resolve({kind: 'refused', code: 'CANCELLED'});
    this.lastExchange += 1;
    const id = this.lastExchange;
    if (!this.isBusy) this.hear();
    // A daemon that starts accepts connections before it reads them.
    const eager = this.heard && repeatable && frame.body.length <= MAX_EAGER_BODY_BYTES;
    return new Promise((resolve) => {
      const onAbort = (): void => this.giveUp(id, 'CANCELLED');
      const exchange: Exchange = {
        run,
        sent: eager,
        settle: (result) => {
          this.exchanges.delete(id);
          signal.removeEventListener('abort', onAbort);
          resolve(result);
          if (this.suspect && this.exchanges.size === 0) this.close();
        },
      };
      this.exchanges.set(id, exchange);
      signal.addEventListener('abort', onAbort, {once: true});
      this.messages.send([
        PEER_OPERATION.offer,
        id,
        ...writeOffer(offer),
        ...(eager ? frameFields(frame) : []),
      ]);
    });
  }

  /** Whether a request waits for its result. */
  get isBusy(): boolean {
    return this.exchanges.size > 0;
  }

  /**
   * To be called regularly while a request waits: finds that the other daemon is silent. `observedMs` is
   * the time since the last call in which this process was able to read.
   */
  check(observedMs: number): void {
    if (!this.isBusy) return;
    this.silentMs += observedMs;
    if (this.silentMs >= PING_AFTER_MS && !this.pinged) {
      this.pinged = true;
      this.messages.send([PEER_OPERATION.ping, 0]);
    }
    if (this.silentMs >= OFFER_TIMEOUT_MS) this.onSilence();
  }

  close(): void {
    this.messages.destroy();
  }

  /** Counts a sign of life. */
  private hear(): void {
    this.silentMs = 0;
    this.pinged = false;
  }

  private receive({operation, exchangeId: id, fields}: PeerMessage): void {
    this.heard = true;
    this.hear();
    const exchange = this.exchanges.get(id);
    if (!exchange) return;
    if (operation === PEER_OPERATION.admitted) {
      exchange.sent = true;
      this.messages.send([PEER_OPERATION.request, id, ...frameFields(exchange.run.frame)]);
    } else if (operation === PEER_OPERATION.result) {
      exchange.settle(fields[0] as RunResult);
    }
  }

  private giveUp(id: number, code: 'CANCELLED' | 'PEER_FAILED'): void {
    const exchange = this.exchanges.get(id);
    if (!exchange) return;
    this.messages.send([PEER_OPERATION.cancel, id]);
    exchange.settle({kind: this.mayHaveRun(exchange) ? 'lost' : 'refused', code});
  }

  private onSilence(): void {
    const mayStillOpen = !this.heard && performance.now() - this.openedAtMs < NEW_CONNECTION_MS;
    if (!mayStillOpen) {
      this.suspect = true;
      this.lose('silent');
    }
    for (const [id, exchange] of [...this.exchanges]) {
      const repeats = exchange.run.idempotent && this.silentMs >= REPEAT_TIMEOUT_MS;
      if (repeats || !this.mayHaveRun(exchange)) this.giveUp(id, 'PEER_FAILED');
    }
  }

  private lose(reason: string): void {
    this.opts.onLost({silentMs: this.silentMs, waiting: this.exchanges.size, reason});
  }

  private onClose(failure: Error | undefined): void {
    this.lose(failure?.message ?? 'closed');
    this.opts.onClose();
    for (const exchange of [...this.exchanges.values()]) {
      const kind = this.mayHaveRun(exchange) ? 'lost' : 'refused';
      exchange.settle({kind, code: 'PEER_FAILED'});
    }
  }

  private mayHaveRun({sent}: Exchange): boolean {
    return sent && this.connected;
  }
}

function frameFields({method, path, headers, body}: RequestFrame): unknown[] {
  return [method, path, headers, body];
}
