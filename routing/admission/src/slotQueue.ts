import {MedlarlaneError} from '@medlarlane/errors';
import type {Clock} from '@medlarlane/lifecycle';
import {DecayingRate} from './decayingRate.js';
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
  /** Timely requests of a priority are served in this order. */
  readonly orderAtMs: number;
  readonly settle: (result: SlotPermit | MedlarlaneError) => void;
}

/** Decaying rates of the requests of a priority. */
interface PriorityRates {
  /** Requests admitted within their latency target. */
  readonly timely: DecayingRate;
  /** All admitted requests. */
  readonly admitted: DecayingRate;
  /** Requests that got a slot, and those refused for overload. */
  readonly served: DecayingRate;
  readonly refused: DecayingRate;
}

const MS_PER_S = 1_000;
/** Weight of a new sample in the smoothed duration. */
const DURATION_SMOOTHING = 0.08;
/** Duration estimate before the first sample: at least this, or a fraction of the time to the latency target. */
const INITIAL_DURATION_MS = 50;
const INITIAL_TARGET_FRACTION = 0.3;
/** Time constant of the decaying rate of requests admitted within their latency target. */
const RATE_TIME_CONSTANT_MS = 1_000;
/** Time constant of the rates from which the served shares of priorities are compared. */
const SHARE_TIME_CONSTANT_MS = 2_000;
/** The higher of two priorities is served better by at least this share while both are refused. */
const SERVED_SHARE_MARGIN = 0.05;
/** At a lower rate, refusals do not change the order of priorities. */
const MIN_REFUSED_RPS = 0.5;
/** With a smaller fraction of the slots free, late requests would mostly expire in the queue. */
const MIN_FREE_FRACTION = 0.08;
/** Fraction of the remaining time kept as a margin for requests that take longer than predicted. */
const DEADLINE_MARGIN = 0.15;
/** Bounds of the retry delay of refused callers, as fractions of the remaining time. */
const MIN_RETRY_FRACTION = 0.25;
const MAX_RETRY_FRACTION = 0.5;
/**
 * While requests of the highest priority arrive, lower priorities leave this fraction of the slots to them,
 * and at least one slot. They are mostly calls that running requests make: they have a short latency target,
 * and the loss of one wastes the work of the request that made it.
 */
const HEADROOM_FRACTION = 0.1;
const MIN_HEADROOM_SLOTS = 1;
const HEADROOM_HOLD_MS = 1_000;
/** With less work of the highest priority, it waits for the next free slot instead of one that is mostly idle. */
const MIN_HEADROOM_DEMAND_SLOTS = 0.25;
const HIGHEST_PRIORITY = 0;
/**
 * A request is short if its typical work is at most this fraction of the mean work in a busy slot. It may
 * exceed its latency target, because it hardly delays others. Most such requests are calls that running
 * requests make, with a latency target shorter than the wait for a slot; the run is lost with the call.
 */
const SHORT_WORK_FRACTION = 0.6;
/** Interval at which the deadlines of waiting requests are checked. */
const CHECK_INTERVAL_MS = 25;

/**
 * Admits requests to the slots of one target. A request is queued while its latency target can still be
 * met behind requests of higher priority. Otherwise it is refused immediately, so that its caller can
 * try another target, or, if a late response is acceptable, waits for slots that timely requests of its
 * own and higher priorities leave free. Under overload the target thus spends its slots first on the higher
 * priority, and within a priority on responses that meet their latency target.
 */
export class SlotQueue {
  private readonly slots: number;
  private readonly clock: Clock;
  private readonly rateLimiter: RateLimiter;
  private readonly sendWindow: SendWindow | undefined;
  private readonly pace: PaceController | undefined;
  /** Latest time for which a refused caller was asked to return under the rate limit. */
  private lastReturnAtMs = -Infinity;
  /** Requests that can meet their latency target and short ones, by priority and then by `orderAtMs`. */
  private waiters: Waiter[] = [];
  /** Requests that cannot meet their latency target, by priority and then by deadline. */
  private lateWaiters: Waiter[] = [];
  /** Recent rates by priority. */
  private readonly ratesByPriority = new Map<number, PriorityRates>();
  private inFlightCount = 0;
  private highestPriorityInFlight = 0;
  /** Smoothed duration of the requests of the highest priority. */
  private highestPriorityMs = 0;
  private highestPriorityAtMs = -Infinity;
  private readonly durationMsByClass = new Map<string, number>();
  private smoothedDurationMs = INITIAL_DURATION_MS;
  /** Smoothed square of the durations, from which the mean work in a busy slot follows. */
  private smoothedSquareMs2 = 0;
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
    if (request.priority <= HIGHEST_PRIORITY) this.highestPriorityAtMs = nowMs;
    if (this.hasSlotFor(request) && !this.hasWaiterBefore(request) && this.rateLimiter.tryTake()) {
      this.recordAdmitted(request, {isTimely: true});
      return Promise.resolve(this.grant(request, nowMs));
    }
    // Short requests are served before others, because these lose hardly any time by it.
    const orderAtMs = this.isShort(request) ? nowMs : request.latencyTargetAtMs;
    const ordered = {...request, orderAtMs};
    const ahead =
      this.waiters.filter((waiter) => !precedesByTarget(ordered, waiter)).length +
      this.countLateAbove(request);
    const waitMs = this.predictedWaitMs(ahead, request);
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
        ...ordered,
        enqueuedAtMs: nowMs,
        settle: (result) => {
          signal?.removeEventListener('abort', onAbort);
          if (result instanceof MedlarlaneError) reject(result);
          else resolve(result);
        },
      };
      signal?.addEventListener('abort', onAbort, {once: true});
      this.recordAdmitted(request, {isTimely});
      if (isTimely) {
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

  /** Slots that lower priorities leave to the highest one and that it does not use at the moment. */
  private get unusedHeadroom(): number {
    const nowMs = this.clock.nowMs();
    const isHeld = nowMs - this.highestPriorityAtMs < HEADROOM_HOLD_MS;
    if (!isHeld || this.highestDemandSlots(nowMs) < MIN_HEADROOM_DEMAND_SLOTS) return 0;
    const slots = Math.max(MIN_HEADROOM_SLOTS, Math.floor(this.slots * HEADROOM_FRACTION));
    // A target with one slot cannot leave it unused.
    return Math.max(0, Math.min(slots, this.usableSlots - 1) - this.highestPriorityInFlight);
  }

  /** Slots that the recent requests of the highest priority keep busy on average. */
  private highestDemandSlots(nowMs: number): number {
    const servedRps = this.ratesByPriority.get(HIGHEST_PRIORITY)?.served.at(nowMs) ?? 0;
    return (servedRps * this.highestPriorityMs) / MS_PER_S;
  }

  /** Slots that requests of this priority may use at the moment. */
  private slotsFor({priority}: SlotRequest): number {
    const isUnlimited = priority <= HIGHEST_PRIORITY || this.highestPriorityAtMs === -Infinity;
    return isUnlimited ? this.usableSlots : this.usableSlots - this.unusedHeadroom;
  }

  private hasSlotFor(request: SlotRequest): boolean {
    return this.inFlightCount < this.slotsFor(request);
  }

  private hasWaiterBefore(request: SlotRequest): boolean {
    const [timely] = this.waiters;
    const [late] = this.lateWaiters;
    const isTimelyBefore = timely !== undefined && timely.priority <= request.priority;
    return isTimelyBefore || (late !== undefined && this.isServedWorse(late, request));
  }

  private predictedWaitMs(ahead: number, request: SlotRequest): number {
    const slotWaitMs = ((ahead + 1) * this.meanMs) / this.slotsFor(request);
    return Math.max(slotWaitMs, this.rateLimiter.timeUntilMs(ahead + 1));
  }

  private canMeetLatencyTarget(request: SlotRequest, startAtMs: number): boolean {
    const endAtMs = startAtMs + this.expectedMs(request);
    if (endAtMs <= request.latencyTargetAtMs) return true;
    if (request.acceptLate !== true || !this.isShort(request)) return false;
    const nowMs = this.clock.nowMs();
    return endAtMs - nowMs <= (request.deadlineAtMs - nowMs) * (1 - DEADLINE_MARGIN);
  }

  private isShort(request: SlotRequest): boolean {
    const typicalMs = this.typicalOrGuessedMs(request);
    const busySlotMs = this.smoothedSquareMs2 / this.smoothedDurationMs;
    return typicalMs !== undefined && typicalMs <= busySlotMs * SHORT_WORK_FRACTION;
  }

  /** Whether a late response is acceptable and likely in time behind `ahead` other late requests. */
  private canMeetDeadline(request: SlotRequest, nowMs: number, ahead: number): boolean {
    if (!request.acceptLate) return false;
    const freeFraction = 1 - this.precedingRps(request, nowMs) / this.capacityRps;
    if (freeFraction < MIN_FREE_FRACTION) return false;
    const timelyAhead = countByPriority(
      this.waiters,
      (waiter) => !this.isServedWorse(request, waiter),
    );
    const waitMs =
      this.predictedWaitMs(timelyAhead, request) +
      this.predictedWaitMs(ahead, request) / freeFraction;
    const remainingMs = (request.deadlineAtMs - nowMs) * (1 - DEADLINE_MARGIN);
    return waitMs + this.expectedMs(request) <= remainingMs;
  }

  private expectedMs(request: SlotRequest): number {
    return this.typicalOrGuessedMs(request) ?? this.meanMs;
  }

  /** Before the first duration of a class, its latency target tells more than the durations of other classes. */
  private typicalOrGuessedMs({requestClass, latencyTargetAtMs}: SlotRequest): number | undefined {
    const typicalMs = this.typicalDurationMs(requestClass);
    if (typicalMs !== undefined || this.durationMsByClass.size === 0) return typicalMs;
    const guessedMs = (latencyTargetAtMs - this.clock.nowMs()) * INITIAL_TARGET_FRACTION;
    return guessedMs > 0 && guessedMs < this.meanMs ? guessedMs : undefined;
  }

  /** Smoothed duration of a request of the class at the target; `undefined` until one is known. */
  typicalDurationMs(requestClass: string): number | undefined {
    return this.durationMsByClass.get(requestClass);
  }

  private countLateAhead(request: SlotRequest): number {
    return this.lateWaiters.filter((waiter) => !precedesByDeadline(request, waiter)).length;
  }

  /** Number of late requests of higher priorities that run before timely requests of this one. */
  private countLateAbove(request: SlotRequest): number {
    const [first] = this.lateWaiters;
    if (!first || first.priority >= request.priority) return 0;
    return countByPriority(this.lateWaiters, (waiter) => this.isServedWorse(waiter, request));
  }

  /**
   * Whether `late` has the higher priority and its priority is served worse than that of `timely`. On a slow
   * target, requests with a short latency target are mostly late; they would be refused for requests of
   * a lower priority that can still meet a longer latency target.
   */
  private isServedWorse(late: SlotRequest, timely: SlotRequest): boolean {
    return (
      late.priority < timely.priority &&
      this.servedShare(late.priority) < this.servedShare(timely.priority) + SERVED_SHARE_MARGIN
    );
  }

  private servedShare(priority: number): number {
    const rates = this.ratesByPriority.get(priority);
    const nowMs = this.clock.nowMs();
    const refusedRps = rates?.refused.at(nowMs) ?? 0;
    if (!rates || refusedRps < MIN_REFUSED_RPS) return 1 + SERVED_SHARE_MARGIN;
    const servedRps = rates.served.at(nowMs);
    return servedRps / (servedRps + refusedRps);
  }

  private ratesOf({priority}: SlotRequest): PriorityRates {
    const known = this.ratesByPriority.get(priority);
    if (known) return known;
    const rates = {
      timely: new DecayingRate(RATE_TIME_CONSTANT_MS),
      admitted: new DecayingRate(RATE_TIME_CONSTANT_MS),
      served: new DecayingRate(SHARE_TIME_CONSTANT_MS),
      refused: new DecayingRate(SHARE_TIME_CONSTANT_MS),
    };
    this.ratesByPriority.set(priority, rates);
    return rates;
  }

  /** Rate of the admitted requests that run before late requests of this priority. */
  private precedingRps(request: SlotRequest, nowMs: number): number {
    let rps = 0;
    for (const [priority, {timely, admitted}] of this.ratesByPriority) {
      if (priority < request.priority) rps += admitted.at(nowMs);
      else if (!this.isServedWorse(request, {...request, priority})) rps += timely.at(nowMs);
    }
    return rps;
  }

  private recordAdmitted(request: SlotRequest, {isTimely}: {isTimely: boolean}): void {
    const nowMs = this.clock.nowMs();
    const rates = this.ratesOf(request);
    rates.admitted.record(nowMs);
    if (isTimely) rates.timely.record(nowMs);
  }

  /** Demotes or refuses waiting requests that higher-priority arrivals have delayed too long. */
  private reviewWaiters(): void {
    const nowMs = this.clock.nowMs();
    let ahead = 0;
    for (const waiter of [...this.waiters]) {
      const waitMs = this.predictedWaitMs(ahead + this.countLateAbove(waiter), waiter);
      if (this.canMeetLatencyTarget(waiter, nowMs + waitMs)) {
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
    if (request.acceptLate) this.ratesOf(request).refused.record(this.clock.nowMs());
    const queueDrainMs = this.predictedWaitMs(this.waiting, request);
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
      const waiter = this.nextWaiter();
      if (!waiter || !this.hasSlotFor(waiter) || !this.rateLimiter.tryTake()) return;
      this.remove(waiter, this.grant(waiter, waiter.enqueuedAtMs));
    }
  }

  private nextWaiter(): Waiter | undefined {
    const [timely] = this.waiters;
    const [late] = this.lateWaiters;
    if (!timely || !late) return timely ?? late;
    return this.isServedWorse(late, timely) ? late : timely;
  }

  private grant(request: SlotRequest, enqueuedAtMs: number): SlotPermit {
    const isHighest = request.priority <= HIGHEST_PRIORITY;
    this.inFlightCount += 1;
    if (isHighest) this.highestPriorityInFlight += 1;
    const startedAtMs = this.clock.nowMs();
    this.ratesOf(request).served.record(startedAtMs);
    this.startTimeSumMs += startedAtMs;
    let isHeld = true;
    let sentAtMs: number | undefined;
    const release = (opts: {workMs?: number | undefined; isUnsent?: boolean}): void => {
      if (!isHeld) return;
      isHeld = false;
      this.inFlightCount -= 1;
      if (isHighest) this.highestPriorityInFlight -= 1;
      this.startTimeSumMs -= startedAtMs;
      if (sentAtMs === undefined) this.sendWindow?.cancel();
      else if (opts.isUnsent) this.sendWindow?.withdraw(sentAtMs);
      if (opts.isUnsent) this.rateLimiter.refund();
      if (opts.workMs !== undefined) {
        this.updateMean(opts.workMs);
        if (isHighest)
          this.highestPriorityMs = smooth(this.highestPriorityMs || opts.workMs, opts.workMs);
      }
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
    this.smoothedSquareMs2 += (workMs * workMs - this.smoothedSquareMs2) * weight;
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

type OrderedRequest = Pick<Waiter, 'priority' | 'orderAtMs'>;

/** Orders by priority, then short requests first, then by latency target. */
function precedesByTarget(a: OrderedRequest, b: OrderedRequest): boolean {
  return a.priority < b.priority || (a.priority === b.priority && a.orderAtMs < b.orderAtMs);
}

function precedesByDeadline(a: SlotRequest, b: SlotRequest): boolean {
  return a.priority < b.priority || (a.priority === b.priority && a.deadlineAtMs < b.deadlineAtMs);
}

/**
 * Counts the waiters for which `matches` holds. The list is sorted by priority, on which alone the result
 * depends, so that `matches` is called once for each priority.
 */
function countByPriority(list: readonly Waiter[], matches: (waiter: Waiter) => boolean): number {
  let count = 0;
  let priority: number | undefined;
  let isMatch = false;
  for (const waiter of list) {
    if (waiter.priority !== priority) {
      priority = waiter.priority;
      isMatch = matches(waiter);
    }
    if (isMatch) count += 1;
  }
  return count;
}

/** Inserts into a list that is sorted by `precedes`. */
function insert(list: Waiter[], waiter: Waiter, precedes: (a: Waiter, b: Waiter) => boolean): void {
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
