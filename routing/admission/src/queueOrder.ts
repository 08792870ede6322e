/** Properties of a waiting request that determine its rank. */
export interface QueuedRequest {
  readonly enqueuedMs: number;
  /** Predicted duration. */
  readonly expectedMs: number;
}

/**
 * Credit per millisecond of waiting. A request with a predicted duration of E ms is only overtaken by
 * requests that arrive within E / AGEING_RATE ms after it, which prevents starvation. At a rate of
 * 0.25, long requests waited until their deadline; see docs/decisions/queue-order.md.
 */
export const AGEING_RATE = 4;

/** Rank functions. The request with the lowest rank runs first; ties are resolved by arrival. */
export const QUEUE_ORDERS = {
  'first-come': ({enqueuedMs}: QueuedRequest) => enqueuedMs,
  // Equivalent to subtracting the credit AGEING_RATE * (now - enqueuedMs), because the order does not
  // depend on the current time.
  'shortest-predicted-first': ({enqueuedMs, expectedMs}: QueuedRequest) =>
    expectedMs + AGEING_RATE * enqueuedMs,
} as const satisfies Record<string, (request: QueuedRequest) => number>;

export type QueueOrder = keyof typeof QUEUE_ORDERS;
