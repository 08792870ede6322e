import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import {covers, intersection, overlaps, without} from './keyRange.js';
import type {KeyRange} from './keyRange.js';

/** A key range with its fencing token. */
export interface FencedKeyRange extends KeyRange {
  readonly epoch: number;
}

export interface KeyGrantRequest extends FencedKeyRange {
  /** Duration of the grant. The target counts it from the arrival of the request. */
  readonly holdMs: number;
  /** Proof of the release by the previous holder, or an empty string. */
  readonly handover: string;
}

/**
 * Result of a grant request: `fenced` when the target has seen a higher fencing token, `unanswered` when
 * the target may still apply the grant, `unsent` when the request never left this process.
 */
export type GrantOutcome = 'granted' | 'fenced' | 'unanswered' | 'unsent';

/** Requests to a target that grant keys and ask it to release them. */
export interface GrantApi {
  /**
   * Closes the connection after `timeoutMs`, so that the request cannot arrive at the target later.
   */
  grant(request: KeyGrantRequest, opts: {timeoutMs: number}): Promise<GrantOutcome>;
  /** Resolves when the target has finished its work on the keys; `undefined` without a response. */
  release(
    request: FencedKeyRange,
    opts: {timeoutMs: number},
  ): Promise<{readonly handover: string} | undefined>;
}

export interface PushedGrantsOptions {
  readonly api: GrantApi;
  /** Clock for the expiry of leases and grants; may run ahead after the machine was suspended. */
  readonly clock: Clock;
  /** Clock that never runs ahead; bounds how long a grant may still be in force at the target. */
  readonly steadyClock: Clock;
  readonly logger: Logger;
  /** Maximum duration of a grant. */
  readonly holdMs: number;
  /** Minimum duration of a grant; a shorter one is not sent. */
  readonly minHoldMs: number;
  /** The target's clock may run slow by a fraction of 1 minus this factor. */
  readonly clockRateMargin: number;
  /**
   * Called when the target no longer holds the keys. `handover` is the proof of the release, or an empty
   * string.
   */
  readonly onReleased: (keys: KeyRange, handover: string) => void;
}

/** The keys that the target is to hold now and those that it is to release. */
export interface GrantPlan {
  readonly keep: ReadonlyArray<FencedKeyRange & {readonly handover: string}>;
  /** Keys that the target is to release. */
  readonly revoke: readonly KeyRange[];
  /** Whether to revoke keys even while an unanswered grant for them may still be applied. */
  readonly revokeImmediately: boolean;
  /** Expiry of the daemon's own lease, on `clock`. */
  readonly leaseUntilMs: number;
}

interface TrackedGrant extends FencedKeyRange {
  /** Until this time the target is known to hold the keys, on `clock`. */
  readonly confirmedUntilMs: number;
  /** Until this time the target may hold the keys, on `steadyClock`. */
  readonly mayHoldUntilMs: number;
  /** Until this time an unanswered grant may be in force, on `steadyClock`. */
  readonly unansweredUntilMs: number;
  /** Not granted again under this token; released at the latest when `mayHoldUntilMs` has passed. */
  readonly isReleasing: boolean;
}

/** A healthy target on the same instance responds within milliseconds; otherwise the request is retried. */
const GRANT_REQUEST_TIMEOUT_MS = 400;
/** Leaves time for three attempts before a grant expires. */
const RENEWAL_LEAD_TIME_MS = 1_600;
/** Delay before requests are retried after one of them got no response. */
const RETRY_DELAY_MS = 100;

/**
 * Grants keys to one incarnation of a target by requests to it and renews these grants. A target may
 * apply an unanswered grant seconds later, so keys are reported as released only when no such grant can
 * be in force any more.
 */
export class PushedGrants {
  private trackedGrants: TrackedGrant[] = [];
  private inFlight: KeyRange[] = [];
  private fencedRanges: FencedKeyRange[] = [];
  private retryAtMs = -Infinity;
  /** Incremented for each incarnation, so that responses of an earlier one are ignored. */
  private generation = 0;

  constructor(private readonly opts: PushedGrantsOptions) {}

  holdsKey(key: number): boolean {
    const nowMs = this.opts.clock.nowMs();
    return this.trackedGrants.some(
      ({fromKey, toKey, confirmedUntilMs}) =>
        fromKey <= key && key <= toKey && nowMs < confirmedUntilMs,
    );
  }

  /** Whether any grant may still be in force. */
  get mayHoldKeys(): boolean {
    const nowMs = this.opts.steadyClock.nowMs();
    return this.trackedGrants.some(({mayHoldUntilMs}) => nowMs < mayHoldUntilMs);
  }

  /** Clears all grants for a new incarnation, which holds none of them. */
  reset(): void {
    this.generation += 1;
    this.trackedGrants = [];
    this.inFlight = [];
    this.fencedRanges = [];
    this.retryAtMs = -Infinity;
  }

  /** Starts the requests that the plan needs now. Must be called regularly and when the plan changes. */
  applyPlan(plan: GrantPlan): void {
    const {clock, steadyClock} = this.opts;
    this.removeExpired(steadyClock.nowMs());
    if (clock.nowMs() < this.retryAtMs) return;
    for (const {keys, tracked} of this.listReleasesDue(plan))
      void this.release(keys, tracked, plan);
    for (const range of plan.keep) if (this.needsGrant(range)) void this.grant(range, plan);
  }

  private removeExpired(nowMs: number): void {
    const expired = this.trackedGrants.filter(
      (tracked) => nowMs >= tracked.mayHoldUntilMs && !this.isInFlight(tracked),
    );
    if (expired.length === 0) return;
    this.trackedGrants = this.trackedGrants.filter((tracked) => !expired.includes(tracked));
    for (const tracked of expired) {
      if (tracked.isReleasing) this.opts.onReleased(keyRangeOf(tracked), '');
    }
  }

  private listReleasesDue({
    revoke,
    revokeImmediately,
  }: GrantPlan): Array<{keys: KeyRange; tracked: TrackedGrant}> {
    const nowMs = this.opts.steadyClock.nowMs();
    return this.trackedGrants
      .filter((tracked) => revokeImmediately || tracked.unansweredUntilMs <= nowMs)
      .flatMap((tracked) =>
        revoke.flatMap((keys) => {
          const part = intersection(tracked, keys);
          return part && !this.isInFlight(part) ? [{keys: part, tracked}] : [];
        }),
      );
  }

  private needsGrant(range: FencedKeyRange): boolean {
    if (this.isInFlight(range) || this.fencedRanges.some((other) => isSameGrant(other, range)))
      return false;
    const tracked = this.trackedGrants.find((other) => isSameGrant(other, range));
    return !tracked || tracked.confirmedUntilMs - this.opts.clock.nowMs() < RENEWAL_LEAD_TIME_MS;
  }

  private async grant(range: GrantPlan['keep'][number], {leaseUntilMs}: GrantPlan): Promise<void> {
    const {api, clock, steadyClock, logger, clockRateMargin} = this.opts;
    const sentAtMs = clock.nowMs();
    // The request may arrive as late as its timeout, and the target counts the grant from its arrival.
    const remainingMs = (leaseUntilMs - sentAtMs - GRANT_REQUEST_TIMEOUT_MS) * clockRateMargin;
    const holdMs = Math.floor(Math.min(this.opts.holdMs, remainingMs));
    if (holdMs < this.opts.minHoldMs) return;
    const {generation} = this;
    const keys = keyRangeOf(range);
    const previous = this.trackRange(range);
    const wasConfirmed = previous.confirmedUntilMs > sentAtMs;
    this.inFlight.push(keys);
    const outcome = await api.grant(
      {...keys, epoch: range.epoch, holdMs, handover: wasConfirmed ? '' : range.handover},
      {timeoutMs: GRANT_REQUEST_TIMEOUT_MS},
    );
    if (generation !== this.generation) return;
    this.inFlight = this.inFlight.filter((other) => other !== keys);
    const expiresAtMs = steadyClock.nowMs() + holdMs / clockRateMargin;
    const changesByOutcome: Record<GrantOutcome, Partial<TrackedGrant>> = {
      granted: {
        confirmedUntilMs: sentAtMs + holdMs,
        mayHoldUntilMs: Math.max(previous.mayHoldUntilMs, expiresAtMs),
      },
      unanswered: {
        mayHoldUntilMs: Math.max(previous.mayHoldUntilMs, expiresAtMs),
        unansweredUntilMs: expiresAtMs,
      },
      fenced: {confirmedUntilMs: -Infinity, isReleasing: true},
      unsent: {},
    };
    this.replace(keys, {...previous, ...changesByOutcome[outcome]});
    if (outcome !== 'granted' || !wasConfirmed) {
      logger.info({...keys, epoch: range.epoch, holdMs, outcome}, 'Pushed key grant');
    }
    if (outcome === 'fenced') this.fencedRanges.push({...keys, epoch: range.epoch});
    else if (outcome !== 'granted') this.delayRetry();
  }

  private async release(
    keys: KeyRange,
    {epoch, mayHoldUntilMs, unansweredUntilMs}: TrackedGrant,
    {leaseUntilMs}: GrantPlan,
  ): Promise<void> {
    const {api, clock, steadyClock, logger, onReleased} = this.opts;
    const {generation} = this;
    this.replace(keys, {
      ...keys,
      epoch,
      confirmedUntilMs: -Infinity,
      mayHoldUntilMs,
      unansweredUntilMs,
      isReleasing: true,
    });
    this.inFlight.push(keys);
    const timeoutMs = Math.max(RETRY_DELAY_MS, mayHoldUntilMs - steadyClock.nowMs());
    const response = await api.release({...keys, epoch}, {timeoutMs});
    const waitMs = unansweredUntilMs - steadyClock.nowMs();
    if (response && waitMs > 0) await clock.sleep(waitMs);
    if (generation !== this.generation) return;
    this.inFlight = this.inFlight.filter((other) => other !== keys);
    logger.info(
      {...keys, epoch, handover: response?.handover, leaseUntilMs},
      'Requested key release',
    );
    if (!response) return this.delayRetry();
    this.replace(keys, undefined);
    onReleased(keys, response.handover);
  }

  private delayRetry(): void {
    this.retryAtMs = this.opts.clock.nowMs() + RETRY_DELAY_MS;
  }

  /** Replaces all tracked grants that overlap the range by a single one. */
  private trackRange(range: FencedKeyRange): TrackedGrant {
    const overlapping = this.trackedGrants.filter((merged) => overlaps(merged, range));
    const isContiguous =
      overlapping.every(({epoch}) => epoch === range.epoch) && covers(overlapping, range);
    const merged: TrackedGrant = {
      ...keyRangeOf(range),
      epoch: range.epoch,
      confirmedUntilMs: isContiguous
        ? Math.min(...overlapping.map(({confirmedUntilMs}) => confirmedUntilMs))
        : -Infinity,
      mayHoldUntilMs: Math.max(-Infinity, ...overlapping.map(({mayHoldUntilMs}) => mayHoldUntilMs)),
      unansweredUntilMs: Math.max(
        -Infinity,
        ...overlapping.map(({unansweredUntilMs}) => unansweredUntilMs),
      ),
      isReleasing: false,
    };
    this.replace(range, merged);
    return merged;
  }

  private replace(keys: KeyRange, next: TrackedGrant | undefined): void {
    const kept = this.trackedGrants.flatMap((tracked) =>
      overlaps(tracked, keys)
        ? without(tracked, keys).map((part) => ({...tracked, ...part}))
        : [tracked],
    );
    this.trackedGrants = next ? [...kept, next] : kept;
  }

  private isInFlight(keys: KeyRange): boolean {
    return this.inFlight.some((other) => overlaps(other, keys));
  }
}

function isSameGrant(a: FencedKeyRange, b: FencedKeyRange): boolean {
  return a.fromKey === b.fromKey && a.toKey === b.toKey && a.epoch === b.epoch;
}

function keyRangeOf({fromKey, toKey}: KeyRange): KeyRange {
  return {fromKey, toKey};
}
