import {timingSafeEqual} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {ADMIN_OPERATIONS, ADMIN_PATH_PREFIX, isAdminOperation} from '@medlarlane/admin-api';
import type {AdminOperation} from '@medlarlane/admin-api';
import type {ControlClient} from '@medlarlane/control-client';
import {MedlarlaneError} from '@medlarlane/errors';
import {startListener} from '@medlarlane/forwarder';
import type {Listener, ListenerOptions} from '@medlarlane/forwarder';
import {abortWhenCallerLeaves, hasCallerLeft} from '@medlarlane/rpc';

export interface AdminListenerOptions extends ListenerOptions {
  readonly controlClient: ControlClient;
  /** Bearer token required for operations that change state; when absent, no token is required. */
  readonly token: string | undefined;
  readonly metrics: () => Promise<{contentType: string; text: string}>;
  /** Whether this daemon can serve callers' requests now. */
  readonly isReady: () => boolean;
}

type Route = (response: ServerResponse, opts: AdminListenerOptions) => void | Promise<void>;

const MAX_BODY_BYTES = 1_048_576;

const ROUTES: Readonly<Record<string, Route>> = {
  'GET /healthz': (response) => sendText(response, 200, 'ok'),
  'GET /readyz': (response, {isReady}) =>
    isReady() ? sendText(response, 200, 'ready') : sendText(response, 503, 'not ready'),
  'GET /metrics': async (response, {metrics}) => {
    const {contentType, text} = await metrics();
    sendText(response, 200, text, contentType);
  },
};

/** Starts the admin listener, which serves operations, metrics and health checks. */
export function startAdminListener(opts: AdminListenerOptions): Promise<Listener> {
  return startListener((request, response) => handle(request, response, opts), opts);
}

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
  opts: AdminListenerOptions,
): Promise<void> {
  const path = (request.url ?? '/').split('?')[0]!;
  const route = ROUTES[`${request.method} ${path}`];
  if (route) return route(response, opts);
  const operation = path.startsWith(ADMIN_PATH_PREFIX) ? path.slice(ADMIN_PATH_PREFIX.length) : '';
  if (request.method !== 'POST' || !isAdminOperation(operation)) {
    throw new MedlarlaneError('REQUEST_INVALID', `Unknown operation: ${request.method} ${path}`);
  }
  authorize(operation, request, opts.token);
  const signal = abortWhenCallerLeaves(request, response);
  const args = await readJson(request);
  // A suspended daemon reads operations late, which could then end what was started since, for example by a drain.
  if (ADMIN_OPERATIONS[operation].changesState && (await hasCallerLeft(signal)))
    throw new MedlarlaneError('CANCELLED');
  const result = await opts.controlClient.execute(operation, args);
  sendText(response, 200, JSON.stringify(result), 'application/json');
}

function authorize(
  operation: AdminOperation,
  request: IncomingMessage,
  token: string | undefined,
): void {
  if (token === undefined || !ADMIN_OPERATIONS[operation].changesState) return;
  const given = Buffer.from(request.headers.authorization ?? '');
  const expected = Buffer.from(`Bearer ${token}`);
  if (given.length === expected.length && timingSafeEqual(given, expected)) return;
  throw new MedlarlaneError('TOKEN_INVALID');
}

async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_BODY_BYTES) throw new MedlarlaneError('REQUEST_INVALID', 'Body is too large');
    chunks.push(chunk as Buffer);
  }
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}');
  } catch {
    throw new MedlarlaneError('REQUEST_INVALID', 'Body is not valid JSON');
  }
}

function sendText(
  response: ServerResponse,
  status: number,
  text: string,
  contentType = 'text/plain; charset=utf-8',
): void {
  response.writeHead(status, {
    'content-type': contentType,
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
