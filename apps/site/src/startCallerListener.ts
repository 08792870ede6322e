import http from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import type {Logger} from '@medlarlane/logger';
import {listen} from '@medlarlane/rpc';
import type {RequestLimits} from '@medlarlane/site-config';

export interface CallerListenerOptions {
  readonly host: string;
  /** 0 picks a free port. */
  readonly port: number;
  readonly limits: RequestLimits;
  readonly handle: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;
  /** Called for each accepted connection. */
  readonly onConnection: () => void;
  /** Closes a connection after its pending responses; returns false if there are none. */
  readonly closeAfterPending: (connection: Duplex) => boolean;
  readonly logger: Logger;
}

export interface CallerListener {
  readonly port: number;
  /** Whether there are so many connections that each is closed after its response. */
  readonly isOverConnectionLimit: boolean;
  setLimits(limits: RequestLimits): void;
  /** Stops accepting connections and closes the idle ones. */
  stopAccepting(): void;
  closeAll(): void;
}

/**
 * Rejected callers reconnect. Above this number of connections each connection is closed after its
 * response, so that idle connections do not exhaust the file descriptors of the process.
 */
const MAX_KEEP_ALIVE_CONNECTIONS = 1_000;
/**
 * Leaves some hundred of an instance's 4,100 file descriptors for connections to daemons and the
 * target.
 */
const MAX_CONNECTIONS = 3_000;
/** Header size limit, which applies before a configuration is known. */
const MAX_HEADER_BYTES = 65_536;

/** Starts the listener for callers on this instance and for requests that its target makes. */
export async function startCallerListener(opts: CallerListenerOptions): Promise<CallerListener> {
  let connections = 0;
  const server = http.createServer({maxHeaderSize: MAX_HEADER_BYTES, noDelay: true});
  server.on('request', (request, response) => {
    opts.handle(request, response).catch((err: unknown) => {
      opts.logger.error({err}, '[entry] Request cannot be handled');
      request.socket.destroy();
    });
  });
  server.maxConnections = MAX_CONNECTIONS;
  server.on('connection', (socket) => {
    connections += 1;
    opts.onConnection();
    socket.once('close', () => (connections -= 1));
  });
  server.on('clientError', (failure: NodeJS.ErrnoException, socket) => {
    // An error response would be taken for the response to an earlier request.
    if (socket.writable && opts.closeAfterPending(socket)) return;
    opts.logger.info({code: failure.code}, '[entry] Request cannot be parsed');
    if (socket.writable) {
      socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
    }
  });
  const setLimits = ({headerTimeoutMs, idleTimeoutMs}: RequestLimits): void => {
    // Earlier versions accepted negative limits, for which Node.js throws once a connection is idle.
    server.headersTimeout = Math.max(0, headerTimeoutMs);
    server.keepAliveTimeout = Math.max(0, idleTimeoutMs);
    // The handler enforces the request's deadline, which limits the time to receive the body.
    server.requestTimeout = 0;
  };
  setLimits(opts.limits);
  await listen(server, {
    host: opts.host,
    port: opts.port,
    onAcceptError: (err) => opts.logger.error({err}, '[entry] Connection cannot be accepted'),
  });
  return {
    port: (server.address() as AddressInfo).port,
    get isOverConnectionLimit() {
      return connections > MAX_KEEP_ALIVE_CONNECTIONS;
    },
    setLimits,
    stopAccepting: () => {
      server.close();
      server.closeIdleConnections();
    },
    closeAll: () => server.closeAllConnections(),
  };
}
