import {MedlarlaneError} from '@medlarlane/errors';
import type {Clock} from '@medlarlane/lifecycle';
import {RateLimiter} from './rateLimiter.js';
import type {PaceController} from './paceController.js';
import type {SendWindow} from './sendWindow.js';

export interface SlotQueueOptions {
  /** Number of requests the target runs concurrently. */
  readonly slots: number;
  /** Requests per second that the target accepts; `undefined` while it names no limit. */
  readonly rateLimitRps?: () => number | undefined;
  /** Bounds the requests that arrive at the target in any one second; may outlive the queue. */
  readonly sendWindow?: SendWindow | undefined;
  /** Limits the slots in use and the rate of a starting or recovering target. */
  readonly pace?: PaceController | undefined;
  readonly clock: Clock;
}

export interface SlotRequest {
  /** Requests of the same class share a learned duration, for example all requests of a route. */
  readonly requestClass: string;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Monotonic time by which the response must be complete to meet the latency target. */
  readonly latencyTargetAtMs: number;
  /** Monotonic time after which the caller no longer waits for the response. */
  readonly deadlineAtMs: number;
  /** Whether a response after `latencyTargetAtMs` is acceptable if the latency target cannot be met. */
  readonly acceptLate?: boolean;
  /** Maximum predicted wait for a slot, beyond which other targets are better; unlimited by default. */
  readonly maxWaitMs?: number;
  readonly signal?: AbortSignal;
}

/** Permits one request in flight at the target. */
export interface SlotPermit {
  readonly waitedMs: number;
  /**
   * Must be called immediately before the request is sent. Returns false if the request must not be sent,
   * because a bound on the requests to the target began after the admission.
   */
  trySend(): boolean;
  /** Releases the slot. `workMs` updates the mean duration; it is omitted if the target did no work. */
  release(workMs?: number): void;
  /** Releases the slot of a request that was not sent, which does not count towards the rate limit. */
  cancel(): void;
}

interface Waiter extends SlotRequest {
  readonly enqueuedAtMs: number;
  readonly settle: (result: SlotPermit | MedlarlaneError) => void;
}

const MS_PER_S = 1_000;
/** Weight of a new sample in the smoothed duration. */
const DURATION_SMOOTHING = 0.08;
/** Duration estimate before the first sample: at least this, or a fraction of the time to the latency target. */
const INITIAL_DURATION_MS = 50;
const INITIAL_TARGET_FRACTION = 0.3;
/** Time constant of the decaying rate of requests admitted within their latency target. */
const RATE_TIME_CONSTANT_MS = 1_000;
/** With a smaller fraction of the slots free, late requests would mostly expire in the queue. */
const MIN_FREE_FRACTION = 0.08;
/** Fraction of the remaining time kept as a margin for requests that take longer than predicted. */
const DEADLINE_MARGIN = 0.15;
/** Bounds of the retry delay of refused callers, as fractions of the remaining time. */
const MIN_RETRY_FRACTION = 0.25;
const MAX_RETRY_FRACTION = 0.5;
/** Interval at which the deadlines of waiting requests are checked. */
const CHECK_INTERVAL_MS = 25;

/**
 * Admits requests to the slots of one target. A request is queued while its latency target can still be
 * met behind requests of higher priority. Otherwise it is refused immediately, so that its caller can
 * try another target, or, if a late response is acceptable, waits for slots that timely requests leave
 * free. Under overload the target thus spends its slots on responses that meet their latency target.
 */
export class SlotQueue {
  private readonly slots: number;
  private readonly clock: Clock;
  private readonly rateLimiter: RateLimiter;
  private readonly sendWindow: SendWindow | undefined;
  private readonly pace: PaceController | undefined;
  /** Latest time for which a refused caller was asked to return under the rate limit. */
  private lastReturnAtMs = -Infinity;
  /** Requests that can meet their latency target, by priority and then by latency target. */
  private waiters: Waiter[] = [];
  /** Requests that cannot meet their latency target, by priority and then by deadline. */
  private lateWaiters: Waiter[] = [];
  /** Rate of requests admitted within their latency target, as of `rateUpdatedAtMs`. */
  private timelyRps = 0;
  private rateUpdatedAtMs = -Infinity;
  private inFlightCount = 0;
  private readonly durationMsByClass = new Map<string, number>();
  private smoothedDurationMs = INITIAL_DURATION_MS;
  private sampleCount = 0;
  /** Sum of the start times of the requests in flight. */
  private startTimeSumMs = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(opts: SlotQueueOptions) {
    this.slots = Math.max(1, opts.slots);
    this.clock = opts.clock;
    this.rateLimiter = new RateLimiter({
      clock: opts.clock,
      rateLimitRps: () => {
        const paceRps = opts.pace?.rateRps ?? Infinity;
        const limitRps = opts.rateLimitRps?.();
        return paceRps === Infinity ? limitRps : Math.min(paceRps, limitRps ?? Infinity);
      },
      sendWindow: opts.sendWindow,
    });
    this.sendWindow = opts.sendWindow;
    this.pace = opts.pace;
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

  private get usableSlots(): number {
    return Math.min(this.slots, this.pace?.concurrency ?? Infinity);
  }

  /** Smoothed duration of a request at the target over all request classes. */
  get meanMs(): number {
    // Until as many samples exist as there are slots, the age of running requests is a better lower bound.
    if (this.sampleCount >= this.slots || this.inFlightCount === 0) return this.smoothedDurationMs;
    const ageMs = this.clock.nowMs() - this.startTimeSumMs / this.inFlightCount;
    return Math.max(this.smoothedDurationMs, ageMs);
  }

  /**
   * Resolves once the request may be sent to the target.
   * @throws MedlarlaneError `OVERLOADED` with `retryAfterMs`, `DEADLINE_EXCEEDED` or `CANCELLED`,
   *     each with ran `no`.
   */
  acquire(request: SlotRequest): Promise<SlotPermit> {
    if (request.signal?.aborted) return Promise.reject(cancelled());
    const nowMs = this.clock.nowMs();
    if (request.deadlineAtMs <= nowMs) return Promise.reject(expired());
    if (this.sampleCount === 0) this.smoothedDurationMs = this.initialDurationMs(request, nowMs);
    if (
      this.inFlightCount < this.usableSlots &&
      this.waiters.length === 0 &&
      this.rateLimiter.tryTake()
    ) {
      this.recordTimelyRequest(nowMs);
      return Promise.resolve(this.grant(nowMs));
    }
    const ahead = this.waiters.filter((waiter) => !precedesByTarget(request, waiter)).length;
    const waitMs = this.predictedWaitMs(ahead);
    const isTimely = this.canMeetLatencyTarget(request, nowMs + waitMs);
    const isWaitTooLong = waitMs > (request.maxWaitMs ?? Infinity);
    if (
      isWaitTooLong ||
      (!isTimely && !this.canMeetDeadline(request, nowMs, this.countLateAhead(request)))
    ) {
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
      if (isTimely) {
        this.recordTimelyRequest(nowMs);
        insert(this.waiters, waiter, precedesByTarget);
      } else {
        insert(this.lateWaiters, waiter, precedesByDeadline);
      }
      this.reviewWaiters();
      this.armTimer();
    });
  }

  /** Refuses all waiting requests, which can then run at another target. */
  refuseQueued(refusal: MedlarlaneError): void {
    for (const waiter of [...this.waiters, ...this.lateWaiters]) this.remove(waiter, refusal);
  }

  /** Requests per second that the slots and the rate limit permit. */
  private get capacityRps(): number {
    return Math.min((this.usableSlots * MS_PER_S) / this.meanMs, this.rateLimiter.rateRps);
  }

  private predictedWaitMs(ahead: number): number {
    const slotWaitMs = ((ahead + 1) * this.meanMs) / this.usableSlots;
    return Math.max(slotWaitMs, this.rateLimiter.timeUntilMs(ahead + 1));
  }

  private canMeetLatencyTarget(request: SlotRequest, startAtMs: number): boolean {
    return startAtMs + this.expectedMs(request) <= request.latencyTargetAtMs;
  }

  /** Whether a late response is acceptable and likely in time behind `ahead` other late requests. */
  private canMeetDeadline(request: SlotRequest, nowMs: number, ahead: number): boolean {
    if (!request.acceptLate) return false;
    const freeFraction = 1 - this.timelyRpsAt(nowMs) / this.capacityRps;
    if (freeFraction < MIN_FREE_FRACTION) return false;
    const waitMs =
      this.predictedWaitMs(this.waiters.length) + this.predictedWaitMs(ahead) / freeFraction;
    const remainingMs = (request.deadlineAtMs - nowMs) * (1 - DEADLINE_MARGIN);
    return waitMs + this.expectedMs(request) <= remainingMs;
  }

  private expectedMs({requestClass}: SlotRequest): number {
    return this.durationMsByClass.get(requestClass) ?? this.meanMs;
  }

  private countLateAhead(request: SlotRequest): number {
    return this.lateWaiters.filter((waiter) => !precedesByDeadline(request, waiter)).length;
  }

  private timelyRpsAt(nowMs: number): number {
    return this.timelyRps * Math.exp((this.rateUpdatedAtMs - nowMs) / RATE_TIME_CONSTANT_MS);
  }

  private recordTimelyRequest(nowMs: number): void {
    this.timelyRps = this.timelyRpsAt(nowMs) + MS_PER_S / RATE_TIME_CONSTANT_MS;
    this.rateUpdatedAtMs = nowMs;
  }

  /** Demotes or refuses waiting requests that higher-priority arrivals have delayed too long. */
  private reviewWaiters(): void {
    const nowMs = this.clock.nowMs();
    let ahead = 0;
    for (const waiter of [...this.waiters]) {
      if (this.canMeetLatencyTarget(waiter, nowMs + this.predictedWaitMs(ahead))) {
        ahead += 1;
      } else if (waiter.acceptLate) {
        this.waiters.splice(this.waiters.indexOf(waiter), 1);
        insert(this.lateWaiters, waiter, precedesByDeadline);
      } else {
        this.remove(waiter, this.overloaded(waiter));
      }
    }
    ahead = 0;
    for (const waiter of [...this.lateWaiters]) {
      if (this.canMeetDeadline(waiter, nowMs, ahead)) ahead += 1;
      else this.remove(waiter, this.overloaded(waiter));
    }
  }

  private overloaded(request: SlotRequest): MedlarlaneError {
    const queueDrainMs = this.predictedWaitMs(this.waiting);
    const retryAfterMs = Math.round(
      this.reserveReturnMs(request, queueDrainMs) ??
        Math.max(queueDrainMs, this.retryDelayMs(request)),
    );
    return new MedlarlaneError('OVERLOADED', undefined, {details: {retryAfterMs}});
  }

  /**
   * Time after which a caller refused under the rate limit should return: callers return one by one at the
   * permitted rate, after the queue and the callers refused before. `undefined` without a limit, or if
   * the request could not complete by its deadline then.
   */
  private reserveReturnMs(request: SlotRequest, queueDrainMs: number): number | undefined {
    const {rateRps} = this.rateLimiter;
    if (rateRps === Infinity) return undefined;
    const nowMs = this.clock.nowMs();
    const returnAtMs = Math.max(nowMs + queueDrainMs, this.lastReturnAtMs + MS_PER_S / rateRps);
    if (returnAtMs + this.expectedMs(request) > request.deadlineAtMs) return undefined;
    this.lastReturnAtMs = returnAtMs;
    return returnAtMs - nowMs;
  }

  /**
   * Random fraction of the time in which a retry can still meet the latency target, or else the
   * deadline. An overload outlasts the queue, so a caller that retries as soon as the queue has drained
   * would mostly be refused again. The jitter keeps callers from retrying at the same time.
   */
  private retryDelayMs(request: SlotRequest): number {
    const nowMs = this.clock.nowMs();
    const expectedMs = this.expectedMs(request);
    const timelyMs = request.latencyTargetAtMs - nowMs - expectedMs;
    const usableMs = timelyMs > 0 ? timelyMs : request.deadlineAtMs - nowMs - expectedMs;
    const fraction = MIN_RETRY_FRACTION + Math.random() * (MAX_RETRY_FRACTION - MIN_RETRY_FRACTION);
    return Math.max(0, usableMs) * fraction;
  }

  private remove(waiter: Waiter, result: SlotPermit | MedlarlaneError): void {
    for (const list of [this.waiters, this.lateWaiters]) {
      const index = list.indexOf(waiter);
      if (index < 0) continue;
      list.splice(index, 1);
      waiter.settle(result);
    }
  }

  private dispatch(): void {
    while (this.inFlightCount < this.usableSlots) {
      const waiter = this.waiters[0] ?? this.lateWaiters[0];
      if (!waiter || !this.rateLimiter.tryTake()) return;
      this.remove(waiter, this.grant(waiter.enqueuedAtMs));
    }
  }

  private grant(enqueuedAtMs: number): SlotPermit {
    this.inFlightCount += 1;
    const startedAtMs = this.clock.nowMs();
    this.startTimeSumMs += startedAtMs;
    let isHeld = true;
    let sentAtMs: number | undefined;
    const release = (opts: {workMs?: number | undefined; isUnsent?: boolean}): void => {
      if (!isHeld) return;
      isHeld = false;
      this.inFlightCount -= 1;
      this.startTimeSumMs -= startedAtMs;
      if (sentAtMs === undefined) this.sendWindow?.cancel();
      else if (opts.isUnsent) this.sendWindow?.withdraw(sentAtMs);
      if (opts.isUnsent) this.rateLimiter.refund();
      if (opts.workMs !== undefined) this.updateMean(opts.workMs);
      this.dispatch();
    };
    return {
      waitedMs: startedAtMs - enqueuedAtMs,
      trySend: () => {
        if (!this.sendWindow) return true;
        sentAtMs ??= this.sendWindow.trySend();
        return sentAtMs !== undefined;
      },
      release: (workMs) => release({workMs}),
      cancel: () => release({isUnsent: true}),
    };
  }

  /** Initial estimate: latency targets are usually set to a multiple of the typical duration. */
  private initialDurationMs(request: SlotRequest, nowMs: number): number {
    const estimatedMs = (request.latencyTargetAtMs - nowMs) * INITIAL_TARGET_FRACTION;
    return Math.max(this.smoothedDurationMs, estimatedMs);
  }

  private updateMean(workMs: number): void {
    this.sampleCount += 1;
    // The first samples are weighted equally and replace the initial estimate.
    const weight = Math.max(DURATION_SMOOTHING, 1 / this.sampleCount);
    this.smoothedDurationMs += (workMs - this.smoothedDurationMs) * weight;
  }

  /** Records the duration of a request of the given class at the target. */
  recordDuration(requestClass: string, workMs: number): void {
    this.durationMsByClass.set(
      requestClass,
      smooth(this.durationMsByClass.get(requestClass) ?? workMs, workMs),
    );
  }

  private armTimer(): void {
    if (this.timer || this.waiting === 0) return;
    const untilPermittedMs = Math.ceil(this.rateLimiter.timeUntilMs(1));
    this.timer = setTimeout(
      () => {
        this.timer = undefined;
        this.dispatch();
        this.reviewWaiters();
        this.armTimer();
      },
      Math.min(CHECK_INTERVAL_MS, untilPermittedMs || CHECK_INTERVAL_MS),
    );
  }
}

/** Orders by priority, then by latency target; calls made by targets have the earliest latency targets. */
function precedesByTarget(a: SlotRequest, b: SlotRequest): boolean {
  return (
    a.priority < b.priority ||
    (a.priority === b.priority && a.latencyTargetAtMs < b.latencyTargetAtMs)
  );
}

function precedesByDeadline(a: SlotRequest, b: SlotRequest): boolean {
  return a.priority < b.priority || (a.priority === b.priority && a.deadlineAtMs < b.deadlineAtMs);
}

/** Inserts into a list that is sorted by `precedes`. */
function insert(
  list: Waiter[],
  waiter: Waiter,
  precedes: (a: SlotRequest, b: SlotRequest) => boolean,
): void {
  let index = list.length;
  while (index > 0 && precedes(waiter, list[index - 1]!)) index -= 1;
  list.splice(index, 0, waiter);
}

function smooth(current: number, next: number): number {
  return current + (next - current) * DURATION_SMOOTHING;
}

function cancelled(): MedlarlaneError {
  return new MedlarlaneError('CANCELLED', 'Caller cancelled the request while it was queued', {
    ran: 'no',
  });
}

function expired(): MedlarlaneError {
  return new MedlarlaneError('DEADLINE_EXCEEDED');
}
