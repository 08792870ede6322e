import http from 'node:http';
import {decode, encode} from '@msgpack/msgpack';
import {isErrorCode, MedlarlaneError} from '@medlarlane/errors';
import {readResponseBody} from './readResponseBody.js';
import {splitAddress} from './splitAddress.js';

export interface RpcClientOptions {
  /** Maximum number of connections per address; further calls wait for a free connection. */
  readonly maxConnectionsPerAddress?: number;
}

export interface RpcCallOptions {
  /** Timeout of the whole call, including connection setup. */
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

export interface RpcClient {
  /**
   * Calls a method of the process at `address` (`host:port`) and returns the decoded response.
   * @throws MedlarlaneError the error that the peer returned, or `PEER_FAILED` without a response.
   */
  call(address: string, method: string, payload: unknown, opts: RpcCallOptions): Promise<unknown>;
  close(): void;
}

const METHOD = 'POST';
const DEFAULT_CONNECTIONS_PER_ADDRESS = 16;
/**
 * The largest valid response is a snapshot; a response above the limit means that the peer is
 * faulty.
 */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

/**
 * Creates a client that keeps connections open. A call that ends without a response closes its
 * connection, because the connection may be broken without a reset.
 */
export function createRpcClient(opts: RpcClientOptions = {}): RpcClient {
  const agent = new http.Agent({
    keepAlive: true,
    maxSockets: opts.maxConnectionsPerAddress ?? DEFAULT_CONNECTIONS_PER_ADDRESS,
    scheduling: 'lifo',
  });
  return {
    call: (address, method, payload, callOpts) =>
      sendRequest(agent, address, method, payload, callOpts),
    close: () => agent.destroy(),
  };
}

function sendRequest(
  agent: http.Agent,
  address: string,
  method: string,
  payload: unknown,
  {timeoutMs, signal}: RpcCallOptions,
): Promise<unknown> {
  const {host, port} = splitAddress(address);
  const body = encode(payload, {ignoreUndefined: true});
  return new Promise((resolve, reject) => {
    const request = http.request({
      agent,
      host,
      port,
      method: METHOD,
      path: `/${method}`,
      headers: {'content-length': body.byteLength},
    });
    const fail = (cause: unknown): void => {
      finish();
      request.destroy();
      reject(
        new MedlarlaneError('PEER_FAILED', `${method} at ${address} received no response`, {cause}),
      );
    };
    const timer = setTimeout(
      () => fail(new Error(`no response within ${timeoutMs} ms`)),
      timeoutMs,
    );
    const onAbort = (): void => fail(signal?.reason);
    const finish = (): void => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', onAbort);
    };
    signal?.addEventListener('abort', onAbort, {once: true});
    if (signal?.aborted) return onAbort();
    request.on('error', fail);
    request.on('response', (response) => {
      decodeResponse(response).then((result) => {
        finish();
        if (response.statusCode === 200) resolve(result);
        else reject(toError(result));
      }, fail);
    });
    request.end(body);
  });
}

async function decodeResponse(response: http.IncomingMessage): Promise<unknown> {
  return decode(await readResponseBody(response, {method: METHOD, maxBytes: MAX_RESPONSE_BYTES}));
}

function toError(result: unknown): MedlarlaneError {
  const {code, message, details} = (result ?? {}) as Record<string, unknown>;
  if (typeof code !== 'string' || !isErrorCode(code)) {
    return new MedlarlaneError('INTERNAL', 'Response contains an unknown error code');
  }
  return new MedlarlaneError(code, String(message), {
    details: (details ?? {}) as Record<string, unknown>,
  });
}
