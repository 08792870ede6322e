import {once} from 'node:events';
import http from 'node:http';
import type {Logger} from '@medlarlane/logger';
import type {RequestLimits} from '@medlarlane/site-config';

export interface CallerListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly limits: RequestLimits;
  readonly handle: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;
  readonly logger: Logger;
}

export interface CallerListener {
  /** Whether callers have so many connections that they are closed with their answers. */
  readonly isCrowded: boolean;
  setLimits(limits: RequestLimits): void;
  /** Takes no more connections and closes the idle ones. */
  stopAccepting(): void;
  closeAll(): void;
}

/**
 * Callers that are refused come back on new connections. Beyond this number connections are closed
 * with their answers, so that idle ones do not use up the descriptors of the process.
 */
const MAX_KEPT_CONNECTIONS = 1_000;
/** Leaves some hundred of the 4,100 descriptors of an instance for other daemons and the target. */
const MAX_CONNECTIONS = 3_000;
/** Bound of what callers may send before a configuration is known. */
const MAX_HEADER_BYTES = 65_536;

/** Starts the listener for callers on this instance and for calls of its target. */
export async function startCallerListener(opts: CallerListenerOptions): Promise<CallerListener> {
  let connections = 0;
  const server = http.createServer({maxHeaderSize: MAX_HEADER_BYTES, noDelay: true});
  server.on('request', (request, response) => void opts.handle(request, response));
  server.maxConnections = MAX_CONNECTIONS;
  server.on('connection', (socket) => {
    connections += 1;
    socket.once('close', () => (connections -= 1));
  });
  server.on('clientError', (failure: NodeJS.ErrnoException, socket) => {
    opts.logger.info({code: failure.code}, '[entry] Request cannot be read');
    if (socket.writable) {
      socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
    }
  });
  const setLimits = ({headerTimeoutMs, idleTimeoutMs}: RequestLimits): void => {
    server.headersTimeout = headerTimeoutMs;
    server.keepAliveTimeout = idleTimeoutMs;
    // A body may take as long as its request's deadline, which the handler watches.
    server.requestTimeout = 0;
  };
  setLimits(opts.limits);
  server.listen(opts.port, opts.host);
  await once(server, 'listening');
  return {
    get isCrowded() {
      return connections > MAX_KEPT_CONNECTIONS;
    },
    setLimits,
    stopAccepting: () => {
      server.close();
      server.closeIdleConnections();
    },
    closeAll: () => server.closeAllConnections(),
  };
}
