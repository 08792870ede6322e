import {SlotQueue} from '@medlarlane/admission';
import type {SlotPermit} from '@medlarlane/admission';
import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import type {TargetClient} from './createTargetClient.js';
import type {GateLoad, Offer, RequestFrame, RunResult} from './messages.js';

/** The target beside this daemon, as its heartbeats describe it. */
export interface GateTarget {
  readonly targetId: string;
  readonly life: string;
  readonly service: string;
  readonly slots: number;
}

export interface GateOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly client: TargetClient;
  /** The target that takes new work now, or why none does. */
  readonly target: () => GateTarget | MedlarlaneError;
  /** Whether the target holds the key now, by a grant that has not run out. */
  readonly holdsKey: (key: number) => boolean;
  /** Told about each run, for the load of keys. */
  readonly onWork?: (offer: Offer, workMs: number) => void;
}

/** An admitted request, to be run or given back. */
export interface GateAdmission {
  run(frame: RequestFrame, signal: AbortSignal): Promise<RunResult>;
  cancel(): void;
}

/** The time that an answer needs from the target's daemon back to the caller. */
const RETURN_ALLOWANCE_MS = 5;

/** Admits requests to the target beside this daemon and runs them. */
export class TargetGate {
  private queue: SlotQueue;
  private life = '';

  constructor(private readonly opts: GateOptions) {
    this.queue = new SlotQueue({slots: 1, clock: opts.clock});
  }

  get load(): GateLoad {
    const {inFlight, waiting, slotCount, meanMs} = this.queue;
    return {inFlight, waiting, slots: slotCount, meanMs: Math.round(meanMs)};
  }

  get utilisation(): number {
    return this.queue.utilisation;
  }

  get inFlight(): number {
    return this.queue.inFlight;
  }

  /** Refuses what waits, because the target takes no more work. */
  refuseWaiting(code: 'DRAINING' | 'NO_TARGET'): void {
    this.queue.refuseWaiting(new MedlarlaneError(code));
  }

  /**
   * Resolves when a slot of the target is reserved.
   * @throws MedlarlaneError with ran `no`.
   */
  async admit(offer: Offer, signal: AbortSignal): Promise<GateAdmission> {
    const target = this.requireTarget(offer);
    this.follow(target);
    const {clock} = this.opts;
    const nowMs = clock.nowMs();
    const deadlineAtMs = nowMs + offer.deadlineLeftMs;
    const permit = await this.queue.acquire({
      kind: offer.route,
      priority: offer.priority,
      targetAtMs: nowMs + offer.targetLeftMs,
      deadlineAtMs,
      signal,
    });
    return {
      run: (frame, runSignal) => this.run(offer, target, frame, permit, deadlineAtMs, runSignal),
      cancel: () => permit.release(),
    };
  }

  private requireTarget(offer: Offer): GateTarget {
    const target = this.opts.target();
    if (target instanceof MedlarlaneError) throw target;
    if (target.service !== offer.service || target.life !== offer.life) {
      throw new MedlarlaneError('NO_TARGET', 'Another target runs here');
    }
    if (offer.key !== undefined && !this.opts.holdsKey(offer.key)) {
      throw new MedlarlaneError('NOT_OWNER');
    }
    return target;
  }

  /** Another life starts with an empty queue and nothing learned. */
  private follow({life, slots}: GateTarget): void {
    if (this.life === life) return;
    this.life = life;
    this.queue.refuseWaiting(new MedlarlaneError('NO_TARGET'));
    this.queue = new SlotQueue({slots, clock: this.opts.clock});
  }

  private async run(
    offer: Offer,
    target: GateTarget,
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
    if (result.kind === 'answered') queue.learn(offer.route, workMs);
    if (worked) this.opts.onWork?.(offer, workMs);
    this.logRun(offer, target, permit, result, workMs);
    return {...result, load: this.load};
  }

  private logRun(
    {requestId, route, key}: Offer,
    {life}: GateTarget,
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
