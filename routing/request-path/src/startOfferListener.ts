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
import {listen} from '@medlarlane/rpc';
import {ChunkSender} from './chunkSender.js';
import {OFFER_FIELD_COUNT, decodeFrame, decodeOffer, encodeStreamHead} from './messages.js';
import type {RequestFrame, RunResult} from './messages.js';
import type {MemoryBudget} from './memoryBudget.js';
import {ResponseStream} from './responseStream.js';
import type {UploadMemory, UploadReservation} from './uploadMemory.js';
import {waitForSocketPoll} from './waitForSocketPoll.js';
import type {SlotReservation, AdmissionController} from './admissionController.js';

export interface OfferListenerOptions {
  readonly host: string;
  /** 0 picks a free port. */
  readonly port: number;
  readonly admissionController: AdmissionController;
  readonly logger: Logger;
  /** Current event loop lag in milliseconds. */
  readonly lagMs: () => number;
  /** Counts the bodies of requests. */
  readonly memoryBudget?: MemoryBudget;
  /** Bounds the memory for large bodies of requests; not bounded by default. */
  readonly uploadMemory?: UploadMemory;
}

export interface OfferListener {
  readonly address: string;
  /** Number of large responses that are not sent completely yet. */
  readonly openStreams: number;
  /** Bytes in the send queues of all connections. */
  readonly heldBytes: number;
  /** Bytes that were not handed to the operating system yet. */
  readonly unsentBytes: number;
  /**
   * Closes all connections once their peers have received what was sent, at the latest after `timeoutMs`.
   */
  close(timeoutMs?: number): Promise<void>;
}

/** Abort reason as a plain value, because the default reason is an exception with a costly stack trace. */
const CALLER_DISCONNECTED = 'caller left';
/** Above this lag, a cancellation may be waiting unread behind its offer, so the sockets are polled again. */
const POLL_AGAIN_LAG_MS = 15;
/** Default time until the peers have received the last results when the listener closes. */
const FLUSH_TIMEOUT_MS = 150;
/** TCP keep-alive, which detects dead peers on idle connections. */
const KEEP_ALIVE_MS = 10_000;

/** State of a request that another daemon has offered. */
interface Exchange {
  readonly abort: AbortController;
  /** Called with the request after its offer was admitted; absent if the offer already included it. */
  onRequest?: (frame: RequestFrame) => void;
  /** Sends the response, if it is large. */
  sender?: ChunkSender;
}

/**
 * Starts the listener for requests from other daemons. An offer without its request is confirmed once a
 * slot is reserved, and only then the other daemon sends the request. Until then it may cancel the offer
 * and try another target, because nothing has run.
 */
export async function startOfferListener(opts: OfferListenerOptions): Promise<OfferListener> {
  const connections = new Map<Socket, OfferConnection>();
  const server = net.createServer((socket) => {
    connections.set(socket, new OfferConnection(socket, opts));
    socket.setKeepAlive(true, KEEP_ALIVE_MS);
    socket.once('close', () => connections.delete(socket));
  });
  await listen(server, {
    host: opts.host,
    port: opts.port,
    onAcceptError: (err) => opts.logger.error({err}, '[gate] Connection cannot be accepted'),
  });
  const {address, port} = server.address() as AddressInfo;
  return {
    address: `${address}:${port}`,
    get openStreams() {
      return sumOf(connections.values(), ({openStreams}) => openStreams);
    },
    get heldBytes() {
      return sumOf(connections.values(), ({heldBytes}) => heldBytes);
    },
    get unsentBytes() {
      return sumOf(connections.values(), unsentBytesOf);
    },
    close: async (timeoutMs = FLUSH_TIMEOUT_MS) => {
      server.close();
      for (const connection of connections.values()) connection.closeGracefully();
      const timer = setTimeout(() => {
        opts.logger.info(
          {connections: connections.size, unsentBytes: sumOf(connections.values(), unsentBytesOf)},
          '[gate] Connections closed by force',
        );
        for (const socket of connections.keys()) socket.destroy();
      }, timeoutMs);
      await once(server, 'close');
      clearTimeout(timer);
    },
  };
}

function unsentBytesOf({unsentBytes}: OfferConnection): number {
  return unsentBytes;
}

function sumOf<T>(items: Iterable<T>, valueOf: (item: T) => number): number {
  let sum = 0;
  for (const item of items) sum += valueOf(item);
  return sum;
}

/** A connection from another daemon. */
class OfferConnection {
  private readonly exchanges = new Map<number, Exchange>();
  private readonly messages: MessageSocket;
  /** Stated sizes of large bodies, until their offers arrive. */
  private readonly bodySizes = new Map<number, number>();
  private streamCount = 0;
  private readonly handlers: Readonly<Record<number, (message: PeerMessage) => void>> = {
    [PEER_OPERATION.hello]: ({exchangeId: version}) => this.checkVersion(version),
    [PEER_OPERATION.offer]: (message) => void this.serve(message),
    [PEER_OPERATION.request]: ({exchangeId, fields}) =>
      this.exchanges.get(exchangeId)?.onRequest?.(decodeFrame(fields)),
    [PEER_OPERATION.cancel]: ({exchangeId}) =>
      this.exchanges.get(exchangeId)?.abort.abort(CALLER_DISCONNECTED),
    [PEER_OPERATION.chunkCredit]: ({exchangeId, fields}) => {
      const bytes = Number(fields[0]);
      if (bytes > 0) this.exchanges.get(exchangeId)?.sender?.addCredit(bytes);
    },
    [PEER_OPERATION.bodySize]: ({exchangeId, fields}) => {
      const bytes = Number(fields[0]);
      if (bytes > 0) this.bodySizes.set(exchangeId, bytes);
    },
    [PEER_OPERATION.ping]: () => this.messages.send([PEER_OPERATION.pong, 0]),
  };

  constructor(
    private readonly socket: Socket,
    private readonly opts: OfferListenerOptions,
  ) {
    this.messages = new MessageSocket(socket, {
      onMessage: (message) => {
        const parsed = parsePeerMessage(message);
        this.handlers[parsed.operation]?.(parsed);
      },
      onClose: (failure) => {
        if (failure) opts.logger.info({peer: this.peer, err: failure}, '[gate] Connection failed');
        for (const {abort} of this.exchanges.values()) abort.abort(CALLER_DISCONNECTED);
      },
    });
  }

  /** Closes the connection once all results have been written. */
  closeGracefully(): void {
    this.messages.end();
  }

  get openStreams(): number {
    return this.streamCount;
  }

  get heldBytes(): number {
    return this.messages.heldBytes;
  }

  get unsentBytes(): number {
    return this.messages.outgoingBytes;
  }

  private get peer(): string | undefined {
    return this.socket.remoteAddress;
  }

  private checkVersion(version: number): void {
    if (version === PEER_PROTOCOL_VERSION) return;
    this.opts.logger.warn(
      {peer: this.peer, version},
      '[gate] Peer uses an unsupported protocol version',
    );
    this.messages.destroy();
  }

  private async serve({exchangeId, fields}: PeerMessage): Promise<void> {
    const {admissionController, logger} = this.opts;
    const {signal} = this.openExchange(exchangeId);
    let reservation: SlotReservation | undefined;
    let result: RunResult;
    const hold = this.opts.memoryBudget?.open({isReader: false});
    const bodyBytes = this.bodySizes.get(exchangeId);
    this.bodySizes.delete(exchangeId);
    let upload: UploadReservation | undefined;
    try {
      const lagMs = this.opts.lagMs();
      const offer = decodeOffer(fields, {waitedMs: lagMs});
      const includesRequest = fields.length > OFFER_FIELD_COUNT;
      if (lagMs > POLL_AGAIN_LAG_MS) await waitForSocketPoll();
      reservation = await admissionController.admit(offer, signal);
      if (bodyBytes !== undefined) upload = this.opts.uploadMemory?.reserve(bodyBytes);
      const frame = includesRequest
        ? decodeFrame(fields.slice(OFFER_FIELD_COUNT))
        : await this.fetchRequest(exchangeId);
      if (frame.body.length > 0 && !upload) hold?.add(frame.body.length);
      if (!includesRequest && this.opts.lagMs() > POLL_AGAIN_LAG_MS) await waitForSocketPoll();
      if (signal.aborted) throw cancelled();
      result = await reservation.run(frame, signal);
    } catch (thrown) {
      reservation?.cancel();
      const error = toMedlarlaneError(thrown);
      if (error.code === 'INTERNAL') logger.warn({err: error}, '[gate] Offer failed');
      result = toRefusedResult(error, admissionController);
    }
    hold?.close();
    upload?.release();
    if (result.kind === 'answered' && result.answer.body instanceof ResponseStream) {
      this.sendStream(exchangeId, signal, result, result.answer.body);
      return;
    }
    this.exchanges.delete(exchangeId);
    if (!signal.aborted) this.messages.send([PEER_OPERATION.result, exchangeId, result]);
  }

  /** Sends the head of a large response as the result of the exchange, and then its body in chunks. */
  private sendStream(
    exchangeId: number,
    signal: AbortSignal,
    result: RunResult,
    stream: ResponseStream,
  ): void {
    const exchange = this.exchanges.get(exchangeId);
    if (!exchange || signal.aborted) {
      this.exchanges.delete(exchangeId);
      stream.cancel();
      return;
    }
    this.streamCount += 1;
    this.messages.send([PEER_OPERATION.result, exchangeId, encodeStreamHead(result, stream)]);
    const sender = new ChunkSender({
      exchangeId,
      messages: this.messages,
      stream,
      onDone: () => {
        this.streamCount -= 1;
        this.exchanges.delete(exchangeId);
        const {failure} = stream;
        if (failure)
          this.opts.logger.info({peer: this.peer, exchangeId, failure}, '[gate] Response broken');
      },
    });
    exchange.sender = sender;
    signal.addEventListener('abort', () => sender.stop(), {once: true});
  }

  private openExchange(exchangeId: number): AbortController {
    const abort = new AbortController();
    this.exchanges.set(exchangeId, {abort});
    return abort;
  }

  /** Confirms an admitted offer and waits for its request. @throws MedlarlaneError `CANCELLED`. */
  private fetchRequest(exchangeId: number): Promise<RequestFrame> {
    return new Promise((resolve, reject) => {
      const pending = this.exchanges.get(exchangeId);
      if (!pending || pending.abort.signal.aborted) return reject(cancelled());
      pending.onRequest = resolve;
      pending.abort.signal.addEventListener('abort', () => reject(cancelled()), {once: true});
      this.messages.send([PEER_OPERATION.admitted, exchangeId]);
    });
  }
}

/** Creates the result of a request that was refused before it was sent to the target. */
export function toRefusedResult(
  {code, details}: MedlarlaneError,
  admissionController: AdmissionController,
): RunResult {
  const retryAfterMs = Number(details['retryAfterMs']);
  return {
    kind: 'refused',
    code,
    ...(Number.isFinite(retryAfterMs) ? {retryAfterMs} : {}),
    load: admissionController.load,
  };
}

function cancelled(): MedlarlaneError {
  return new MedlarlaneError('CANCELLED', undefined, {ran: 'no'});
}
