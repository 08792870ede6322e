import {SlotQueue} from '@medlarlane/admission';
import type {DemandMeter, SlotPermit} from '@medlarlane/admission';
import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import type {PoisonTable} from '@medlarlane/poison';
import {fingerprintsOf} from './fingerprintsOf.js';
import type {TargetClient} from './createTargetClient.js';
import type {TargetLoad, Offer, RequestFrame, RunResult} from './messages.js';

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
  /** Expected time until the key is granted to the target; `undefined` if no grant is planned. */
  readonly grantDueInMs: (key: number) => number | undefined;
  readonly poison: PoisonTable;
  readonly onResult: (result: RunResult, workMs: number) => void;
  /** Called for each request for a key that the target holds. */
  readonly onKeyRequest: (key: number) => void;
  /** Measures the work of the target for the admission levels of its service. */
  readonly demandMeter?: DemandMeter;
}

/** A reserved slot, which must be either used by `run` or released by `cancel`. */
export interface SlotReservation {
  run(frame: RequestFrame, signal: AbortSignal): Promise<RunResult>;
  cancel(): void;
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
/** Time reserved for sending the response from the target's daemon back to the caller. */
const RESPONSE_ALLOWANCE_MS = 5;

/** Admits requests to the local target of this daemon and runs them. */
export class AdmissionController {
  private queue: SlotQueue;
  private incarnation = '';
  /** Recent requests without a response, which may have crashed the target. */
  private lostRequests: LostRequest[] = [];

  constructor(private readonly opts: AdmissionControllerOptions) {
    this.queue = new SlotQueue({slots: 1, clock: opts.clock});
  }

  get load(): TargetLoad {
    const {inFlight, waiting, slotCount, meanMs} = this.queue;
    const rateLimitRps = this.opts.rateLimitRps();
    return {
      inFlight,
      waiting,
      slots: slotCount,
      meanMs: Math.round(meanMs),
      ...(rateLimitRps === undefined ? {} : {rateLimitRps}),
    };
  }

  /** Slots that the rate limit of the target keeps busy, at most all. */
  get usableSlots(): number {
    const {slots, meanMs, rateLimitRps = Infinity} = this.load;
    return Math.min(slots, (rateLimitRps * meanMs) / MS_PER_S);
  }

  get inFlight(): number {
    return this.queue.inFlight;
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
    this.queue = new SlotQueue({slots, clock, rateLimitRps});
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
    const {queue} = this;
    const startedAtMs = clock.nowMs();
    let result: RunResult;
    try {
      // The target may have changed while the request was queued.
      this.requireTarget(offer);
      if (!this.opts.poison.isEmpty)
        this.opts.poison.assertNotQuarantined(fingerprintsOf(offer.service, frame));
      const deadlineLeftMs = Math.floor(deadlineAtMs - startedAtMs - RESPONSE_ALLOWANCE_MS);
      if (deadlineLeftMs <= 0) throw new MedlarlaneError('DEADLINE_EXCEEDED');
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
    const workMs = clock.nowMs() - startedAtMs;
    const didWork = result.kind === 'answered' || result.kind === 'lost';
    this.opts.demandMeter?.recordEnd(
      didWork ? {priority: offer.priority, heldMs: workMs} : undefined,
    );
    if (result.kind === 'refused') permit.cancel();
    else permit.release(didWork ? workMs : undefined);
    if (result.kind === 'answered') queue.recordDuration(offer.route, workMs);
    this.trackForCrash(offer, target, frame, result, startedAtMs);
    this.opts.onResult(result, workMs);
    this.logRun(offer, target, permit, result, workMs);
    return {...result, load: this.load};
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
    {requestId, route, key}: Offer,
    {life}: CurrentTarget,
    {waitedMs}: SlotPermit,
    result: RunResult,
    workMs: number,
  ): void {
    const {inFlight, waiting, slots, rateLimitRps} = this.load;
    this.opts.logger.info(
      {
        requestId,
        route,
        key,
        life,
        waitedMs: Math.round(waitedMs),
        workMs: Math.round(workMs),
        inFlight,
        waiting,
        slots,
        rateLimitRps,
        outcome: result.kind,
        status: result.kind === 'answered' ? result.answer.status : undefined,
        code: result.kind === 'answered' ? undefined : result.code,
      },
      'Request ran at target',
    );
  }
}
