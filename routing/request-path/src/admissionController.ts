import {ClassDurations, PaceController, SendWindow, SlotQueue} from '@medlarlane/admission';
import type {DemandMeter, PaceChange, SlotPermit} from '@medlarlane/admission';
import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import type {PoisonTable} from '@medlarlane/poison';
import type {StatedLoad} from '@medlarlane/key-holds';
import {fingerprintsOf} from './fingerprintsOf.js';
import {HeldSlots} from './heldSlots.js';
import type {TargetClient} from './createTargetClient.js';
import type {TargetLoad, Offer, RequestFrame, RunResult} from './messages.js';
import {ResponseStream} from './responseStream.js';

/** The local target of this daemon as described by its heartbeats. */
export interface CurrentTarget {
  readonly targetId: string;
  readonly life: string;
  readonly service: string;
  readonly slots: number;
}

export interface AdmissionControllerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly client: TargetClient;
  /** Returns the target that currently accepts requests, or the error to refuse them with. */
  readonly target: () => CurrentTarget | MedlarlaneError;
  /** Whether the target currently holds an unexpired grant for the key. */
  readonly holdsKey: (key: number) => boolean;
  /** Requests per second that the target accepts; `undefined` while it names no limit. */
  readonly rateLimitRps: () => number | undefined;
  /** Requests that may arrive at the target in any one second; `undefined` while there is no bound. */
  readonly maxPerSecond?: () => number | undefined;
  /** Whether the target is cold, so that it is to be used slowly at first. */
  readonly isCold?: () => boolean;
  /** Expected time until the key is granted to the target; `undefined` if no grant is planned. */
  readonly grantDueInMs: (key: number) => number | undefined;
  readonly poison: PoisonTable;
  readonly onResult: (result: RunResult, workMs: number) => void;
  /** Called for each request for a key that the target holds. */
  readonly onKeyRequest: (key: number) => void;
  /** Measures the work of the target for the admission levels of its service. */
  readonly demandMeter?: DemandMeter;
  /** Factor by which work at the target currently takes longer than usual; `undefined` if unknown. */
  readonly slowdown?: () => number | undefined;
}

/** A reserved slot, which must be either used by `run` or released by `cancel`. */
export interface SlotReservation {
  run(frame: RequestFrame, signal: AbortSignal): Promise<RunResult>;
  cancel(): void;
}

/** A request that was passed to the target. */
interface StartedRun {
  readonly offer: Offer;
  readonly target: CurrentTarget;
  readonly frame: RequestFrame;
  readonly permit: SlotPermit;
  readonly queue: SlotQueue;
  readonly pace: PaceController;
  readonly startedAtMs: number;
}

interface LostRequest {
  readonly requestId: string;
  readonly life: string;
  readonly fingerprints: readonly string[];
  readonly startedAtMs: number;
  readonly endedAtMs: number;
}

/** Maximum time until a crash is detected by a connection attempt or by the next incarnation. */
const CRASH_DETECTION_MS = 6_000;
/** Maximum wait for a grant if a late response is not acceptable. */
const MAX_GRANT_WAIT_MS = 150;
/** The same if a late response is acceptable: most of a heartbeat interval. */
const MAX_LATE_GRANT_WAIT_MS = 600;
/** The same if the latency target can still be met afterwards: a heartbeat interval and its delay. */
const MAX_TIMELY_GRANT_WAIT_MS = 1_000;
const MS_PER_S = 1_000;
/** Weight of a new sample in `meanSlowdown`; the same as in the smoothed durations of `SlotQueue`. */
const SLOWDOWN_SMOOTHING = 0.08;
/** Slowdowns are rounded to hundredths, because they are in each result. */
const SLOWDOWN_STEPS = 100;
/** Time reserved for sending the response from the target's daemon back to the caller. */
const RESPONSE_ALLOWANCE_MS = 5;
/** Latency targets are about three times the usual duration, which stands in for one not yet known. */
const USUAL_TARGET_FRACTION = 0.3;
/** Statuses by which a target or what it depends on says that it is not well; 504 may be a short deadline. */
const FAILURE_STATUSES: ReadonlySet<number> = new Set([502, 503]);
/** Minimum time between log lines about the pace, except for its begin and end. */
const PACE_LOG_INTERVAL_MS = 250;

/** Admits requests to the local target of this daemon and runs them. */
export class AdmissionController {
  private queue: SlotQueue;
  private incarnation = '';
  /** Shared by all incarnations, because they succeed each other at the same address. */
  private readonly sendWindow: SendWindow;
  private readonly durations = new ClassDurations();
  private pace: PaceController;
  private wasCold = false;
  private paceLoggedAtMs = -Infinity;
  /** Recent requests without a response, which may have crashed the target. */
  private lostRequests: LostRequest[] = [];
  private heldSlots: HeldSlots;
  /** Slowdown that the smoothed durations include. */
  private meanSlowdown = 1;
  /** Whether the target states its load, without which slots are not held. */
  private statesLoad = false;

  constructor(private readonly opts: AdmissionControllerOptions) {
    const {clock, maxPerSecond = () => undefined} = opts;
    this.sendWindow = new SendWindow({clock, maxPerSecond});
    this.pace = this.createPace(1);
    this.queue = new SlotQueue({slots: 1, clock});
    this.heldSlots = new HeldSlots(clock);
  }

  get load(): TargetLoad {
    const {inFlight, waiting, slotCount, meanMs} = this.queue;
    const rateLimitRps = this.opts.rateLimitRps();
    const {relativeSlowdown} = this;
    const {level: pacedSlots} = this.pace;
    return {
      inFlight,
      waiting,
      slots: slotCount,
      meanMs: Math.round(meanMs),
      ...(rateLimitRps === undefined ? {} : {rateLimitRps}),
      ...(relativeSlowdown === undefined ? {} : {slowdown: relativeSlowdown}),
      ...(pacedSlots === undefined ? {} : {pacedSlots}),
    };
  }

  /** Slots that the rate limit of the target keeps busy, at most all. */
  get usableSlots(): number {
    const {slots, meanMs, rateLimitRps = Infinity} = this.load;
    return Math.min(slots, (rateLimitRps * meanMs) / MS_PER_S);
  }

  /** Requests at the target for which a response is expected. */
  get inFlight(): number {
    return this.queue.inFlight - this.heldSlots.count;
  }

  /** Slots of requests that were given up but that the target may still run. */
  get heldSlotCount(): number {
    return this.heldSlots.count;
  }

  /** Must be called for each response of the target that states its load. */
  recordStatedLoad(incarnation: string, {running, waiting}: StatedLoad): void {
    if (incarnation !== this.incarnation) return;
    this.statesLoad = true;
    // The stated load may or may not include the request of the response itself.
    this.heldSlots.retain(running + waiting - (this.inFlight - 1));
  }

  /** Factor by which work takes longer now than in the smoothed durations. */
  private get relativeSlowdown(): number | undefined {
    const slowdown = this.opts.slowdown?.();
    return slowdown === undefined
      ? undefined
      : Math.round((slowdown / this.meanSlowdown) * SLOWDOWN_STEPS) / SLOWDOWN_STEPS;
  }

  /** Refuses all queued requests, because the target accepts no more work. */
  refuseQueued(code: 'DRAINING' | 'NO_TARGET'): void {
    this.queue.refuseQueued(new MedlarlaneError(code));
  }

  /**
   * Records a crash of the target, which makes the requests it was running suspect. Returns the
   * fingerprints that were quarantined as a result.
   */
  recordTargetCrash(incarnation: string): string[] {
    const sinceMs = this.opts.clock.nowMs() - CRASH_DETECTION_MS;
    const suspects = this.lostRequests.filter(
      (run) => run.life === incarnation && run.endedAtMs >= sinceMs,
    );
    this.lostRequests = [];
    if (suspects.length === 0) return [];
    const quarantined = this.opts.poison.recordCrash(
      suspects.flatMap(({fingerprints, startedAtMs}) =>
        fingerprints.map((fingerprint) => ({fingerprint, startedAtMs})),
      ),
    );
    this.opts.logger.warn(
      {life: incarnation, requestIds: suspects.map(({requestId}) => requestId), quarantined},
      'Target crashed with requests in flight',
    );
    return quarantined;
  }

  /**
   * Resolves once a slot of the target is reserved.
   * @throws MedlarlaneError with ran `no`.
   */
  async admit(offer: Offer, signal: AbortSignal): Promise<SlotReservation> {
    const {clock} = this.opts;
    const offeredAtMs = clock.nowMs();
    const deadlineAtMs = offeredAtMs + offer.deadlineLeftMs;
    await this.waitForGrant(offer, signal);
    const target = this.requireTarget(offer);
    this.switchIncarnation(target);
    this.paceColdTarget();
    if (offer.key !== undefined) this.opts.onKeyRequest(offer.key);
    const acquired = this.queue.acquire({
      requestClass: offer.route,
      priority: offer.priority,
      latencyTargetAtMs: offeredAtMs + offer.targetLeftMs,
      deadlineAtMs,
      acceptLate: offer.acceptLate,
      maxWaitMs: offer.maxWaitMs,
      signal,
    });
    const permit = await acquired.catch((thrown: unknown) => {
      // Other offers are only tried at this target in the hope of a free slot.
      if (offer.acceptLate && toMedlarlaneError(thrown).code === 'OVERLOADED') {
        this.opts.demandMeter?.recordRefused(offer.priority);
      }
      throw thrown;
    });
    this.opts.demandMeter?.recordStart();
    return {
      run: (frame, runSignal) => this.run(offer, target, frame, permit, deadlineAtMs, runSignal),
      cancel: () => {
        this.opts.demandMeter?.recordEnd();
        permit.cancel();
      },
    };
  }

  private requireTarget(offer: Offer): CurrentTarget {
    const target = this.opts.target();
    if (target instanceof MedlarlaneError) throw target;
    if (target.service !== offer.service || target.life !== offer.life) {
      throw new MedlarlaneError('NO_TARGET', 'Daemon runs another target or incarnation');
    }
    if (offer.key !== undefined && !this.opts.holdsKey(offer.key)) {
      const retryAfterMs = this.opts.grantDueInMs(offer.key);
      throw new MedlarlaneError('NOT_OWNER', undefined, {
        details: retryAfterMs === undefined ? {} : {retryAfterMs},
      });
    }
    return target;
  }

  /** Waits a short time for a grant that is about to arrive, which saves the caller a refusal. */
  private async waitForGrant(
    {key, targetLeftMs, deadlineLeftMs, acceptLate}: Offer,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, holdsKey, grantDueInMs} = this.opts;
    if (key === undefined || holdsKey(key)) return;
    const waitMs = grantDueInMs(key);
    // At most a third of the time left, so that the request itself can still complete.
    const maxLateWaitMs = Math.min(MAX_LATE_GRANT_WAIT_MS, deadlineLeftMs / 3);
    const maxWaitMs = acceptLate
      ? Math.max(maxLateWaitMs, Math.min(MAX_TIMELY_GRANT_WAIT_MS, targetLeftMs / 2))
      : Math.min(MAX_GRANT_WAIT_MS, targetLeftMs / 3);
    if (waitMs === undefined || waitMs > maxWaitMs) return;
    await clock.sleep(waitMs, {signal}).catch(() => undefined);
  }

  /** Starts with an empty queue and without learned durations for a new incarnation. */
  private switchIncarnation({life, slots}: CurrentTarget): void {
    if (this.incarnation === life) return;
    this.incarnation = life;
    this.queue.refuseQueued(new MedlarlaneError('NO_TARGET'));
    const {clock, rateLimitRps} = this.opts;
    const {sendWindow} = this;
    this.heldSlots = new HeldSlots(clock);
    this.meanSlowdown = 1;
    this.statesLoad = false;
    this.wasCold = false;
    this.pace = this.createPace(slots);
    this.queue = new SlotQueue({slots, clock, rateLimitRps, sendWindow, pace: this.pace});
  }

  private createPace(slots: number): PaceController {
    const {durations} = this;
    const {clock} = this.opts;
    return new PaceController({
      clock,
      slots,
      durations,
      onChange: (change) => this.logPace(change),
    });
  }

  private logPace(change: PaceChange): void {
    const {clock, logger} = this.opts;
    const isLevelChange = change.reason !== 'cold' && change.reason !== 'open';
    const nowMs = clock.nowMs();
    if (isLevelChange && nowMs - this.paceLoggedAtMs < PACE_LOG_INTERVAL_MS) return;
    this.paceLoggedAtMs = nowMs;
    logger.info({life: this.incarnation, ...change}, 'Pace of the target changed');
  }

  /** Starts slowly each time the target becomes cold. */
  private paceColdTarget(): void {
    const isCold = this.opts.isCold?.() === true;
    if (isCold && !this.wasCold) this.pace.begin('cold');
    this.wasCold = isCold;
  }

  private recordPace(
    {route: requestClass, targetLeftMs}: Offer,
    pace: PaceController,
    result: RunResult,
    startedAtMs: number,
  ): void {
    const hasFailed = isTargetFailure(result);
    if (hasFailed === undefined) return;
    const workMs = this.opts.clock.nowMs() - startedAtMs;
    const fallbackMs = targetLeftMs * USUAL_TARGET_FRACTION;
    pace.record({requestClass, startedAtMs, workMs, hasFailed, fallbackMs});
  }

  private async run(
    offer: Offer,
    target: CurrentTarget,
    frame: RequestFrame,
    permit: SlotPermit,
    deadlineAtMs: number,
    signal: AbortSignal,
  ): Promise<RunResult> {
    const {clock, client} = this.opts;
    const {queue, pace} = this;
    const startedAtMs = clock.nowMs();
    let result: RunResult;
    try {
      // The target may have changed while the request was queued.
      this.requireTarget(offer);
      if (!this.opts.poison.isEmpty)
        this.opts.poison.assertNotQuarantined(fingerprintsOf(offer.service, frame));
      const deadlineLeftMs = Math.floor(deadlineAtMs - startedAtMs - RESPONSE_ALLOWANCE_MS);
      if (deadlineLeftMs <= 0) throw new MedlarlaneError('DEADLINE_EXCEEDED');
      // The target may have become cold since the admission.
      if (!permit.trySend()) throw new MedlarlaneError('OVERLOADED');
      result = await client.run({
        offer,
        targetId: target.targetId,
        frame,
        deadlineLeftMs,
        signal,
      });
    } catch (thrown) {
      result = {kind: 'refused', code: toMedlarlaneError(thrown).code};
    }
    const finish = (finalResult: RunResult): void =>
      this.finishRun({offer, target, frame, permit, queue, pace, startedAtMs}, finalResult);
    if (result.kind === 'answered' && result.answer.body instanceof ResponseStream) {
      const head = result;
      // The target is busy with the request until its last byte was read.
      result.answer.body.onSourceEnd((end) =>
        finish(end === 'complete' ? head : brokenResult(signal)),
      );
    } else {
      finish(result);
    }
    return {...result, load: this.load};
  }

  private finishRun(
    {offer, target, frame, permit, queue, pace, startedAtMs}: StartedRun,
    result: RunResult,
  ): void {
    const workMs = this.opts.clock.nowMs() - startedAtMs;
    const didWork = result.kind === 'answered' || result.kind === 'lost';
    this.opts.demandMeter?.recordEnd(
      didWork ? {priority: offer.priority, heldMs: workMs} : undefined,
    );
    this.recordPace(offer, pace, result, startedAtMs);
    if (result.kind === 'refused') permit.cancel();
    else if (queue === this.queue && this.mayStillRun(result)) {
      this.heldSlots.hold(permit, this.remainingMs(offer, workMs));
    } else permit.release(didWork ? workMs : undefined);
    if (result.kind === 'answered') {
      queue.recordDuration(offer.route, workMs);
      const slowdown = this.opts.slowdown?.() ?? this.meanSlowdown;
      this.meanSlowdown += (slowdown - this.meanSlowdown) * SLOWDOWN_SMOOTHING;
    }
    this.trackForCrash(offer, target, frame, result, startedAtMs);
    this.opts.onResult(result, workMs);
    this.logRun(offer, target, permit, result, workMs);
  }

  /** Whether the daemon has given up a request that the target may not have stopped. */
  private mayStillRun(result: RunResult): boolean {
    const isGivenUp =
      result.kind === 'lost' && (result.code === 'CANCELLED' || result.code === 'TARGET_TIMEOUT');
    return isGivenUp && this.statesLoad;
  }

  /** Expected remaining work. An overdue request may take as long again. */
  private remainingMs({route}: Offer, workMs: number): number {
    const typicalMs = this.queue.typicalDurationMs(route) ?? this.queue.meanMs;
    const expectedMs = typicalMs * (this.relativeSlowdown ?? 1);
    return workMs < expectedMs ? expectedMs - workMs : expectedMs;
  }

  private trackForCrash(
    {requestId, service}: Offer,
    {life}: CurrentTarget,
    frame: RequestFrame,
    result: RunResult,
    startedAtMs: number,
  ): void {
    const {poison, clock} = this.opts;
    const endedAtMs = clock.nowMs();
    this.lostRequests = this.lostRequests.filter(
      (run) => run.endedAtMs > endedAtMs - CRASH_DETECTION_MS,
    );
    if (result.kind === 'answered' && !poison.isEmpty) {
      for (const fingerprint of fingerprintsOf(service, frame)) poison.recordSuccess(fingerprint);
    }
    if (result.kind !== 'lost' || result.code !== 'TARGET_FAILED') return;
    const fingerprints = fingerprintsOf(service, frame);
    this.lostRequests.push({requestId, life, fingerprints, startedAtMs, endedAtMs});
  }

  private logRun(
    {requestId, route, priority, key}: Offer,
    {life}: CurrentTarget,
    {waitedMs}: SlotPermit,
    result: RunResult,
    workMs: number,
  ): void {
    const {inFlight, waiting, slots, rateLimitRps, pacedSlots} = this.load;
    this.opts.logger.info(
      {
        requestId,
        route,
        priority,
        key,
        life,
        waitedMs: Math.round(waitedMs),
        workMs: Math.round(workMs),
        inFlight,
        waiting,
        slots,
        rateLimitRps,
        pacedSlots,
        outcome: result.kind,
        status: result.kind === 'answered' ? result.answer.status : undefined,
        code: result.kind === 'answered' ? undefined : result.code,
      },
      'Request ran at target',
    );
  }
}

/** Result of a large response that ended early. */
function brokenResult({aborted}: AbortSignal): RunResult {
  return {kind: 'lost', code: aborted ? 'CANCELLED' : 'TARGET_FAILED'};
}

/**
 * Whether the result shows that the target is not well; `undefined` if it says nothing about that. A target
 * that rejects requests may just be busy, and some reject a part of them while the others run as usual.
 */
function isTargetFailure(result: RunResult): boolean | undefined {
  if (result.kind === 'answered') return FAILURE_STATUSES.has(result.answer.status);
  return result.kind === 'lost' && result.code !== 'CANCELLED' ? true : undefined;
}
