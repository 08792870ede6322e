import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import {covers, intersection, overlaps, without} from './keyRange.js';
import type {KeyRange} from './keyRange.js';

/** Keys under one fencing token. */
export interface FencedKeyRange extends KeyRange {
  readonly epoch: number;
}

export interface KeyGrantRequest extends FencedKeyRange {
  /** Counted by the target from the arrival of the call. */
  readonly holdMs: number;
  /** Proof of the release by the last holder, or empty. */
  readonly handover: string;
}

/**
 * What became of a grant: `fenced` when the target has seen a higher token, `unanswered` when it may
 * still be carried out, `unsent` when it never left this process.
 */
export type GrantOutcome = 'granted' | 'fenced' | 'unanswered' | 'unsent';

/** How keys are granted to a target and taken back by calls at its address. */
export interface GrantApi {
  /** `timeoutMs` bounds the arrival of the call too: its connection is closed then. */
  grant(order: KeyGrantRequest, opts: {timeoutMs: number}): Promise<GrantOutcome>;
  /** Resolves when the work on the keys has ended; `undefined` when no answer came. */
  release(
    order: FencedKeyRange,
    opts: {timeoutMs: number},
  ): Promise<{readonly handover: string} | undefined>;
}

export interface PushedGrantsOptions {
  readonly api: GrantApi;
  /** Ends leases and grants; may run ahead when the machine was suspended. */
  readonly clock: Clock;
  /** Never runs ahead; tells for how long a grant may still be in force at the target. */
  readonly steadyClock: Clock;
  readonly logger: Logger;
  /** Longest grant to give. */
  readonly holdMs: number;
  /** A grant with less time is not given. */
  readonly minHoldMs: number;
  /** A target's clock may run slow by one minus this factor. */
  readonly clockRateMargin: number;
  /** Called when the target holds the keys no more, with the proof of its release or an empty text. */
  readonly onReleased: (stretch: KeyRange, handover: string) => void;
}

/** What the target is to hold now. */
export interface GrantPlan {
  readonly keep: ReadonlyArray<FencedKeyRange & {readonly handover: string}>;
  /** Keys to take back. */
  readonly revoke: readonly KeyRange[];
  /** Whether the keys are to be taken back before grants without an answer have run out. */
  readonly revokeImmediately: boolean;
  /** End of the daemon's own lease, on `clock`. */
  readonly leaseUntilMs: number;
}

interface Piece extends FencedKeyRange {
  /** The target answers for the keys until then, on `clock`. */
  readonly heldUntilMs: number;
  /** Until then it may hold them, on `steadyClock`. */
  readonly mayHoldUntilMs: number;
  /** Until then a grant without an answer may come into force, on `steadyClock`. */
  readonly lateUntilMs: number;
  /** Never granted again under this token; given back when it has run out at the latest. */
  readonly isEnding: boolean;
}

/** A target on the same instance answers within milliseconds; one in trouble is asked again. */
const GRANT_TIMEOUT_MS = 400;
/** Leaves time for three tries before a grant runs out. */
const RENEW_BEFORE_MS = 1_600;
/** Pause before a call that got no answer is repeated. */
const RETRY_PAUSE_MS = 100;

/**
 * Keeps the keys of one life of a target granted by calls. A grant without an answer may be carried out
 * seconds later; keys are only reported as given back when no such grant can be in force any more.
 */
export class PushedGrants {
  private pieces: Piece[] = [];
  private inFlight: KeyRange[] = [];
  private fenced: FencedKeyRange[] = [];
  private retryAtMs = -Infinity;
  /** Changes with the life of the target, so that answers to an earlier one are dropped. */
  private generation = 0;

  constructor(private readonly opts: PushedGrantsOptions) {}

  holdsKey(key: number): boolean {
    const nowMs = this.opts.clock.nowMs();
    return this.pieces.some(
      ({fromKey, toKey, heldUntilMs}) => fromKey <= key && key <= toKey && nowMs < heldUntilMs,
    );
  }

  /** Whether any grant may still be in force. */
  get mayHoldKeys(): boolean {
    const nowMs = this.opts.steadyClock.nowMs();
    return this.pieces.some(({mayHoldUntilMs}) => nowMs < mayHoldUntilMs);
  }

  /** Another life holds nothing of what this one was granted. */
  reset(): void {
    this.generation += 1;
    this.pieces = [];
    this.inFlight = [];
    this.fenced = [];
    this.retryAtMs = -Infinity;
  }

  /** Starts the calls that the plan needs now; to be called whenever the plan changes, and regularly. */
  applyPlan(plan: GrantPlan): void {
    const {clock, steadyClock} = this.opts;
    this.forgetExpired(steadyClock.nowMs());
    if (clock.nowMs() < this.retryAtMs) return;
    for (const {stretch, piece} of this.toRelease(plan)) void this.release(stretch, piece, plan);
    for (const range of plan.keep) if (this.needsGrant(range)) void this.grant(range, plan);
  }

  private forgetExpired(nowMs: number): void {
    const expired = this.pieces.filter(
      (piece) => nowMs >= piece.mayHoldUntilMs && !this.isInFlight(piece),
    );
    if (expired.length === 0) return;
    this.pieces = this.pieces.filter((piece) => !expired.includes(piece));
    for (const piece of expired) {
      if (piece.isEnding) this.opts.onReleased(stretchOf(piece), '');
    }
  }

  private toRelease({
    revoke: giveUp,
    revokeImmediately: urgent,
  }: GrantPlan): Array<{stretch: KeyRange; piece: Piece}> {
    const nowMs = this.opts.steadyClock.nowMs();
    return this.pieces
      .filter((piece) => urgent || piece.lateUntilMs <= nowMs)
      .flatMap((piece) =>
        giveUp.flatMap((stretch) => {
          const part = intersection(piece, stretch);
          return part && !this.isInFlight(part) ? [{stretch: part, piece}] : [];
        }),
      );
  }

  private needsGrant(range: FencedKeyRange): boolean {
    if (this.isInFlight(range) || this.fenced.some((other) => isSame(other, range))) return false;
    const piece = this.pieces.find((other) => isSame(other, range));
    return !piece || piece.heldUntilMs - this.opts.clock.nowMs() < RENEW_BEFORE_MS;
  }

  private async grant(range: GrantPlan['keep'][number], {leaseUntilMs}: GrantPlan): Promise<void> {
    const {api: calls, clock, steadyClock, logger, clockRateMargin} = this.opts;
    const sentAtMs = clock.nowMs();
    // The call may arrive as late as its time limit, and the hold counts from then.
    const leftMs = (leaseUntilMs - sentAtMs - GRANT_TIMEOUT_MS) * clockRateMargin;
    const holdMs = Math.floor(Math.min(this.opts.holdMs, leftMs));
    if (holdMs < this.opts.minHoldMs) return;
    const {generation} = this;
    const stretch = stretchOf(range);
    const before = this.place(range);
    const held = before.heldUntilMs > sentAtMs;
    this.inFlight.push(stretch);
    const outcome = await calls.grant(
      {...stretch, epoch: range.epoch, holdMs, handover: held ? '' : range.handover},
      {timeoutMs: GRANT_TIMEOUT_MS},
    );
    if (generation !== this.generation) return;
    this.inFlight = this.inFlight.filter((other) => other !== stretch);
    const endsAtMs = steadyClock.nowMs() + holdMs / clockRateMargin;
    const changes: Record<GrantOutcome, Partial<Piece>> = {
      granted: {
        heldUntilMs: sentAtMs + holdMs,
        mayHoldUntilMs: Math.max(before.mayHoldUntilMs, endsAtMs),
      },
      unanswered: {
        mayHoldUntilMs: Math.max(before.mayHoldUntilMs, endsAtMs),
        lateUntilMs: endsAtMs,
      },
      fenced: {heldUntilMs: -Infinity, isEnding: true},
      unsent: {},
    };
    this.replace(stretch, {...before, ...changes[outcome]});
    if (outcome !== 'granted' || !held) {
      logger.info({...stretch, epoch: range.epoch, holdMs, outcome}, 'Granted keys by a call');
    }
    if (outcome === 'fenced') this.fenced.push({...stretch, epoch: range.epoch});
    else if (outcome !== 'granted') this.pauseCalls();
  }

  private async release(
    stretch: KeyRange,
    {epoch, mayHoldUntilMs, lateUntilMs}: Piece,
    {leaseUntilMs}: GrantPlan,
  ): Promise<void> {
    const {api: calls, clock, steadyClock, logger, onReleased: onGivenBack} = this.opts;
    const {generation} = this;
    this.replace(stretch, {
      ...stretch,
      epoch,
      heldUntilMs: -Infinity,
      mayHoldUntilMs,
      lateUntilMs,
      isEnding: true,
    });
    this.inFlight.push(stretch);
    const timeoutMs = Math.max(RETRY_PAUSE_MS, mayHoldUntilMs - steadyClock.nowMs());
    const answer = await calls.release({...stretch, epoch}, {timeoutMs});
    const lateMs = lateUntilMs - steadyClock.nowMs();
    if (answer && lateMs > 0) await clock.sleep(lateMs);
    if (generation !== this.generation) return;
    this.inFlight = this.inFlight.filter((other) => other !== stretch);
    logger.info(
      {...stretch, epoch, handover: answer?.handover, leaseUntilMs},
      'Took keys back by a call',
    );
    if (!answer) return this.pauseCalls();
    this.replace(stretch, undefined);
    onGivenBack(stretch, answer.handover);
  }

  private pauseCalls(): void {
    this.retryAtMs = this.opts.clock.nowMs() + RETRY_PAUSE_MS;
  }

  /** Puts a piece for the range in place of what overlaps it. */
  private place(range: FencedKeyRange): Piece {
    const inside = this.pieces.filter((piece) => overlaps(piece, range));
    const unbroken = inside.every(({epoch}) => epoch === range.epoch) && covers(inside, range);
    const piece: Piece = {
      ...stretchOf(range),
      epoch: range.epoch,
      heldUntilMs: unbroken ? Math.min(...inside.map(({heldUntilMs}) => heldUntilMs)) : -Infinity,
      mayHoldUntilMs: Math.max(-Infinity, ...inside.map(({mayHoldUntilMs}) => mayHoldUntilMs)),
      lateUntilMs: Math.max(-Infinity, ...inside.map(({lateUntilMs}) => lateUntilMs)),
      isEnding: false,
    };
    this.replace(range, piece);
    return piece;
  }

  private replace(stretch: KeyRange, next: Piece | undefined): void {
    const kept = this.pieces.flatMap((piece) =>
      overlaps(piece, stretch)
        ? without(piece, stretch).map((part) => ({...piece, ...part}))
        : [piece],
    );
    this.pieces = next ? [...kept, next] : kept;
  }

  private isInFlight(stretch: KeyRange): boolean {
    return this.inFlight.some((other) => overlaps(other, stretch));
  }
}

function isSame(a: FencedKeyRange, b: FencedKeyRange): boolean {
  return a.fromKey === b.fromKey && a.toKey === b.toKey && a.epoch === b.epoch;
}

function stretchOf({fromKey, toKey}: KeyRange): KeyRange {
  return {fromKey, toKey};
}
