import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {decode, encode} from '@msgpack/msgpack';
import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import {listen} from './listen.js';
import {readMessageBody} from './readMessageBody.js';

/** Handles the calls of one method; its result is encoded as MessagePack. */
export type RpcHandler = (payload: unknown) => Promise<unknown>;

export interface RpcServerOptions {
  readonly host: string;
  /** 0 picks a free port. */
  readonly port: number;
  readonly handlers: Readonly<Record<string, RpcHandler>>;
  /** Called when a handler fails with an `INTERNAL` error. */
  readonly onInternalError?: (method: string, fault: MedlarlaneError) => void;
  /** Called when a connection cannot be accepted. */
  readonly onAcceptError?: (failure: Error) => void;
}

export interface RpcServer {
  /** Address of the listener as `host:port`. */
  readonly address: string;
  close(): Promise<void>;
}

/** The largest request is a snapshot for another replica. */
const MAX_REQUEST_BYTES = 64 * 1024 * 1024;
/** Longer than the pauses between a client's calls, so that its connections stay open. */
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/** Starts the listener for calls from other processes of the system. */
export async function startRpcServer(opts: RpcServerOptions): Promise<RpcServer> {
  const server = http.createServer(
    {keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS},
    (request, response) => {
      void respond(request, response, opts);
    },
  );
  const {host, port: requestedPort, onAcceptError} = opts;
  await listen(server, {host, port: requestedPort, ...(onAcceptError ? {onAcceptError} : {})});
  const {address, port} = server.address() as AddressInfo;
  return {
    address: `${address}:${port}`,
    close: async () => {
      server.closeAllConnections();
      server.close();
      await once(server, 'close');
    },
  };
}

async function respond(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  opts: RpcServerOptions,
): Promise<void> {
  const method = (request.url ?? '').slice(1);
  let status = 200;
  let result: unknown;
  try {
    const handler = Object.hasOwn(opts.handlers, method) ? opts.handlers[method] : undefined;
    if (!handler) throw new MedlarlaneError('REQUEST_INVALID', `Unknown method ${method}`);
    result = await handler(await readPayload(request));
  } catch (thrown) {
    const error = toMedlarlaneError(thrown);
    if (error.code === 'INTERNAL') opts.onInternalError?.(method, error);
    status = 500;
    result = {code: error.code, message: error.message, details: error.details};
  }
  const body = encode(result, {ignoreUndefined: true});
  response.writeHead(status, {'content-length': body.byteLength});
  response.end(body);
}

async function readPayload(request: http.IncomingMessage): Promise<unknown> {
  const body = await readMessageBody(request, MAX_REQUEST_BYTES);
  try {
    return decode(body);
  } catch (cause) {
    throw new MedlarlaneError('REQUEST_INVALID', 'Body is not MessagePack', {cause});
  }
}
