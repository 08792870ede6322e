import {MedlarlaneError} from '@medlarlane/errors';
import {systemClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import type {Completion, AdaptiveLimit} from './adaptiveLimit.js';
import {QUEUE_ORDERS} from './queueOrder.js';
import type {QueueOrder} from './queueOrder.js';

export interface AdmissionQueueOptions {
  readonly limit: AdaptiveLimit;
  readonly order?: QueueOrder;
  /** Maximum number of waiting requests over all callers. Defaults to four times the slots. */
  readonly maxWaiting?: number;
  readonly clock?: Clock;
}

export interface AdmissionRequest {
  /** Identifies the caller; callers are served round-robin. */
  readonly callerId: string;
  /** Deadline on the monotonic clock. */
  readonly deadlineMs: number;
  readonly signal?: AbortSignal;
  /** Predicted duration; defaults to the smoothed duration of past requests. */
  readonly expectedMs?: number;
}

/** Permits one request in flight at the target. */
export interface Permit {
  readonly waitedMs: number;
  /** Releases the permit; further calls have no effect. */
  release(completion: Completion): void;
}

interface Waiter {
  readonly callerId: string;
  readonly enqueuedMs: number;
  readonly deadlineMs: number;
  readonly rank: number;
  readonly settle: (result: Permit | MedlarlaneError) => void;
}

const MAX_WAITING_PER_SLOT = 4;
const DURATION_SMOOTHING = 0.1;
// The limit grows during a cold start even if no request completes, so waiters are checked periodically.
const COLD_START_CHECK_MS = 20;
// Node.js fires timers above 2^31 - 1 ms immediately; the timer is rearmed if it fires early.
const MAX_SLEEP_MS = 60_000;

/** Admits requests to one target up to its adaptive limit and queues a bounded number of others. */
export class AdmissionQueue {
  private readonly limit: AdaptiveLimit;
  private readonly clock: Clock;
  private readonly rank: (typeof QUEUE_ORDERS)[QueueOrder];
  private readonly maxWaiting: number;
  /** Waiters of each caller, lowest rank first. The order of the map is the round-robin order. */
  private readonly queues = new Map<string, Waiter[]>();
  private waitingCount = 0;
  private inFlightCount = 0;
  private meanMs: number | undefined;
  private draining = false;
  private readonly drainResolvers: Array<() => void> = [];
  private timer?: {readonly dueMs: number; readonly abort: AbortController};

  constructor(opts: AdmissionQueueOptions) {
    this.limit = opts.limit;
    this.clock = opts.clock ?? systemClock;
    this.rank = QUEUE_ORDERS[opts.order ?? 'first-come'];
    this.maxWaiting = opts.maxWaiting ?? MAX_WAITING_PER_SLOT * opts.limit.slots;
  }

  get inFlight(): number {
    return this.inFlightCount;
  }

  get waiting(): number {
    return this.waitingCount;
  }

  get isDraining(): boolean {
    return this.draining;
  }

  /**
   * Resolves when the request may be sent to the target.
   * @throws MedlarlaneError `OVERLOADED`, `DEADLINE_EXCEEDED`, `DRAINING` or `CANCELLED`, each with
   *     ran `no`.
   */
  acquire(request: AdmissionRequest): Promise<Permit> {
    const refusal = this.findRefusal(request);
    if (refusal) return Promise.reject(refusal);
    this.dispatch();
    if (this.waitingCount === 0 && this.inFlightCount < this.limit.limit) {
      return Promise.resolve(this.grant(this.clock.nowMs()));
    }
    return this.enqueue(request);
  }

  /**
   * Refuses waiting and new requests with `DRAINING`, and resolves once no request is in flight.
   * Waiting requests have not run, so the entry daemon can send them to another target.
   */
  drain(): Promise<void> {
    this.draining = true;
    for (const waiter of [...this.queues.values()].flat()) {
      this.remove(waiter, new MedlarlaneError('DRAINING'));
    }
    if (this.inFlightCount === 0) return Promise.resolve();
    return new Promise((resolve) => this.drainResolvers.push(resolve));
  }

  /** Alias of `drain`. */
  close(): Promise<void> {
    return this.drain();
  }

  private findRefusal(request: AdmissionRequest): MedlarlaneError | undefined {
    if (this.draining) return new MedlarlaneError('DRAINING');
    if (request.signal?.aborted) return cancelled();
    if (request.deadlineMs <= this.clock.nowMs()) return new MedlarlaneError('DEADLINE_EXCEEDED');
    return undefined;
  }

  private enqueue(request: AdmissionRequest): Promise<Permit> {
    const nowMs = this.clock.nowMs();
    const predictedWaitMs = this.predictWaitMs(request.callerId);
    if (nowMs + predictedWaitMs > request.deadlineMs) {
      return Promise.reject(overloaded('Predicted wait exceeds the deadline', predictedWaitMs));
    }
    if (this.waitingCount >= this.maxWaiting && !this.evictForCaller(request.callerId)) {
      return Promise.reject(overloaded('Queue of the target is full', predictedWaitMs));
    }
    return new Promise((resolve, reject) => {
      const {callerId, deadlineMs, signal} = request;
      const onAbort = (): void => this.remove(waiter, cancelled());
      const waiter: Waiter = {
        callerId,
        deadlineMs,
        enqueuedMs: nowMs,
        rank: this.rank({
          enqueuedMs: nowMs,
          expectedMs: request.expectedMs ?? this.meanMs ?? 0,
        }),
        settle: (result) => {
          signal?.removeEventListener('abort', onAbort);
          if (result instanceof MedlarlaneError) reject(result);
          else resolve(result);
        },
      };
      signal?.addEventListener('abort', onAbort);
      this.insert(waiter);
      this.armTimer();
    });
  }

  /** Predicts the wait of a new request of this caller, with callers served round-robin. */
  private predictWaitMs(callerId: string): number {
    if (this.meanMs === undefined) return 0;
    const ownCount = this.queues.get(callerId)?.length ?? 0;
    let aheadCount = ownCount;
    for (const [otherId, queue] of this.queues) {
      if (otherId !== callerId) aheadCount += Math.min(queue.length, ownCount + 1);
    }
    return ((aheadCount + 1) * this.meanMs) / this.limit.limit;
  }

  /** Evicts the last waiter of the longest queue if that queue is longer than the caller's own. */
  private evictForCaller(callerId: string): boolean {
    const ownCount = this.queues.get(callerId)?.length ?? 0;
    let longest: Waiter[] = [];
    for (const queue of this.queues.values()) if (queue.length > longest.length) longest = queue;
    const last = longest.at(-1);
    if (!last || longest.length <= ownCount + 1) return false;
    this.remove(last, overloaded('Queue of the target is full', 0));
    return true;
  }

  private insert(waiter: Waiter): void {
    let queue = this.queues.get(waiter.callerId);
    if (!queue) this.queues.set(waiter.callerId, (queue = []));
    let index = queue.length;
    while (index > 0 && (queue[index - 1]?.rank ?? 0) > waiter.rank) index -= 1;
    queue.splice(index, 0, waiter);
    this.waitingCount += 1;
  }

  private remove(waiter: Waiter, result: Permit | MedlarlaneError): void {
    const queue = this.queues.get(waiter.callerId);
    const index = queue?.indexOf(waiter) ?? -1;
    if (!queue || index < 0) return;
    queue.splice(index, 1);
    if (queue.length === 0) this.queues.delete(waiter.callerId);
    this.waitingCount -= 1;
    if (this.waitingCount === 0) this.stopTimer();
    waiter.settle(result);
  }

  private dispatch(): void {
    while (this.waitingCount > 0 && this.inFlightCount < this.limit.limit) {
      const waiter = this.rotateToNextWaiter();
      if (!waiter) return;
      if (waiter.deadlineMs <= this.clock.nowMs()) {
        this.remove(waiter, new MedlarlaneError('DEADLINE_EXCEEDED'));
      } else {
        this.remove(waiter, this.grant(waiter.enqueuedMs));
      }
    }
  }

  /** Returns the first waiter of the next caller and moves the caller to the end of the order. */
  private rotateToNextWaiter(): Waiter | undefined {
    for (const [callerId, queue] of this.queues) {
      this.queues.delete(callerId);
      this.queues.set(callerId, queue);
      return queue[0];
    }
    return undefined;
  }

  private grant(enqueuedMs: number): Permit {
    this.inFlightCount += 1;
    let isHeld = true;
    return {
      waitedMs: this.clock.nowMs() - enqueuedMs,
      release: (completion) => {
        if (!isHeld) return;
        isHeld = false;
        this.handleCompletion(completion);
      },
    };
  }

  private handleCompletion(completion: Completion): void {
    this.limit.record(completion, this.inFlightCount);
    this.inFlightCount -= 1;
    if (completion.outcome !== 'unsent' && completion.outcome !== 'cancelled') {
      const {durationMs} = completion;
      this.meanMs ??= durationMs;
      this.meanMs += (durationMs - this.meanMs) * DURATION_SMOOTHING;
    }
    this.dispatch();
    if (this.inFlightCount === 0) for (const resolve of this.drainResolvers.splice(0)) resolve();
  }

  /** Arms the shared timer for the earliest deadline of all waiters, or sooner during a cold start. */
  private armTimer(): void {
    if (this.waitingCount === 0) return;
    const nowMs = this.clock.nowMs();
    let dueMs = nowMs + (this.limit.isRampingUp ? COLD_START_CHECK_MS : MAX_SLEEP_MS);
    for (const queue of this.queues.values()) {
      for (const {deadlineMs} of queue) dueMs = Math.min(dueMs, deadlineMs);
    }
    if (this.timer && this.timer.dueMs <= dueMs) return;
    this.stopTimer();
    const abort = new AbortController();
    this.timer = {dueMs, abort};
    this.clock.sleep(Math.max(0, dueMs - nowMs), {signal: abort.signal}).then(
      () => {
        if (this.timer?.abort !== abort) return;
        delete this.timer;
        this.expireWaiters();
        this.dispatch();
        this.armTimer();
      },
      () => undefined,
    );
  }

  private stopTimer(): void {
    this.timer?.abort.abort();
    delete this.timer;
  }

  private expireWaiters(): void {
    const nowMs = this.clock.nowMs();
    for (const waiter of [...this.queues.values()].flat()) {
      if (waiter.deadlineMs <= nowMs) this.remove(waiter, new MedlarlaneError('DEADLINE_EXCEEDED'));
    }
  }
}

function cancelled(): MedlarlaneError {
  return new MedlarlaneError('CANCELLED', 'Caller cancelled the request while it was queued', {
    ran: 'no',
  });
}

function overloaded(message: string, predictedWaitMs: number): MedlarlaneError {
  return new MedlarlaneError('OVERLOADED', message, {
    details: {predictedWaitMs: Math.round(predictedWaitMs)},
  });
}
