/** What an order sees of a waiting request. */
export interface QueuedRequest {
  readonly enqueuedMs: number;
  /** Predicted duration. */
  readonly expectedMs: number;
}

/**
 * Credit per millisecond of waiting. A request that is predicted to take E ms is overtaken only by
 * requests that arrive within E / AGEING_RATE ms after it, so no request starves. At 0.25 long
 * requests waited until their deadline; figures in docs/decisions/queue-order.md.
 */
export const AGEING_RATE = 4;

/** Orders within a queue: the request with the lowest rank runs first, equal ranks by arrival. */
export const QUEUE_ORDERS = {
  'first-come': ({enqueuedMs}: QueuedRequest) => enqueuedMs,
  // Subtracting the credit AGEING_RATE * (now - enqueuedMs) gives the same order at every moment.
  'shortest-predicted-first': ({enqueuedMs, expectedMs}: QueuedRequest) =>
    expectedMs + AGEING_RATE * enqueuedMs,
} as const satisfies Record<string, (request: QueuedRequest) => number>;

export type QueueOrder = keyof typeof QUEUE_ORDERS;
