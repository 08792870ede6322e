import type {IncomingHttpHeaders} from 'node:http';
import {z} from 'zod';
import type {ErrorCode} from '@medlarlane/errors';

/** What the daemon beside a target needs to know to admit a request. */
export const offerSchema = z.object({
  requestId: z.string(),
  service: z.string(),
  /** Life of the target that the sender chose. */
  life: z.string(),
  route: z.string(),
  priority: z.number(),
  /** What remains until an answer loses worth, and until nobody waits for it. */
  targetLeftMs: z.number(),
  deadlineLeftMs: z.number(),
  /** Set for services whose targets own keys. */
  key: z.int().optional(),
  /** Service beside which the request began. */
  callerService: z.string(),
});
export type Offer = z.infer<typeof offerSchema>;

/** The request itself; headers are a flat list of names and values. */
export const requestFrameSchema = z.object({
  method: z.string(),
  path: z.string(),
  headers: z.array(z.string()),
  body: z.instanceof(Uint8Array),
});
export interface RequestFrame extends Omit<z.infer<typeof requestFrameSchema>, 'body'> {
  readonly body: Uint8Array;
}

/** The whole answer of a target. */
export interface TargetAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** Load of the target as its daemon sees it, sent along with each result. */
export interface GateLoad {
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
  | {readonly kind: 'answered'; readonly answer: TargetAnswer; readonly load?: GateLoad}
  | {
      readonly kind: 'refused' | 'rejected';
      readonly code: ErrorCode;
      readonly retryAfterMs?: number;
      readonly load?: GateLoad;
    }
  | {readonly kind: 'lost'; readonly code: ErrorCode; readonly load?: GateLoad};

/** How requests and answers look towards targets. */
export interface TargetWire {
  /** Headers that the daemon sets on a request to a target. */
  requestHeaders(opts: {
    requestId: string;
    deadlineLeftMs: number;
    targetId: string;
    callerService: string;
  }): string[];
  /** What the headers of an answer say. */
  readAnswer(headers: IncomingHttpHeaders): {
    requestId: string | undefined;
    /** The target promises that it did not run the request. */
    notRun: boolean;
    /** The target vouches for the answer. */
    sealed: boolean;
  };
}

/** How requests and answers look towards callers. */
export interface CallerWire {
  /** Lower-case names of headers that callers may not set for targets. */
  readonly reservedHeaders: ReadonlySet<string>;
  readRequest(headers: IncomingHttpHeaders): {
    requestId: string | undefined;
    timeLeftMs: number | undefined;
    key: number | undefined;
  };
  refusalHeaders(opts: {requestId: string | undefined; retryAfterMs: number | undefined}): string[];
}
