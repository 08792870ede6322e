import type {IncomingHttpHeaders} from 'node:http';
import type {TargetNotice} from '@medlarlane/key-holds';
import {MedlarlaneError} from '@medlarlane/errors';
import type {ErrorCode} from '@medlarlane/errors';
import type {ResponseStream} from './responseStream.js';

/** The properties of a request that the daemon of a target needs for its admission decision. */
export interface Offer {
  readonly requestId: string;
  readonly service: string;
  /** Incarnation of the target that the sender selected. */
  readonly life: string;
  readonly route: string;
  readonly priority: number;
  /** Time left until the latency target and until the deadline. */
  readonly targetLeftMs: number;
  readonly deadlineLeftMs: number;
  /** Whether a late response is acceptable if the latency target cannot be met. */
  readonly acceptLate: boolean;
  /** Maximum predicted wait for a slot, beyond which the sender tries another target. */
  readonly maxWaitMs: number;
  /** Present for services whose targets own keys. */
  readonly key?: number;
  /** Service from which the request originated. */
  readonly callerService: string;
}

/** Number of fields of an encoded offer. */
export const OFFER_FIELD_COUNT = 11;

/** Encodes an offer as an array, which is cheaper to encode and decode than a map. */
export function encodeOffer(offer: Offer): unknown[] {
  return [
    offer.requestId,
    offer.service,
    offer.life,
    offer.route,
    offer.priority,
    offer.targetLeftMs,
    offer.deadlineLeftMs,
    offer.acceptLate,
    offer.key ?? null,
    offer.callerService,
    offer.maxWaitMs,
  ];
}

/**
 * Decodes an offer. Its remaining times are reduced by `waitedMs`, the time it waited to be read.
 * @throws MedlarlaneError `REQUEST_INVALID`.
 */
export function decodeOffer(fields: readonly unknown[], opts: {waitedMs: number}): Offer {
  const [requestId, service, life, route, priority, targetLeftMs, deadlineLeftMs] = fields;
  const [acceptLate, key, callerService, maxWaitMs] = fields.slice(7);
  const strings = [requestId, service, life, route, callerService];
  const times = [targetLeftMs, deadlineLeftMs, maxWaitMs];
  const numbers = [priority, ...times, ...(key === null ? [] : [key])];
  if (!strings.every(isString) || !numbers.every(Number.isFinite)) {
    throw new MedlarlaneError('REQUEST_INVALID', 'Offer has fields of unexpected types');
  }
  return {
    requestId: requestId as string,
    service: service as string,
    life: life as string,
    route: route as string,
    priority: priority as number,
    targetLeftMs: (targetLeftMs as number) - opts.waitedMs,
    deadlineLeftMs: (deadlineLeftMs as number) - opts.waitedMs,
    acceptLate: acceptLate === true,
    maxWaitMs: maxWaitMs as number,
    ...(key === null ? {} : {key: key as number}),
    callerService: callerService as string,
  };
}

/** Decodes a request. @throws MedlarlaneError `REQUEST_INVALID`. */
export function decodeFrame(fields: readonly unknown[]): RequestFrame {
  const [method, path, headers, body] = fields;
  const isValid =
    isString(method) && isString(path) && Array.isArray(headers) && body instanceof Uint8Array;
  if (!isValid)
    throw new MedlarlaneError('REQUEST_INVALID', 'Request has fields of unexpected types');
  return {method, path, headers: headers as string[], body};
}

function isString(value: unknown): value is string {
  return typeof value === 'string';
}

/** A request as forwarded to a target; headers are a flat list of names and values. */
export interface RequestFrame {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** The response of a target, whose body is either complete or still being received. */
export interface TargetResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Uint8Array | ResponseStream;
}

/** Load of a target as measured by its daemon, included in each result. */
export interface TargetLoad {
  readonly inFlight: number;
  readonly waiting: number;
  readonly slots: number;
  readonly meanMs: number;
  /** Requests per second that the target accepts; absent if it names no limit. */
  readonly rateLimitRps?: number | undefined;
  /** Factor by which work takes longer now than when `meanMs` was measured; absent if not stated recently. */
  readonly slowdown?: number | undefined;
  /** Slots in use while the target starts slowly or recovers; absent if all are. */
  readonly pacedSlots?: number | undefined;
}

/**
 * Result of an offered request. `refused` means that it was not sent to the target, `rejected` that the
 * target rejected it without running it, `lost` that it was sent and may have run.
 */
export type RunResult =
  | {readonly kind: 'answered'; readonly answer: TargetResponse; readonly load?: TargetLoad}
  | {
      readonly kind: 'refused' | 'rejected';
      readonly code: ErrorCode;
      readonly retryAfterMs?: number;
      readonly load?: TargetLoad;
    }
  | {readonly kind: 'lost'; readonly code: ErrorCode; readonly load?: TargetLoad};

/** Encodes a result whose body is sent in chunks: its length takes the place of the body. */
export function encodeStreamHead(result: RunResult, {lengthBytes}: ResponseStream): unknown {
  if (result.kind !== 'answered') return result;
  const {status, headers} = result.answer;
  return {...result, answer: {status, headers, lengthBytes}};
}

/** Returns the length of the body that follows in chunks; `undefined` if the result is complete. */
export function streamedBodyLength(result: RunResult): number | undefined {
  if (result.kind !== 'answered') return undefined;
  const {lengthBytes} = result.answer as {lengthBytes?: unknown};
  return typeof lengthBytes === 'number' ? lengthBytes : undefined;
}

/** What the headers of a target's response say. */
export interface TargetResponseFields {
  readonly requestId: string | undefined;
  /** Whether the target guarantees that it did not run the request. */
  readonly notExecuted: boolean;
  /** Whether the response carries the signature of the target. */
  readonly sealed: boolean;
  /** What the target states about itself. */
  readonly notice: TargetNotice;
  /** The responding target and the time for which it stays cold, in responses to health checks. */
  readonly targetId?: string | undefined;
  readonly coldLeftMs?: number | undefined;
}

/** Response of a target to a health check. */
export interface TargetHealth {
  readonly isHealthy: boolean;
  readonly targetId: string | undefined;
  /** Time for which the target stays cold; `undefined` if it does not state it. */
  readonly coldLeftMs: number | undefined;
}

/** Maps request and response properties to the HTTP headers exchanged with targets. */
export interface TargetHeaderCodec {
  /** Headers that the daemon sets on a request to a target. */
  requestHeaders(opts: {
    requestId: string;
    deadlineLeftMs: number;
    targetId: string;
    callerService: string;
  }): string[];
  /** Reads the headers of a response. */
  readResponse(headers: IncomingHttpHeaders): TargetResponseFields;
}

/** Maps request and response properties to the HTTP headers exchanged with callers. */
export interface CallerHeaderCodec {
  /** Lower-case names of caller headers that are not forwarded to targets. */
  readonly reservedHeaders: ReadonlySet<string>;
  readRequest(headers: IncomingHttpHeaders): {
    requestId: string | undefined;
    timeLeftMs: number | undefined;
    key: number | undefined;
  };
  refusalHeaders(opts: {requestId: string | undefined; retryAfterMs: number | undefined}): string[];
}
