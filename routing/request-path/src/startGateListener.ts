import {once} from 'node:events';
import net from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import type {Logger} from '@medlarlane/logger';
import {
  MessageSocket,
  PEER_OPERATION,
  PEER_PROTOCOL_VERSION,
  parsePeerMessage,
} from '@medlarlane/peer-rpc';
import type {PeerMessage} from '@medlarlane/peer-rpc';
import {OFFER_FIELDS, readFrame, readOffer} from './messages.js';
import type {RequestFrame, RunResult} from './messages.js';
import {readTurn} from './readTurn.js';
import type {SlotReservation, AdmissionController} from './targetGate.js';

export interface OfferListenerOptions {
  readonly host: string;
  /** 0 picks a free port. */
  readonly port: number;
  readonly admissionController: AdmissionController;
  readonly logger: Logger;
  /** How late this process gets to its work, milliseconds. */
  readonly lagMs: () => number;
}

export interface OfferListener {
  readonly address: string;
  close(): Promise<void>;
}

/** Given as a value, because the default reason is an exception that costs a stack trace. */
const CALLER_LEFT = 'caller left';
/** Beyond this delay a caller may have left while its offer waited; the news is read a turn later. */
const NOTICE_LAG_MS = 15;
/** Time in which results that are on their way are still written when the listener closes. */
const FLUSH_MS = 1_000;
/** Finds daemons that are gone while they send nothing. */
const KEEP_ALIVE_MS = 10_000;

/** A request that another daemon offered. */
interface Exchange {
  readonly abort: AbortController;
  /** Takes the request once the offer was admitted; absent when the offer came with it. */
  take?: (frame: RequestFrame) => void;
}

/**
 * Starts the listener for requests of other daemons. An offer without its request is confirmed when a
 * slot is reserved, and only then the request is sent. Until then the other daemon may give up and
 * turn elsewhere, knowing that nothing ran.
 */
export async function startOfferListener(opts: OfferListenerOptions): Promise<OfferListener> {
  const connections = new Map<Socket, GateConnection>();
  const server = net.createServer((socket) => {
    connections.set(socket, new GateConnection(socket, opts));
    socket.setKeepAlive(true, KEEP_ALIVE_MS);
    socket.once('close', () => connections.delete(socket));
  });
  server.listen(opts.port, opts.host);
  await once(server, 'listening');
  const {address, port} = server.address() as AddressInfo;
  return {
    address: `${address}:${port}`,
    close: async () => {
      server.close();
      for (const connection of connections.values()) connection.finish();
      const timer = setTimeout(() => {
        for (const socket of connections.keys()) socket.destroy();
      }, FLUSH_MS);
      await once(server, 'close');
      clearTimeout(timer);
    },
  };
}

/** One connection of another daemon. */
class GateConnection {
  private readonly exchanges = new Map<number, Exchange>();
  private readonly messages: MessageSocket;
  private readonly handlers: Readonly<Record<number, (message: PeerMessage) => void>> = {
    [PEER_OPERATION.hello]: ({exchangeId: version}) => this.checkVersion(version),
    [PEER_OPERATION.offer]: (message) => void this.serve(message),
    [PEER_OPERATION.request]: ({exchangeId: exchange, fields}) =>
      this.exchanges.get(exchange)?.take?.(readFrame(fields)),
    [PEER_OPERATION.cancel]: ({exchangeId: exchange}) =>
      this.exchanges.get(exchange)?.abort.abort(CALLER_LEFT),
    [PEER_OPERATION.ping]: () => this.messages.send([PEER_OPERATION.pong, 0]),
  };

  constructor(
    private readonly socket: Socket,
    private readonly opts: OfferListenerOptions,
  ) {
    this.messages = new MessageSocket(socket, {
      onMessage: (message) => {
        const read = parsePeerMessage(message);
        this.handlers[read.operation]?.(read);
      },
      onClose: (failure) => {
        if (failure) opts.logger.info({peer: this.peer, err: failure}, '[gate] Connection failed');
        for (const {abort} of this.exchanges.values()) abort.abort(CALLER_LEFT);
      },
    });
  }

  /** Closes once all results have been written. */
  finish(): void {
    this.messages.end();
  }

  private get peer(): string | undefined {
    return this.socket.remoteAddress;
  }

  private checkVersion(version: number): void {
    if (version === PEER_PROTOCOL_VERSION) return;
    this.opts.logger.warn({peer: this.peer, version}, '[gate] Peer speaks another version');
    this.messages.destroy();
  }

  private async serve({exchangeId: exchange, fields}: PeerMessage): Promise<void> {
    const {admissionController: gate, logger} = this.opts;
    const {signal} = this.open(exchange);
    let admission: SlotReservation | undefined;
    let result: RunResult;
    try {
      const lagMs = this.opts.lagMs();
      const offer = readOffer(fields, {waitedMs: lagMs});
      const eager = fields.length > OFFER_FIELDS;
      if (lagMs > NOTICE_LAG_MS) await readTurn();
      admission = await gate.admit(offer, signal);
      const frame = eager ? readFrame(fields.slice(OFFER_FIELDS)) : await this.fetch(exchange);
      if (!eager && this.opts.lagMs() > NOTICE_LAG_MS) await readTurn();
      if (signal.aborted) throw cancelled();
      result = await admission.run(frame, signal);
    } catch (thrown) {
      admission?.cancel();
      const error = toMedlarlaneError(thrown);
      if (error.code === 'INTERNAL') logger.warn({err: error}, '[gate] Offer failed');
      result = refusedBy(error, gate);
    }
    this.exchanges.delete(exchange);
    if (!signal.aborted) this.messages.send([PEER_OPERATION.result, exchange, result]);
  }

  private open(exchange: number): AbortController {
    const abort = new AbortController();
    this.exchanges.set(exchange, {abort});
    return abort;
  }

  /** Asks for the request of an admitted offer. @throws MedlarlaneError `CANCELLED`. */
  private fetch(exchange: number): Promise<RequestFrame> {
    return new Promise((resolve, reject) => {
      const opened = this.exchanges.get(exchange);
      if (!opened || opened.abort.signal.aborted) return reject(cancelled());
      opened.take = resolve;
      opened.abort.signal.addEventListener('abort', () => reject(cancelled()), {once: true});
      this.messages.send([PEER_OPERATION.admitted, exchange]);
    });
  }
}

/** A refusal before anything was sent to the target. */
export function refusedBy({code, details}: MedlarlaneError, gate: AdmissionController): RunResult {
  const retryAfterMs = Number(details['retryAfterMs']);
  return {
    kind: 'refused',
    code,
    ...(Number.isFinite(retryAfterMs) ? {retryAfterMs} : {}),
    load: gate.load,
  };
}

function cancelled(): MedlarlaneError {
  return new MedlarlaneError('CANCELLED', undefined, {ran: 'no'});
}
