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

// Set by the daemons on each hop; a caller's value must not reach the target.
const SET_BY_DAEMONS = new Set<string>([
  HEADER.hop,
  HEADER.index,
  HEADER.epoch,
  HEADER.position,
  HEADER.requestId,
  HEADER.deadlineMs,
  HEADER.service,
  HEADER.callerId,
]);

/** End-to-end request headers as a flat list of names and values. */
export function endToEndHeaders(request: IncomingMessage): string[] {
  const named = connectionOptions(request.headers.connection);
  const kept: string[] = [];
  const {rawHeaders} = request;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(name) || SET_BY_DAEMONS.has(name) || named?.has(name)) continue;
    kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
  }
  return kept;
}

/** Response headers without those that concern one connection only. */
export function endToEndResponseHeaders(headers: ResponseHeaders): OutgoingHttpHeaders {
  return keepHeaders(headers, (name) => !HOP_BY_HOP_HEADERS.has(name));
}

/** A target's response headers; names of this protocol are dropped, since only daemons may use them. */
export function targetResponseHeaders(headers: ResponseHeaders): OutgoingHttpHeaders {
  return keepHeaders(
    headers,
    (name) => !HOP_BY_HOP_HEADERS.has(name) && !name.startsWith(PROTOCOL_PREFIX),
  );
}

function keepHeaders(
  headers: ResponseHeaders,
  keeps: (name: string) => boolean,
): OutgoingHttpHeaders {
  const kept: OutgoingHttpHeaders = {};
  for (const name of Object.keys(headers)) {
    const value = headers[name];
    if (value !== undefined && keeps(name)) kept[name] = value;
  }
  return kept;
}

/** The value of a header that must not be repeated. */
export function singleHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function connectionOptions(value: string | undefined): Set<string> | undefined {
  if (!value) return undefined;
  return new Set(value.split(',').map((option) => option.trim().toLowerCase()));
}
