import {MedlarlaneError} from '@medlarlane/errors';
import type {Clock} from '@medlarlane/lifecycle';

export interface SlotQueueOptions {
  /** Requests that the target works on at once. */
  readonly slots: number;
  readonly clock: Clock;
}

export interface SlotRequest {
  /** Name under which durations are learned, for example the route. */
  readonly kind: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Until then an answer is worth most; on the monotonic clock. */
  readonly targetAtMs: number;
  /** After that nobody waits for the answer; on the monotonic clock. */
  readonly deadlineAtMs: number;
  readonly signal?: AbortSignal;
}

/** The right to have one request in flight at the target. */
export interface SlotPermit {
  readonly waitedMs: number;
  /** Gives the slot back. `workMs` teaches the duration; absent when the target did no work. */
  release(workMs?: number): void;
}

interface Waiter extends SlotRequest {
  readonly enqueuedAtMs: number;
  readonly settle: (result: SlotPermit | MedlarlaneError) => void;
}

/** Weight of a new duration in the smoothed one. */
const DURATION_SMOOTHING = 0.08;
/** Before anything is learned. */
const INITIAL_DURATION_MS = 50;
/** The queue is checked against its deadlines at this period while something waits. */
const CHECK_MS = 25;

/**
 * Admits requests to the slots of one target. A request waits only while it can still be answered
 * within its target latency behind the more urgent ones; otherwise it is refused at once, so that
 * its caller can turn elsewhere. Under overload the target thus spends its slots on answers in time.
 */
export class SlotQueue {
  private readonly slots: number;
  private readonly clock: Clock;
  /** Most urgent first, then those whose target latency ends first. */
  private waiters: Waiter[] = [];
  private inFlightCount = 0;
  private readonly durationMs = new Map<string, number>();
  private meanDurationMs = INITIAL_DURATION_MS;
  private timer: NodeJS.Timeout | undefined;

  constructor(opts: SlotQueueOptions) {
    this.slots = Math.max(1, opts.slots);
    this.clock = opts.clock;
  }

  get inFlight(): number {
    return this.inFlightCount;
  }

  get waiting(): number {
    return this.waiters.length;
  }

  get slotCount(): number {
    return this.slots;
  }

  /** Smoothed duration of a request at the target, over all kinds. */
  get meanMs(): number {
    return this.meanDurationMs;
  }

  /**
   * Resolves when the request may be sent to the target.
   * @throws MedlarlaneError `OVERLOADED` with `retryAfterMs`, `DEADLINE_EXCEEDED` or `CANCELLED`,
   *     each with ran `no`.
   */
  acquire(request: SlotRequest): Promise<SlotPermit> {
    if (request.signal?.aborted) return Promise.reject(cancelled());
    const nowMs = this.clock.nowMs();
    if (request.deadlineAtMs <= nowMs) return Promise.reject(expired());
    if (this.inFlightCount < this.slots && this.waiters.length === 0) {
      return Promise.resolve(this.grant(nowMs));
    }
    const ahead = this.waiters.filter((waiter) => !isBefore(request, waiter)).length;
    const startAtMs = nowMs + this.predictedWaitMs(ahead);
    if (!this.meetsTarget(request, startAtMs)) {
      return Promise.reject(this.overloaded());
    }
    return new Promise((resolve, reject) => {
      const {signal} = request;
      const onAbort = (): void => this.remove(waiter, cancelled());
      const waiter: Waiter = {
        ...request,
        enqueuedAtMs: nowMs,
        settle: (result) => {
          signal?.removeEventListener('abort', onAbort);
          if (result instanceof MedlarlaneError) reject(result);
          else resolve(result);
        },
      };
      signal?.addEventListener('abort', onAbort, {once: true});
      this.insert(waiter);
      this.refuseLate();
      this.armTimer();
    });
  }

  /** Refuses everything that waits; it can run elsewhere. */
  refuseWaiting(refusal: MedlarlaneError): void {
    for (const waiter of [...this.waiters]) this.remove(waiter, refusal);
  }

  private predictedWaitMs(ahead: number): number {
    return ((ahead + 1) * this.meanDurationMs) / this.slots;
  }

  private meetsTarget(request: SlotRequest, startAtMs: number): boolean {
    const expectedMs = this.durationMs.get(request.kind) ?? this.meanDurationMs;
    return startAtMs + expectedMs <= request.targetAtMs;
  }

  /** Refuses what can no longer be answered in time because more urgent requests came. */
  private refuseLate(): void {
    const nowMs = this.clock.nowMs();
    let ahead = 0;
    for (const waiter of [...this.waiters]) {
      if (this.meetsTarget(waiter, nowMs + this.predictedWaitMs(ahead))) ahead += 1;
      else this.remove(waiter, this.overloaded());
    }
  }

  private overloaded(): MedlarlaneError {
    const retryAfterMs = Math.round(this.predictedWaitMs(this.waiters.length));
    return new MedlarlaneError('OVERLOADED', undefined, {details: {retryAfterMs}});
  }

  private insert(waiter: Waiter): void {
    let place = this.waiters.length;
    while (place > 0 && isBefore(waiter, this.waiters[place - 1]!)) place -= 1;
    this.waiters.splice(place, 0, waiter);
  }

  private remove(waiter: Waiter, result: SlotPermit | MedlarlaneError): void {
    const place = this.waiters.indexOf(waiter);
    if (place < 0) return;
    this.waiters.splice(place, 1);
    waiter.settle(result);
  }

  private dispatch(): void {
    while (this.waiters.length > 0 && this.inFlightCount < this.slots) {
      const [waiter] = this.waiters;
      this.remove(waiter!, this.grant(waiter!.enqueuedAtMs));
    }
  }

  private grant(enqueuedAtMs: number): SlotPermit {
    this.inFlightCount += 1;
    let held = true;
    return {
      waitedMs: this.clock.nowMs() - enqueuedAtMs,
      release: (workMs) => {
        if (!held) return;
        held = false;
        this.inFlightCount -= 1;
        if (workMs !== undefined) this.meanDurationMs = smooth(this.meanDurationMs, workMs);
        this.dispatch();
      },
    };
  }

  /** Learns how long requests of a kind take at the target. */
  learn(kind: string, workMs: number): void {
    this.durationMs.set(kind, smooth(this.durationMs.get(kind) ?? workMs, workMs));
  }

  private armTimer(): void {
    if (this.timer || this.waiters.length === 0) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.refuseLate();
      this.armTimer();
    }, CHECK_MS);
  }
}

/** Among equals the one whose answer loses worth first; calls of targets have the shortest times. */
function isBefore(a: SlotRequest, b: SlotRequest): boolean {
  return a.priority < b.priority || (a.priority === b.priority && a.targetAtMs < b.targetAtMs);
}

function smooth(current: number, next: number): number {
  return current + (next - current) * DURATION_SMOOTHING;
}

function cancelled(): MedlarlaneError {
  return new MedlarlaneError('CANCELLED', 'Caller cancelled the request while it waited', {
    ran: 'no',
  });
}

function expired(): MedlarlaneError {
  return new MedlarlaneError('DEADLINE_EXCEEDED');
}
