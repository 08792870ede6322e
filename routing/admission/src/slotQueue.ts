import {MedlarlaneError} from '@medlarlane/errors';
import type {Clock} from '@medlarlane/lifecycle';

export interface SlotQueueOptions {
  /** Requests that the target works on at once. */
  readonly slots: number;
  readonly clock: Clock;
}

export interface SlotRequest {
  /** Name under which durations are learned, for example the route. */
  readonly requestClass: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Until then an answer is worth most; on the monotonic clock. */
  readonly latencyTargetAtMs: number;
  /** After that nobody waits for the answer; on the monotonic clock. */
  readonly deadlineAtMs: number;
  /** Whether to wait for an answer after `targetAtMs` when there is none in time. */
  readonly acceptLate?: boolean;
  /** Longest wait for a slot that is worth it, because other targets may be free; none without it. */
  readonly maxWaitMs?: number;
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

const MS_PER_S = 1_000;
/** Weight of a new duration in the smoothed one. */
const DURATION_SMOOTHING = 0.08;
/** Before anything is learned: the least guess, and a part of the time to the target latency. */
const INITIAL_DURATION_MS = 50;
const GUESSED_TARGET_SHARE = 0.3;
/** Time over which the rate of requests in time is measured. */
const RATE_MEMORY_MS = 1_000;
/** With a smaller part of the slots left, late requests would mostly wait in vain. */
const MIN_LATE_SHARE = 0.08;
/** A prediction this much before the deadline leaves room for work that takes longer than usual. */
const LATE_MARGIN = 0.15;
/** Parts of the time left after which refused callers are asked to come back. */
const MIN_RETURN_SHARE = 0.25;
const MAX_RETURN_SHARE = 0.5;
/** The queue is checked against its deadlines at this period while something waits. */
const CHECK_MS = 25;

/**
 * Admits requests to the slots of one target. A request waits while it can still be answered within its
 * target latency behind the more urgent ones. One that cannot is refused at once, so that its caller can
 * turn elsewhere, or, where a late answer is wanted, waits for slots that requests in time leave free.
 * Under overload the target thus spends its slots on answers in time.
 */
export class SlotQueue {
  private readonly slots: number;
  private readonly clock: Clock;
  /** Most urgent first, then those whose target latency ends first. */
  private waiters: Waiter[] = [];
  /** Those that will be answered late at best, the most urgent first. */
  private lateWaiters: Waiter[] = [];
  /** Requests per second that were taken to be answered in time, as of `ratedAtMs`. */
  private timelyRps = 0;
  private ratedAtMs = -Infinity;
  private inFlightCount = 0;
  private readonly durationMs = new Map<string, number>();
  private learnedMs = INITIAL_DURATION_MS;
  private learnedCount = 0;
  /** Sum of the moments at which the requests in flight began. */
  private startSumMs = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(opts: SlotQueueOptions) {
    this.slots = Math.max(1, opts.slots);
    this.clock = opts.clock;
  }

  get inFlight(): number {
    return this.inFlightCount;
  }

  get waiting(): number {
    return this.waiters.length + this.lateWaiters.length;
  }

  get slotCount(): number {
    return this.slots;
  }

  /** Smoothed duration of a request at the target, over all kinds. */
  get meanMs(): number {
    // Until as many have ended as run at once, those that run tell more: each takes longer than so far.
    if (this.learnedCount >= this.slots || this.inFlightCount === 0) return this.learnedMs;
    const ageMs = this.clock.nowMs() - this.startSumMs / this.inFlightCount;
    return Math.max(this.learnedMs, ageMs);
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
    if (this.learnedCount === 0) this.learnedMs = this.guessMs(request, nowMs);
    if (this.inFlightCount < this.slots && this.waiters.length === 0) {
      this.countTimely(nowMs);
      return Promise.resolve(this.grant(nowMs));
    }
    const ahead = this.waiters.filter((waiter) => !isBefore(request, waiter)).length;
    const waitMs = this.predictedWaitMs(ahead);
    const timely = this.meetsTarget(request, nowMs + waitMs);
    const tooLong = waitMs > (request.maxWaitMs ?? Infinity);
    if (tooLong || (!timely && !this.meetsDeadline(request, nowMs, this.lateAhead(request)))) {
      return Promise.reject(this.overloaded(request));
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
      if (timely) {
        this.countTimely(nowMs);
        insert(this.waiters, waiter, isBefore);
      } else {
        insert(this.lateWaiters, waiter, endsBefore);
      }
      this.reviewWaiting();
      this.armTimer();
    });
  }

  /** Refuses everything that waits; it can run elsewhere. */
  refuseQueued(refusal: MedlarlaneError): void {
    for (const waiter of [...this.waiters, ...this.lateWaiters]) this.remove(waiter, refusal);
  }

  private predictedWaitMs(ahead: number): number {
    return ((ahead + 1) * this.meanMs) / this.slots;
  }

  private meetsTarget(request: SlotRequest, startAtMs: number): boolean {
    return startAtMs + this.expectedMs(request) <= request.latencyTargetAtMs;
  }

  /** Whether a late answer is wanted and likely before the deadline, `ahead` other late ones first. */
  private meetsDeadline(request: SlotRequest, nowMs: number, ahead: number): boolean {
    if (!request.acceptLate) return false;
    const freeShare = 1 - (this.rateAt(nowMs) * this.meanMs) / (this.slots * MS_PER_S);
    if (freeShare < MIN_LATE_SHARE) return false;
    const waitMs =
      this.predictedWaitMs(this.waiters.length) + this.predictedWaitMs(ahead) / freeShare;
    const leftMs = (request.deadlineAtMs - nowMs) * (1 - LATE_MARGIN);
    return waitMs + this.expectedMs(request) <= leftMs;
  }

  private expectedMs({requestClass: kind}: SlotRequest): number {
    return this.durationMs.get(kind) ?? this.meanMs;
  }

  private lateAhead(request: SlotRequest): number {
    return this.lateWaiters.filter((waiter) => !endsBefore(request, waiter)).length;
  }

  private rateAt(nowMs: number): number {
    return this.timelyRps * Math.exp((this.ratedAtMs - nowMs) / RATE_MEMORY_MS);
  }

  private countTimely(nowMs: number): void {
    this.timelyRps = this.rateAt(nowMs) + MS_PER_S / RATE_MEMORY_MS;
    this.ratedAtMs = nowMs;
  }

  /** Moves or refuses what can no longer be answered as promised because more urgent requests came. */
  private reviewWaiting(): void {
    const nowMs = this.clock.nowMs();
    let ahead = 0;
    for (const waiter of [...this.waiters]) {
      if (this.meetsTarget(waiter, nowMs + this.predictedWaitMs(ahead))) {
        ahead += 1;
      } else if (waiter.acceptLate) {
        this.waiters.splice(this.waiters.indexOf(waiter), 1);
        insert(this.lateWaiters, waiter, endsBefore);
      } else {
        this.remove(waiter, this.overloaded(waiter));
      }
    }
    ahead = 0;
    for (const waiter of [...this.lateWaiters]) {
      if (this.meetsDeadline(waiter, nowMs, ahead)) ahead += 1;
      else this.remove(waiter, this.overloaded(waiter));
    }
  }

  private overloaded(request: SlotRequest): MedlarlaneError {
    const drainedMs = this.predictedWaitMs(this.waiting);
    const retryAfterMs = Math.round(Math.max(drainedMs, this.returnAfterMs(request)));
    return new MedlarlaneError('OVERLOADED', undefined, {details: {retryAfterMs}});
  }

  /**
   * A part of the time in which the caller can still be served in time, or before its deadline. An
   * overload outlasts the queue, so that a caller that comes back as soon as the queue has drained is
   * mostly refused again; callers that come back at different moments do not form a new crowd.
   */
  private returnAfterMs(request: SlotRequest): number {
    const nowMs = this.clock.nowMs();
    const expectedMs = this.expectedMs(request);
    const timelyMs = request.latencyTargetAtMs - nowMs - expectedMs;
    const usableMs = timelyMs > 0 ? timelyMs : request.deadlineAtMs - nowMs - expectedMs;
    const share = MIN_RETURN_SHARE + Math.random() * (MAX_RETURN_SHARE - MIN_RETURN_SHARE);
    return Math.max(0, usableMs) * share;
  }

  private remove(waiter: Waiter, result: SlotPermit | MedlarlaneError): void {
    for (const list of [this.waiters, this.lateWaiters]) {
      const place = list.indexOf(waiter);
      if (place < 0) continue;
      list.splice(place, 1);
      waiter.settle(result);
    }
  }

  private dispatch(): void {
    while (this.inFlightCount < this.slots) {
      const waiter = this.waiters[0] ?? this.lateWaiters[0];
      if (!waiter) return;
      this.remove(waiter, this.grant(waiter.enqueuedAtMs));
    }
  }

  private grant(enqueuedAtMs: number): SlotPermit {
    this.inFlightCount += 1;
    const startedAtMs = this.clock.nowMs();
    this.startSumMs += startedAtMs;
    let held = true;
    return {
      waitedMs: startedAtMs - enqueuedAtMs,
      release: (workMs) => {
        if (!held) return;
        held = false;
        this.inFlightCount -= 1;
        this.startSumMs -= startedAtMs;
        if (workMs !== undefined) this.learnMean(workMs);
        this.dispatch();
      },
    };
  }

  /** Before anything is known: operators set a target latency at some times the usual duration. */
  private guessMs(request: SlotRequest, nowMs: number): number {
    const guessedMs = (request.latencyTargetAtMs - nowMs) * GUESSED_TARGET_SHARE;
    return Math.max(this.learnedMs, guessedMs);
  }

  private learnMean(workMs: number): void {
    this.learnedCount += 1;
    // The first durations count alike, whatever was guessed before.
    const weight = Math.max(DURATION_SMOOTHING, 1 / this.learnedCount);
    this.learnedMs += (workMs - this.learnedMs) * weight;
  }

  /** Learns how long requests of a kind take at the target. */
  recordDuration(kind: string, workMs: number): void {
    this.durationMs.set(kind, smooth(this.durationMs.get(kind) ?? workMs, workMs));
  }

  private armTimer(): void {
    if (this.timer || this.waiting === 0) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.reviewWaiting();
      this.armTimer();
    }, CHECK_MS);
  }
}

/** Among equals the one whose answer loses worth first; calls of targets have the shortest times. */
function isBefore(a: SlotRequest, b: SlotRequest): boolean {
  return (
    a.priority < b.priority ||
    (a.priority === b.priority && a.latencyTargetAtMs < b.latencyTargetAtMs)
  );
}

function endsBefore(a: SlotRequest, b: SlotRequest): boolean {
  return a.priority < b.priority || (a.priority === b.priority && a.deadlineAtMs < b.deadlineAtMs);
}

/** Inserts into a list that is in the order of `precedes`. */
function insert(
  list: Waiter[],
  waiter: Waiter,
  precedes: (a: SlotRequest, b: SlotRequest) => boolean,
): void {
  let place = list.length;
  while (place > 0 && precedes(waiter, list[place - 1]!)) place -= 1;
  list.splice(place, 0, waiter);
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
