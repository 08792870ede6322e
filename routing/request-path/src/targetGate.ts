import {SlotQueue} from '@medlarlane/admission';
import type {SlotPermit} from '@medlarlane/admission';
import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import type {PoisonTable} from '@medlarlane/poison';
import {fingerprintsOf} from './fingerprintsOf.js';
import type {TargetClient} from './createTargetClient.js';
import type {TargetLoad, Offer, RequestFrame, RunResult} from './messages.js';

/** The target beside this daemon, as its heartbeats describe it. */
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
  /** The target that takes new work now, or why none does. */
  readonly target: () => CurrentTarget | MedlarlaneError;
  /** Whether the target holds the key now, by a grant that has not run out. */
  readonly holdsKey: (key: number) => boolean;
  /** Time until the target gets the key; `undefined` when it is not going to. */
  readonly grantDueInMs: (key: number) => number | undefined;
  readonly poison: PoisonTable;
  readonly onResult: (result: RunResult, workMs: number) => void;
  /** Told about each request for a key that the target holds. */
  readonly onKeyRequest: (key: number) => void;
}

/** An admitted request, to be run or given back. */
export interface SlotReservation {
  run(frame: RequestFrame, signal: AbortSignal): Promise<RunResult>;
  cancel(): void;
}

interface LostRun {
  readonly requestId: string;
  readonly life: string;
  readonly fingerprints: readonly string[];
  readonly startedAtMs: number;
  readonly endedAtMs: number;
}

/** A crash is noticed by the next connection attempt or by the target's next life within this time. */
const CRASH_NOTICE_MS = 6_000;
/** A grant that is due later is not waited for when the answer has to come in time. */
const MAX_GRANT_WAIT_MS = 150;
/** The same for a late answer; most of a heartbeat period, and a third of the time left at most. */
const MAX_LATE_GRANT_WAIT_MS = 600;
/** Where the answer is still in time after it; a heartbeat period and its delay. */
const MAX_TIMELY_GRANT_WAIT_MS = 1_000;
/** The time that an answer needs from the target's daemon back to the caller. */
const RETURN_ALLOWANCE_MS = 5;

/** Admits requests to the target beside this daemon and runs them. */
export class AdmissionController {
  private queue: SlotQueue;
  private life = '';
  /** Requests whose answers were lost a moment ago, which may have crashed the target. */
  private lost: LostRun[] = [];

  constructor(private readonly opts: AdmissionControllerOptions) {
    this.queue = new SlotQueue({slots: 1, clock: opts.clock});
  }

  get load(): TargetLoad {
    const {inFlight, waiting, slotCount, meanMs} = this.queue;
    return {inFlight, waiting, slots: slotCount, meanMs: Math.round(meanMs)};
  }

  get inFlight(): number {
    return this.queue.inFlight;
  }

  /** Refuses what waits, because the target takes no more work. */
  refuseQueued(code: 'DRAINING' | 'NO_TARGET'): void {
    this.queue.refuseQueued(new MedlarlaneError(code));
  }

  /** The target's life ended; what it was running is suspected. Returns what is quarantined by it. */
  recordTargetCrash(life: string): string[] {
    const sinceMs = this.opts.clock.nowMs() - CRASH_NOTICE_MS;
    const suspects = this.lost.filter((run) => run.life === life && run.endedAtMs >= sinceMs);
    this.lost = [];
    if (suspects.length === 0) return [];
    const quarantined = this.opts.poison.recordCrash(
      suspects.flatMap(({fingerprints, startedAtMs}) =>
        fingerprints.map((fingerprint) => ({fingerprint, startedAtMs})),
      ),
    );
    this.opts.logger.warn(
      {life, requestIds: suspects.map(({requestId}) => requestId), quarantined},
      'Target crashed with requests in flight',
    );
    return quarantined;
  }

  /**
   * Resolves when a slot of the target is reserved.
   * @throws MedlarlaneError with ran `no`.
   */
  async admit(offer: Offer, signal: AbortSignal): Promise<SlotReservation> {
    const {clock} = this.opts;
    const offeredAtMs = clock.nowMs();
    const deadlineAtMs = offeredAtMs + offer.deadlineLeftMs;
    await this.waitForGrant(offer, signal);
    const target = this.requireTarget(offer);
    this.follow(target);
    if (offer.key !== undefined) this.opts.onKeyRequest(offer.key);
    const permit = await this.queue.acquire({
      requestClass: offer.route,
      priority: offer.priority,
      latencyTargetAtMs: offeredAtMs + offer.targetLeftMs,
      deadlineAtMs,
      acceptLate: offer.acceptLate,
      maxWaitMs: offer.maxWaitMs,
      signal,
    });
    return {
      run: (frame, runSignal) => this.run(offer, target, frame, permit, deadlineAtMs, runSignal),
      cancel: () => permit.release(),
    };
  }

  private requireTarget(offer: Offer): CurrentTarget {
    const target = this.opts.target();
    if (target instanceof MedlarlaneError) throw target;
    if (target.service !== offer.service || target.life !== offer.life) {
      throw new MedlarlaneError('NO_TARGET', 'Another target runs here');
    }
    if (offer.key !== undefined && !this.opts.holdsKey(offer.key)) {
      const retryAfterMs = this.opts.grantDueInMs(offer.key);
      throw new MedlarlaneError('NOT_OWNER', undefined, {
        details: retryAfterMs === undefined ? {} : {retryAfterMs},
      });
    }
    return target;
  }

  /** Keys that are about to arrive are worth a short wait; it saves the caller a refusal. */
  private async waitForGrant(
    {key, targetLeftMs, deadlineLeftMs, acceptLate}: Offer,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, holdsKey, grantDueInMs} = this.opts;
    if (key === undefined || holdsKey(key)) return;
    const waitMs = grantDueInMs(key);
    const lateMs = Math.min(MAX_LATE_GRANT_WAIT_MS, deadlineLeftMs / 3);
    const maxMs = acceptLate
      ? Math.max(lateMs, Math.min(MAX_TIMELY_GRANT_WAIT_MS, targetLeftMs / 2))
      : Math.min(MAX_GRANT_WAIT_MS, targetLeftMs / 3);
    if (waitMs === undefined || waitMs > maxMs) return;
    await clock.sleep(waitMs, {signal}).catch(() => undefined);
  }

  /** Another life starts with an empty queue and nothing learned. */
  private follow({life, slots}: CurrentTarget): void {
    if (this.life === life) return;
    this.life = life;
    this.queue.refuseQueued(new MedlarlaneError('NO_TARGET'));
    this.queue = new SlotQueue({slots, clock: this.opts.clock});
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
      // The permit may have waited, and the target may have changed meanwhile.
      this.requireTarget(offer);
      if (!this.opts.poison.isEmpty)
        this.opts.poison.assertNotQuarantined(fingerprintsOf(offer.service, frame));
      const deadlineLeftMs = Math.floor(deadlineAtMs - startedAtMs - RETURN_ALLOWANCE_MS);
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
    const worked = result.kind === 'answered' || result.kind === 'lost';
    permit.release(worked ? workMs : undefined);
    if (result.kind === 'answered') queue.recordDuration(offer.route, workMs);
    this.noteForCrash(offer, target, frame, result, startedAtMs);
    this.opts.onResult(result, workMs);
    this.logRun(offer, target, permit, result, workMs);
    return {...result, load: this.load};
  }

  private noteForCrash(
    {requestId, service}: Offer,
    {life}: CurrentTarget,
    frame: RequestFrame,
    result: RunResult,
    startedAtMs: number,
  ): void {
    const {poison, clock} = this.opts;
    const endedAtMs = clock.nowMs();
    this.lost = this.lost.filter((run) => run.endedAtMs > endedAtMs - CRASH_NOTICE_MS);
    if (result.kind === 'answered' && !poison.isEmpty) {
      for (const fingerprint of fingerprintsOf(service, frame)) poison.recordSuccess(fingerprint);
    }
    if (result.kind !== 'lost' || result.code !== 'TARGET_FAILED') return;
    const fingerprints = fingerprintsOf(service, frame);
    this.lost.push({requestId, life, fingerprints, startedAtMs, endedAtMs});
  }

  private logRun(
    {requestId, route, key}: Offer,
    {life}: CurrentTarget,
    {waitedMs}: SlotPermit,
    result: RunResult,
    workMs: number,
  ): void {
    const {inFlight, waiting, slots} = this.load;
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
        outcome: result.kind,
        status: result.kind === 'answered' ? result.answer.status : undefined,
        code: result.kind === 'answered' ? undefined : result.code,
      },
      'Ran at the target',
    );
  }
}
