import http from 'node:http';
import {decode, encode} from '@msgpack/msgpack';
import {isErrorCode, MedlarlaneError} from '@medlarlane/errors';
import {readMessageBody} from './readWhole.js';
import {splitAddress} from './splitAddress.js';

export interface RpcClientOptions {
  /** Connections to one address; further calls wait for a free one. */
  readonly maxConnectionsPerAddress?: number;
}

export interface RpcCallOptions {
  /** Bound of the whole call, connection included. */
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

export interface RpcClient {
  /**
   * Calls a method of the process at `address` (`host:port`) and returns its decoded answer.
   * @throws MedlarlaneError the error of the other side, or `PEER_FAILED` when no answer came.
   */
  call(address: string, method: string, payload: unknown, opts: RpcCallOptions): Promise<unknown>;
  close(): void;
}

const DEFAULT_CONNECTIONS_PER_ADDRESS = 16;
/** A larger answer is a fault of the other side; the largest real one is a snapshot. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/**
 * Creates a client that keeps connections open. A call that ends without an answer closes its
 * connection, because a connection may have gone silent without a reset.
 */
export function createRpcClient(opts: RpcClientOptions = {}): RpcClient {
  const agent = new http.Agent({
    keepAlive: true,
    maxSockets: opts.maxConnectionsPerAddress ?? DEFAULT_CONNECTIONS_PER_ADDRESS,
    scheduling: 'lifo',
  });
  return {
    call: (address, method, payload, callOpts) => post(agent, address, method, payload, callOpts),
    close: () => agent.destroy(),
  };
}

function post(
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
      method: 'POST',
      path: `/${method}`,
      headers: {'content-length': body.byteLength},
    });
    const fail = (cause: unknown): void => {
      finish();
      request.destroy();
      reject(new MedlarlaneError('PEER_FAILED', `${method} at ${address} got no answer`, {cause}));
    };
    const timer = setTimeout(() => fail(new Error(`no answer within ${timeoutMs} ms`)), timeoutMs);
    const onAbort = (): void => fail(signal?.reason);
    const finish = (): void => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', onAbort);
    };
    signal?.addEventListener('abort', onAbort, {once: true});
    if (signal?.aborted) return onAbort();
    request.on('error', fail);
    request.on('response', (response) => {
      readAnswer(response).then((answer) => {
        finish();
        if (response.statusCode === 200) resolve(answer);
        else reject(toError(answer));
      }, fail);
    });
    request.end(body);
  });
}

async function readAnswer(response: http.IncomingMessage): Promise<unknown> {
  return decode(await readMessageBody(response, MAX_ANSWER_BYTES));
}

function toError(answer: unknown): MedlarlaneError {
  const {code, message, details} = (answer ?? {}) as Record<string, unknown>;
  if (typeof code !== 'string' || !isErrorCode(code)) {
    return new MedlarlaneError('INTERNAL', 'Answer names an unknown error');
  }
  return new MedlarlaneError(code, String(message), {
    details: (details ?? {}) as Record<string, unknown>,
  });
}
