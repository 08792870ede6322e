import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import {errors} from 'undici';
import type {ExecutionStatus} from '@medlarlane/errors';
import type {ResponseHeaders} from './headers.js';

export type RelayFailureReason = 'connect' | 'timeout' | 'reset' | 'cancelled';

/** The upstream request failed before any part of its response was relayed. */
export class RelayFailure extends Error {
  constructor(
    readonly reason: RelayFailureReason,
    readonly ran: ExecutionStatus,
    cause: unknown,
  ) {
    super(`Upstream request failed: ${reason}`, {cause});
  }
}

/** Observes a response while it is relayed. */
export interface ResponseObserver {
  start(status: number, headers: ResponseHeaders): void;
  chunk(chunk: Buffer): void;
}

export interface RelayOptions {
  readonly dispatcher: Dispatcher;
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer | Readable | null;
  /** Receives the response unless it is intercepted. */
  readonly response: ServerResponse;
  readonly timeoutMs: number;
  /** Selects responses that are not relayed but returned with their body. */
  readonly shouldIntercept: (status: number, headers: ResponseHeaders) => boolean;
  /**
   * Whether the connection of an intercepted response is closed without reading its body, because a faulty
   * upstream may repeat the response there.
   */
  readonly closesIntercepted?: boolean;
  readonly transformHeaders: (headers: ResponseHeaders) => OutgoingHttpHeaders;
  readonly observer?: ResponseObserver | undefined;
  /** Whether the upstream request continues after the caller disconnects, to learn its outcome. */
  readonly continuesAfterDisconnect: boolean;
}

export type RelayOutcome =
  /** `isComplete` is false when the response was cut off after it had started. */
  | {readonly kind: 'passed-on'; readonly status: number; readonly isComplete: boolean}
  | {
      readonly kind: 'intercepted';
      readonly status: number;
      readonly headers: ResponseHeaders;
      readonly body: Buffer;
    };

// Errors that undici reports before it has sent any byte of the request.
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const INTERCEPT_LIMIT_BYTES = 65_536;

/**
 * Sends a request upstream and streams the response to the caller.
 * @throws RelayFailure when the response has not started.
 */
export function relay(opts: RelayOptions): Promise<RelayOutcome> {
  return new Promise((resolve, reject) => {
    const handler = new RelayHandler(opts, resolve, reject);
    opts.dispatcher.dispatch(
      {
        method: opts.method as Dispatcher.HttpMethod,
        path: opts.path,
        headers: opts.headers,
        body: opts.body,
        // The handler's own timer covers the whole request and response.
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      handler,
    );
  });
}

class RelayHandler implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  private status = 0;
  private headers: ResponseHeaders = {};
  private intercepted: Buffer[] | undefined;
  private interceptedBytes = 0;
  private abortReason: RelayFailureReason | undefined;
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly opts: RelayOptions,
    private readonly resolve: (outcome: RelayOutcome) => void,
    private readonly reject: (failure: RelayFailure) => void,
  ) {
    this.timer = setTimeout(() => this.abort('timeout'), opts.timeoutMs);
    if (opts.continuesAfterDisconnect) return;
    opts.response.once('close', this.onCallerClose);
    // A caller that disconnected during the delay before a retry emits no further event.
    if (opts.response.destroyed) this.abort('cancelled');
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.abortReason) controller.abort(new Error(this.abortReason));
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: ResponseHeaders,
  ): void {
    if (status < 200) return;
    this.status = status;
    this.headers = headers;
    if (this.opts.shouldIntercept(status, headers)) {
      this.intercepted = [];
      if (this.opts.closesIntercepted) {
        this.onResponseEnd();
        controller.abort(new Error('Refused by the upstream'));
      }
      return;
    }
    this.opts.observer?.start(status, headers);
    const {response} = this.opts;
    if (!response.destroyed) response.writeHead(status, this.opts.transformHeaders(headers));
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.intercepted) {
      this.interceptedBytes += chunk.length;
      if (this.interceptedBytes <= INTERCEPT_LIMIT_BYTES) this.intercepted.push(chunk);
      return;
    }
    this.opts.observer?.chunk(chunk);
    const {response} = this.opts;
    if (response.destroyed || response.write(chunk)) return;
    controller.pause();
    const resume = (): void => {
      response.off('drain', resume).off('close', resume);
      controller.resume();
    };
    response.on('drain', resume).on('close', resume);
  }

  onResponseEnd(): void {
    this.cleanUp();
    if (this.intercepted) {
      const body = Buffer.concat(this.intercepted);
      this.resolve({kind: 'intercepted', status: this.status, headers: this.headers, body});
      return;
    }
    this.opts.response.end();
    this.resolve({kind: 'passed-on', status: this.status, isComplete: true});
  }

  onResponseError(_controller: Dispatcher.DispatchController | null, error: Error): void {
    this.cleanUp();
    if (this.status !== 0 && !this.intercepted) {
      // A reset tells the caller that the response is incomplete.
      this.opts.response.destroy();
      this.resolve({kind: 'passed-on', status: this.status, isComplete: false});
      return;
    }
    const code = (error as NodeJS.ErrnoException).code ?? '';
    if (CONNECT_ERROR_CODES.has(code) || error instanceof errors.ConnectTimeoutError) {
      this.reject(new RelayFailure('connect', 'no', error));
      return;
    }
    // Without a controller the request was never assigned to a connection.
    const ran = this.controller ? 'unknown' : 'no';
    this.reject(new RelayFailure(this.abortReason ?? this.classifyReset(), ran, error));
  }

  private readonly onCallerClose = (): void => {
    if (!this.opts.response.writableFinished) this.abort('cancelled');
  };

  /** A request body that the caller cut off is not an upstream failure. */
  private classifyReset(): RelayFailureReason {
    const {body} = this.opts;
    return body instanceof Readable && body.errored ? 'cancelled' : 'reset';
  }

  private abort(reason: RelayFailureReason): void {
    if (this.abortReason) return;
    this.abortReason = reason;
    const error = new Error(reason);
    if (this.controller) return this.controller.abort(error);
    // The request still waits for a connection. Once it has one, it is aborted before any byte is sent.
    this.cleanUp();
    this.reject(new RelayFailure(reason, 'no', error));
  }

  private cleanUp(): void {
    clearTimeout(this.timer);
    this.opts.response.off('close', this.onCallerClose);
  }
}
