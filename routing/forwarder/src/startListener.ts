import {createServer as createHttpServer} from 'node:http';
import type {
  IncomingMessage,
  RequestListener,
  Server,
  ServerOptions,
  ServerResponse,
} from 'node:http';
import {createServer as createHttpsServer} from 'node:https';
import type {Server as HttpsServer} from 'node:https';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import type {TlsOptions} from 'node:tls';
import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import type {Logger} from '@medlarlane/logger';
import {discardRemainingBody} from './discardRemainingBody.js';
import {OpenResponses} from './openResponses.js';
import {sendProblem} from './sendProblem.js';

export interface ListenerOptions {
  readonly host: string;
  readonly port: number;
  /** Enables TLS when present. */
  readonly tls?: TlsOptions;
  readonly logger: Logger;
}

export interface Listener {
  readonly port: number;
  readonly server: Server | HttpsServer;
  /** Stops accepting connections, waits for running requests and closes idle connections. */
  close(): Promise<void>;
}

const SERVER_OPTIONS: ServerOptions = {
  headersTimeout: 10_000,
  // With the default of 30 s, a slow header could occupy its connection four times as long.
  connectionsCheckingInterval: 1000,
  // Uploads may take long; the idle timeout ends a stalled one.
  requestTimeout: 0,
  keepAliveTimeout: 65_000,
  maxHeaderSize: 16_384,
  insecureHTTPParser: false,
};
const IDLE_TIMEOUT_MS = 60_000;
const IDLE_CHECK_INTERVAL_MS = 20;
// Longer than the default deadline of requests. Callers that never read must not block the shutdown.
const CLOSE_TIMEOUT_MS = 15_000;

/** Starts an HTTP/1.1 listener that responds with a problem document when the handler fails. */
export async function startListener(
  handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>,
  opts: ListenerOptions,
): Promise<Listener> {
  const openResponses = new OpenResponses();
  const onRequest: RequestListener = (request, response) => {
    openResponses.add(response);
    response.once('finish', () => discardRemainingBody(request));
    handle(request, response).catch((failure: unknown) => {
      const error = toMedlarlaneError(failure);
      if (error.code === 'INTERNAL') opts.logger.error({err: failure}, 'Request failed');
      sendProblem(response, error);
    });
  };
  const server = opts.tls
    ? createHttpsServer({...SERVER_OPTIONS, ...opts.tls}, onRequest)
    : createHttpServer(SERVER_OPTIONS, onRequest);
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) =>
    openResponses.refuse(socket, error),
  );
  server.setTimeout(IDLE_TIMEOUT_MS, (socket) => {
    // Running requests are bounded by their deadline instead.
    if (!openResponses.isRunning(socket)) socket.destroy();
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', (cause) => {
      const message = `Cannot listen on ${opts.host}:${opts.port}: ${cause.message}`;
      reject(new MedlarlaneError('SETTINGS_INVALID', message, {cause}));
    });
    server.listen(opts.port, opts.host, resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    server,
    close: () => closeServer(server),
  };
}

function closeServer(server: Server | HttpsServer): Promise<void> {
  return new Promise((resolve) => {
    // A busy connection becomes idle when its response has ended.
    const idleTimer = setInterval(() => server.closeIdleConnections(), IDLE_CHECK_INTERVAL_MS);
    const timeoutTimer = setTimeout(() => server.closeAllConnections(), CLOSE_TIMEOUT_MS);
    server.close(() => {
      clearInterval(idleTimer);
      clearTimeout(timeoutTimer);
      resolve();
    });
    server.closeIdleConnections();
  });
}
