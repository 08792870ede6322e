import {createSecureServer, createServer} from 'node:http2';
import type {Http2SecureServer, SecureServerOptions, ServerHttp2Session} from 'node:http2';
import type {AddressInfo} from 'node:net';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import type {ConnectRouter} from '@connectrpc/connect';
import {MedlarlaneError} from '@medlarlane/errors';

export interface ControlListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly tls?: SecureServerOptions;
  readonly routes: (router: ConnectRouter) => void;
}

export interface ControlListener {
  readonly port: number;
  /** The TLS server, whose certificate can be replaced; absent without TLS. */
  readonly secureServer: Http2SecureServer | undefined;
  close(): Promise<void>;
}

/** Starts the HTTP/2 listener for lease, watch, consensus and admin RPC. */
export async function startControlListener(opts: ControlListenerOptions): Promise<ControlListener> {
  const handler = connectNodeAdapter({routes: opts.routes});
  const secureServer = opts.tls ? createSecureServer(opts.tls, handler) : undefined;
  const server = secureServer ?? createServer(handler);
  const sessions = new Set<ServerHttp2Session>();
  server.on('session', (session) => {
    sessions.add(session);
    session.once('close', () => sessions.delete(session));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', (cause: Error) => {
      const message = `Cannot listen on ${opts.host}:${opts.port}: ${cause.message}`;
      reject(new MedlarlaneError('SETTINGS_INVALID', message, {cause}));
    });
    server.listen(opts.port, opts.host, resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    secureServer,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        for (const session of sessions) session.destroy();
      }),
  };
}
