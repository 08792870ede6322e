import type http from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';

/** A caller's request in the order of its connection. */
export interface PipelinedRequest {
  /** Whether the connection is lost, so that nobody reads the response. */
  readonly isDisconnected: boolean;
  /**
   * Resolves with true once the request may be handled, and with false if it counts as not read,
   * because the connection closes after an earlier response.
   */
  waitForStart(): boolean | Promise<boolean>;
  /** Resolves once all earlier responses have been written, or the connection is lost. */
  waitForTurn(): void | Promise<void>;
  /**
   * Returns whether the response may be streamed: it is this request's turn, and no other started
   * request would lose its response if the stream breaks. No other request is started until then.
   */
  tryStream(): boolean;
  /**
   * Decides whether the response to this request closes the connection. With `mustClose`, no further
   * request is read, and the response to the last request that was started closes the connection.
   */
  decideClose(mustClose: boolean): boolean;
  /**
   * Resolves once the response has left the process or the connection is lost. It is then the turn
   * of the next request.
   */
  waitUntilFinished(response: http.ServerResponse): Promise<void>;
}

export interface PipelinedRequestOptions {
  /** Whether the request may run at the same time as the requests before and after it. */
  readonly isSafe: () => boolean;
  /** Whether the caller closes the connection after the response to this request. */
  readonly isLast: boolean;
  readonly onDisconnect: () => void;
}

/** A connection should not occupy more slots than one target has, which is at most 8. */
const MAX_STARTED = 8;
/** Requests beyond it count as not read, so that a connection cannot queue any number of requests. */
const MAX_PENDING = 64;
/**
 * Unread requests after which the connection is paused. The responses before them are still sent, but
 * a disconnection is then noticed only when a response is written.
 */
const MAX_UNREAD = 64;

/** Keeps the order of pipelined requests and decides which response closes a connection. */
export class CallerConnections {
  private readonly connections = new WeakMap<Duplex, CallerConnection>();

  /** Adds a request that was read; `undefined` means that it counts as not read. */
  add(socket: Socket, opts: PipelinedRequestOptions): PipelinedRequest | undefined {
    let connection = this.connections.get(socket);
    if (!connection) {
      connection = new CallerConnection(socket);
      this.connections.set(socket, connection);
    }
    return connection.add(opts);
  }

  /**
   * Closes the connection after the responses to its started requests; returns false if there are
   * none, so that the connection can be closed at once.
   */
  closeAfterPending(socket: Duplex): boolean {
    return this.connections.get(socket)?.closeAfterPending() ?? false;
  }
}

class CallerConnection {
  private readonly pending: PendingRequest[] = [];
  private isClosing = false;
  private isStreaming = false;
  private unreadCount = 0;

  constructor(private readonly socket: Socket) {
    socket.once('close', () => this.handleDisconnect());
  }

  add(opts: PipelinedRequestOptions): PipelinedRequest | undefined {
    if (this.isClosing || this.pending.length >= MAX_PENDING) {
      this.isClosing = true;
      this.unreadCount += 1;
      if (this.unreadCount >= MAX_UNREAD) this.socket.pause();
      return undefined;
    }
    const added = new PendingRequest(this, opts);
    this.pending.push(added);
    if (opts.isLast) this.isClosing = true;
    this.startNext();
    return added;
  }

  closeAfterPending(): boolean {
    if (this.pending.length === 0) return false;
    this.stopReading();
    return true;
  }

  decideClose(request: PendingRequest, mustClose: boolean): boolean {
    if (mustClose) this.stopReading();
    return this.isClosing && this.pending.at(-1) === request;
  }

  tryStream(request: PendingRequest): boolean {
    const isAlone = this.isFirst(request) && this.pending[1]?.isStarted !== true;
    if (isAlone) this.isStreaming = true;
    return isAlone;
  }

  remove(request: PendingRequest): void {
    const index = this.pending.indexOf(request);
    if (index < 0) return;
    this.pending.splice(index, 1);
    if (index === 0) this.isStreaming = false;
    // The last response may have been written before the close was decided.
    if (this.isClosing && this.pending.length === 0) this.socket.destroySoon();
    this.pending[0]?.giveTurn();
    this.startNext();
  }

  isFirst(request: PendingRequest): boolean {
    return this.pending[0] === request;
  }

  private stopReading(): void {
    this.isClosing = true;
    while (this.pending.at(-1)?.isStarted === false) this.pending.pop()!.start(false);
  }

  /** Starts requests in order; only safe requests run at the same time. */
  private startNext(): void {
    if (this.isStreaming) return;
    let startedCount = 0;
    for (const request of [...this.pending]) {
      if (!request.isStarted) {
        const canStart = startedCount === 0 || (request.isSafe && startedCount < MAX_STARTED);
        if (!canStart) return;
        request.start(true);
      }
      startedCount += 1;
      if (this.pending.length > 1 && !request.isSafe) return;
    }
  }

  private handleDisconnect(): void {
    this.isClosing = true;
    for (const request of this.pending.splice(0)) request.disconnect();
  }
}

class PendingRequest implements PipelinedRequest {
  isStarted = false;
  isDisconnected = false;
  private startListener: ((canStart: boolean) => void) | undefined;
  private turnListener: (() => void) | undefined;
  private finishListener: (() => void) | undefined;
  private isUnread = false;
  private knownSafe: boolean | undefined;

  constructor(
    private readonly connection: CallerConnection,
    private readonly opts: PipelinedRequestOptions,
  ) {}

  get isSafe(): boolean {
    return (this.knownSafe ??= this.opts.isSafe());
  }

  start(canStart: boolean): void {
    if (canStart) this.isStarted = true;
    else this.isUnread = true;
    this.startListener?.(canStart);
  }

  giveTurn(): void {
    this.turnListener?.();
  }

  disconnect(): void {
    this.isDisconnected = true;
    if (!this.isStarted) this.start(false);
    this.opts.onDisconnect();
    this.turnListener?.();
    this.finishListener?.();
  }

  waitForStart(): boolean | Promise<boolean> {
    if (this.isStarted || this.isUnread) return this.isStarted;
    return new Promise((resolve) => (this.startListener = resolve));
  }

  waitForTurn(): void | Promise<void> {
    if (this.isDisconnected || this.connection.isFirst(this)) return;
    return new Promise((resolve) => (this.turnListener = resolve));
  }

  tryStream(): boolean {
    return !this.isDisconnected && this.connection.tryStream(this);
  }

  decideClose(mustClose: boolean): boolean {
    return this.connection.decideClose(this, mustClose);
  }

  waitUntilFinished(response: http.ServerResponse): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        this.connection.remove(this);
        resolve();
      };
      if (this.isDisconnected || response.writableFinished) return finish();
      this.finishListener = finish;
      response.once('finish', finish);
    });
  }
}
