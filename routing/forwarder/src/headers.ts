import type {IncomingMessage, OutgoingHttpHeaders} from 'node:http';
import {HOP_BY_HOP_HEADERS} from '@medlarlane/rpc';

/** Header names of the protocol between callers, daemons and targets. */
export const HEADER = {
  service: 'medlarlane-service',
  owner: 'medlarlane-owner',
  ran: 'medlarlane-ran',
  code: 'medlarlane-code',
  hop: 'medlarlane-hop',
  index: 'medlarlane-index',
  epoch: 'medlarlane-epoch',
  position: 'medlarlane-position',
  requestId: 'medlarlane-request-id',
  deadlineMs: 'medlarlane-deadline-ms',
  load: 'medlarlane-load',
  callerId: 'medlarlane-caller-id',
  idempotencyKey: 'idempotency-key',
} as const;

export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

const PROTOCOL_PREFIX = 'medlarlane-';

// Set by the daemons on each hop. Values sent by a caller must not reach the target.
const DAEMON_HEADERS = new Set<string>([
  HEADER.hop,
  HEADER.index,
  HEADER.epoch,
  HEADER.position,
  HEADER.requestId,
  HEADER.deadlineMs,
  HEADER.service,
  HEADER.callerId,
]);

/** Returns the end-to-end request headers as a flat list of names and values. */
export function endToEndHeaders(request: IncomingMessage): string[] {
  const connectionHeaders = parseConnectionHeader(request.headers.connection);
  const kept: string[] = [];
  const {rawHeaders} = request;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(name) || DAEMON_HEADERS.has(name) || connectionHeaders?.has(name))
      continue;
    kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
  }
  return kept;
}

/** Returns the response headers without the hop-by-hop headers. */
export function endToEndResponseHeaders(headers: ResponseHeaders): OutgoingHttpHeaders {
  return filterHeaders(headers, (name) => !HOP_BY_HOP_HEADERS.has(name));
}

/** Returns a target's response headers without `medlarlane-` headers, which only daemons may set. */
export function targetResponseHeaders(headers: ResponseHeaders): OutgoingHttpHeaders {
  return filterHeaders(
    headers,
    (name) => !HOP_BY_HOP_HEADERS.has(name) && !name.startsWith(PROTOCOL_PREFIX),
  );
}

function filterHeaders(
  headers: ResponseHeaders,
  isKept: (name: string) => boolean,
): OutgoingHttpHeaders {
  const kept: OutgoingHttpHeaders = {};
  for (const name of Object.keys(headers)) {
    const value = headers[name];
    if (value !== undefined && isKept(name)) kept[name] = value;
  }
  return kept;
}

/** Returns the value of a header that must not be repeated. */
export function singleHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function parseConnectionHeader(value: string | undefined): Set<string> | undefined {
  if (!value) return undefined;
  return new Set(value.split(',').map((option) => option.trim().toLowerCase()));
}
