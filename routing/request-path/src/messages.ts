import type {IncomingHttpHeaders} from 'node:http';
import {MedlarlaneError} from '@medlarlane/errors';
import type {ErrorCode} from '@medlarlane/errors';

/** What the daemon beside a target needs to know to admit a request. */
export interface Offer {
  readonly requestId: string;
  readonly service: string;
  /** Life of the target that the sender chose. */
  readonly life: string;
  readonly route: string;
  readonly priority: number;
  /** What remains until an answer loses worth, and until nobody waits for it. */
  readonly targetLeftMs: number;
  readonly deadlineLeftMs: number;
  /** Whether to wait for an answer after its target latency when there is none in time. */
  readonly acceptLate: boolean;
  /** Longest wait for a slot; the sender would rather ask another target than wait longer. */
  readonly maxWaitMs: number;
  /** Set for services whose targets own keys. */
  readonly key?: number;
  /** Service beside which the request began. */
  readonly callerService: string;
}

/** Number of fields that an offer has on the wire. */
export const OFFER_FIELDS = 11;

/** An offer by position, which is cheaper to write and read than one with names. */
export function writeOffer(offer: Offer): unknown[] {
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
 * Reads an offer that waited unread for `waitedMs`, which its times left are reduced by.
 * @throws MedlarlaneError `REQUEST_INVALID`.
 */
export function readOffer(fields: readonly unknown[], opts: {waitedMs: number}): Offer {
  const [requestId, service, life, route, priority, targetLeftMs, deadlineLeftMs] = fields;
  const [acceptLate, key, caller, maxWaitMs] = fields.slice(7);
  const texts = [requestId, service, life, route, caller];
  const times = [targetLeftMs, deadlineLeftMs, maxWaitMs];
  const numbers = [priority, ...times, ...(key === null ? [] : [key])];
  if (!texts.every(isText) || !numbers.every(Number.isFinite)) {
    throw new MedlarlaneError('REQUEST_INVALID', 'Offer with fields of other types');
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
    callerService: caller as string,
  };
}

/** @throws MedlarlaneError `REQUEST_INVALID`. */
export function readFrame(fields: readonly unknown[]): RequestFrame {
  const [method, path, headers, body] = fields;
  const valid =
    isText(method) && isText(path) && Array.isArray(headers) && body instanceof Uint8Array;
  if (!valid) throw new MedlarlaneError('REQUEST_INVALID', 'Request with fields of other types');
  return {method, path, headers: headers as string[], body};
}

function isText(value: unknown): value is string {
  return typeof value === 'string';
}

/** The request itself; headers are a flat list of names and values. */
export interface RequestFrame {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** The whole answer of a target. */
export interface TargetResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** Load of the target as its daemon sees it, sent along with each result. */
export interface TargetLoad {
  readonly inFlight: number;
  readonly waiting: number;
  readonly slots: number;
  readonly meanMs: number;
}

/**
 * What became of an offered request. `refused` never reached the target, `rejected` was turned away
 * by the target without running, `lost` was sent and may have run.
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

/** How requests and answers look towards targets. */
export interface TargetHeaderCodec {
  /** Headers that the daemon sets on a request to a target. */
  requestHeaders(opts: {
    requestId: string;
    deadlineLeftMs: number;
    targetId: string;
    callerService: string;
  }): string[];
  /** What the headers of an answer say. */
  readResponse(headers: IncomingHttpHeaders): {
    requestId: string | undefined;
    /** The target promises that it did not run the request. */
    notExecuted: boolean;
    /** The target vouches for the answer. */
    sealed: boolean;
  };
}

/** How requests and answers look towards callers. */
export interface CallerHeaderCodec {
  /** Lower-case names of headers that callers may not set for targets. */
  readonly reservedHeaders: ReadonlySet<string>;
  readRequest(headers: IncomingHttpHeaders): {
    requestId: string | undefined;
    timeLeftMs: number | undefined;
    key: number | undefined;
  };
  refusalHeaders(opts: {requestId: string | undefined; retryAfterMs: number | undefined}): string[];
}
