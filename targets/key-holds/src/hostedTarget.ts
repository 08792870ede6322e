import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import {AnnouncedRemovals} from './announcedRemovals.js';
import {PushedGrants} from './calledGrants.js';
import type {GrantApi} from './calledGrants.js';
import {KeyDemand} from './keyDemand.js';
import {OutgoingKeys} from './departingKeys.js';
import type {ReleasedKeyRange, RequestedTransfer} from './departingKeys.js';
import {overlaps} from './keyRange.js';
import type {KeyRange} from './keyRange.js';
import {SuccessorClaim} from './successorClaim.js';
import type {ColdBound, TargetNotice} from './targetNotice.js';
import {TargetStatements} from './targetStatements.js';
import type {ColdSource, RateLimit} from './targetStatements.js';

/** State that a target reports about once a second. */
export interface Heartbeat {
  readonly targetId: string;
  /** Start time of this incarnation of the target, Unix milliseconds. */
  readonly startedAtMs: number;
  readonly service: string;
  readonly state: 'ready' | 'draining';
  readonly slots: number;
  /** Time for which the target stays cold; `undefined` if the target does not state it. */
  readonly coldLeftMs: number | undefined;
  /** Increases with each heartbeat of an incarnation. */
  readonly sequence: number;
  readonly holds: readonly HeldRange[];
  /** Key ranges released since the last heartbeat that got a response. */
  readonly freed: ReadonlyArray<{fromKey: number; toKey: number; handover: string}>;
}

export interface HeldRange {
  readonly fromKey: number;
  /** Inclusive. */
  readonly toKey: number;
  readonly epoch: number;
}

export interface GrantedRange extends HeldRange {
  /** Proof of the release by the previous holder, or an empty string. */
  readonly handover: string;
}

/** All keys that the target is to hold. The duration counts from when it sent its heartbeat. */
export interface KeyGrant {
  readonly ranges: readonly GrantedRange[];
  readonly holdMs: number;
}

export interface HostedTargetOptions {
  /** Clock for the expiry of leases and grants; may run ahead after the machine was suspended. */
  readonly clock: Clock;
  /** Clock that never runs ahead; bounds how long a grant may still be in force at the target. */
  readonly steadyClock: Clock;
  readonly logger: Logger;
  /** Interval between heartbeats. */
  readonly heartbeatIntervalMs: number;
  /** Drain timeout. The target accepts no new requests from shortly before it on. */
  readonly drainMs: number;
  /** Maximum duration of a grant that targets accept. */
  readonly maxHoldMs: number;
  /** Keys are the integers in [0, keyCount). */
  readonly keyCount: number;
  /** Grants keys by requests to the target; without it, responses to heartbeats carry the grants. */
  readonly grantApi?: GrantApi;
  /** What a cold target of the service tolerates; `undefined` if the service has no such bound. */
  readonly coldBound?: () => ColdBound | undefined;
  /** Whether the service is already served, so that a new target is one that has just started. */
  readonly isServiceServed?: () => boolean;
  /**
   * Whether the target accepts no requests until the control leader has been heard, because its zone may
   * be evacuated.
   */
  readonly awaitsLeader?: boolean;
}

/** What became of a heartbeat. `isSuperseded` tells that a later one of the same incarnation was accepted. */
export type HeartbeatResult =
  | {readonly accepted: true; readonly grant: KeyGrant | undefined}
  | {readonly accepted: false; readonly isSuperseded: boolean};

/** Whether a heartbeat is used, and why not. */
type HeartbeatVerdict = 'accepted' | 'superseded' | 'outdated' | 'disputed';

export type HostedTargetState = 'ready' | 'draining' | 'silent' | 'ended';

/** The directory entry of a daemon's own target. */
export interface RestoredTarget {
  readonly targetId: string;
  readonly life: string;
  readonly service: string;
  readonly state: HostedTargetState;
  readonly slots: number;
  readonly rateLimitRps?: number | undefined;
}

/** A range that the control leader assigned to the current incarnation. */
export interface AssignedRange extends GrantedRange {
  readonly ownerLife: string;
}

/** A target takes about this long to receive the response to a heartbeat and apply it. */
const HEARTBEAT_RESPONSE_MS = 15;
/**
 * Maximum duration of a grant. Tolerates a heartbeat that is 2 s late; the keys of a silent target
 * become available when it has expired.
 */
const MAX_GRANT_MS = 3_200;
/** A target's clock may run 2% slow, and a target counts a grant from when it sent the heartbeat. */
const CLOCK_RATE_MARGIN = 0.97;
/** A shorter grant would expire before the next heartbeat. */
const MIN_GRANT_MS = 300;
/** A grant request to the target on the same instance takes about this long. */
const GRANT_REQUEST_MS = 30;
/** Number of heartbeat intervals without a heartbeat after which the target counts as silent. */
const SILENT_AFTER_HEARTBEATS = 3;
/**
 * Tolerates a heartbeat that is slightly late. The end of a target is detected about this many heartbeat
 * intervals after it.
 */
const OVERDUE_AFTER_HEARTBEATS = 1.3;
/** The reported holds are used until the next heartbeat, which may be slightly late. */
const REPORT_VALID_HEARTBEATS = 1.5;
/** Rate of requests to a target until its first response tells whether it names a limit. */
const UNKNOWN_LIMIT_RPS = 10;
/** A target sends about this many heartbeats in a day. */
const MAX_SEQUENCE_STEP = 100_000;
/** Number of ended incarnations to report; more than can start between two reports that arrive. */
const MAX_REPORTED_INCARNATIONS = 8;
/** Smaller shares are moved for a lasting imbalance, in which a higher demand is a fluctuation. */
const MIN_SCALED_SHARE = 0.5;
/** Maximum number of transfers in a log record; a hot stretch is spread over dozens of targets. */
const MAX_LOGGED_TRANSFERS = 8;

/** The local target of this daemon: its incarnation, its state and the keys that it may hold. */
export class HostedTarget {
  private heartbeat: Heartbeat | undefined;
  private heartbeatAtMs = -Infinity;
  private statements: TargetStatements | undefined;
  /** Sequence of the last heartbeat that was too far from those before. */
  private doubtfulSequence: number | undefined;
  private ended = false;
  private evacuated = false;
  private readonly startedAtMs: number;
  private grantedUntilMs = -Infinity;
  /** `grantedUntilMs` on the steady clock. */
  private steadyGrantedUntilMs = -Infinity;
  private granted: readonly GrantedRange[] = [];
  /** Until this time a restored target is assumed to hold its assigned keys. */
  private assumedUntilMs = -Infinity;
  /** Keys that the target reported as held, until this process sends its first grant. */
  private reportedHolds: readonly KeyRange[] = [];
  private reportedHoldsUntilMs = -Infinity;
  private leaseUntilMs = -Infinity;
  /** Leases granted to reports sent before this time are ignored; see `invalidateLease`. */
  private minReportSentAtMs = -Infinity;
  private assigned: readonly AssignedRange[] = [];
  private readonly outgoingKeys = new OutgoingKeys();
  private readonly removals: AnnouncedRemovals;
  private readonly successorClaim: SuccessorClaim;
  private endedIncarnationIds: string[] = [];
  private hasSuccessors = false;
  private hasHeardLeader = false;
  /** Since when the bound of a cold target has been in force. */
  private coldSinceMs: number | undefined;
  private keyDemand: KeyDemand | undefined;
  /** Transfers of the leader for which no keys have been selected yet. */
  private requestedTransfers: readonly RequestedTransfer[] = [];
  /** Demand for the assigned keys when these transfers were requested. */
  private rpsAtRequest = 0;
  private readonly pushedGrants: PushedGrants | undefined;
  /** Called after a change that is to be reported to the control leader immediately. */
  onChange: () => void = () => undefined;
  /** Called when an incarnation of the target ended without draining and outside an evacuation. */
  onCrash: (incarnation: string) => void = () => undefined;

  constructor(private readonly opts: HostedTargetOptions) {
    this.startedAtMs = opts.steadyClock.nowMs();
    this.removals = new AnnouncedRemovals(opts.clock);
    this.successorClaim = new SuccessorClaim(opts.steadyClock);
    const {grantApi} = opts;
    this.pushedGrants =
      grantApi &&
      new PushedGrants({
        ...opts,
        api: grantApi,
        holdMs: Math.min(MAX_GRANT_MS, opts.maxHoldMs),
        minHoldMs: MIN_GRANT_MS,
        clockRateMargin: CLOCK_RATE_MARGIN,
        onReleased: (keys, handover) => {
          this.addRelease(keys, handover);
          this.onChange();
        },
      });
  }

  get incarnation(): string | undefined {
    return this.heartbeat && incarnationOf(this.heartbeat);
  }

  get lastHeartbeat(): Heartbeat | undefined {
    return this.heartbeat;
  }

  get state(): HostedTargetState | undefined {
    if (!this.heartbeat) return undefined;
    if (this.ended) return 'ended';
    if (this.statements?.isDraining) return 'draining';
    const silentMs = this.opts.steadyClock.nowMs() - this.heartbeatAtMs;
    return silentMs > SILENT_AFTER_HEARTBEATS * this.opts.heartbeatIntervalMs ? 'silent' : 'ready';
  }

  /** Whether the next heartbeat is overdue, so that the target is to be checked for its end. */
  get isHeartbeatOverdue(): boolean {
    const silentMs = this.opts.steadyClock.nowMs() - this.heartbeatAtMs;
    return (
      this.heartbeat !== undefined &&
      !this.ended &&
      silentMs > OVERDUE_AFTER_HEARTBEATS * this.opts.heartbeatIntervalMs
    );
  }

  /** Whether the target is out of service because its zone is evacuated. */
  get isEvacuated(): boolean {
    return this.evacuated;
  }

  /**
   * Whether the target hands its keys over to others. Its end is then planned and not blamed on the requests
   * that it was running.
   */
  private get isLeavingService(): boolean {
    return this.evacuated || this.statements?.isDraining === true;
  }

  /** Whether the target accepts new requests. */
  get acceptsRequests(): boolean {
    if (!this.heartbeat || this.ended || this.evacuated) return false;
    if (this.opts.awaitsLeader && !this.hasHeardLeader) return false;
    return this.statements?.isDrainTimeoutNear !== true;
  }

  /** Also true for a while after the start: the previous daemon process may have just sent a grant. */
  get mayHoldKeys(): boolean {
    const nowMs = this.opts.steadyClock.nowMs();
    const grantedByPreviousProcess = nowMs < this.startedAtMs + MAX_GRANT_MS / CLOCK_RATE_MARGIN;
    const mayHoldPushed =
      this.pushedGrants?.mayHoldKeys === true || this.outgoingKeys.hasPendingReleases;
    return (
      !this.ended &&
      (grantedByPreviousProcess || nowMs < this.steadyGrantedUntilMs || mayHoldPushed)
    );
  }

  /** Incarnations that have certainly ended, for the reports to the control leader. */
  get endedIncarnations(): readonly string[] {
    return this.endedIncarnationIds;
  }

  /** Keys that the target released but that the control leader still assigns to it. */
  get released(): ReadonlyArray<ReleasedKeyRange & {life: string}> {
    const {incarnation} = this;
    if (incarnation === undefined) return [];
    return this.outgoingKeys.released.map((keys) => ({life: incarnation, ...keys}));
  }

  /** Requests per second for the assigned keys, whether admitted or not. */
  get offeredRps(): number {
    return this.keyDemand?.rateOf(this.assigned) ?? 0;
  }

  /** Counts a request for a key. */
  recordRequest(key: number): void {
    this.keyDemand ??= new KeyDemand({clock: this.opts.clock, keyCount: this.opts.keyCount});
    this.keyDemand.recordRequest(key);
    if (this.keyDemand.isNewSurge(this.assigned)) this.onChange();
  }

  /** Time until the next grant that includes the key; `undefined` when none is planned. */
  grantDueInMs(key: number): number | undefined {
    if (this.opts.clock.nowMs() >= this.leaseUntilMs) return undefined;
    if (this.isLeavingService) return undefined;
    const nowMs = this.opts.steadyClock.nowMs();
    const isPlanned = this.assigned
      .flatMap((range) => this.remainingRanges(range))
      .some(({fromKey, toKey}) => fromKey <= key && key <= toKey);
    if (!isPlanned) return undefined;
    if (this.pushedGrants) return GRANT_REQUEST_MS;
    return (
      Math.max(0, this.heartbeatAtMs + this.opts.heartbeatIntervalMs - nowMs) +
      HEARTBEAT_RESPONSE_MS
    );
  }

  /** Whether the target holds the key under a grant that has not expired. */
  holdsKey(key: number): boolean {
    if (this.pushedGrants?.holdsKey(key)) return true;
    const nowMs = this.opts.clock.nowMs();
    const grantedRanges = nowMs < this.grantedUntilMs ? this.granted : [];
    const assumedRanges = nowMs < this.assumedUntilMs ? this.assigned : [];
    const reportedRanges = nowMs < this.reportedHoldsUntilMs ? this.reportedHolds : [];
    const ranges = [...grantedRanges, ...assumedRanges, ...reportedRanges];
    return ranges.some(({fromKey, toKey}) => fromKey <= key && key <= toKey);
  }

  /**
   * Whether the id of the process at the target's address decides about the heartbeat: it is from another target
   * than the current one, of which nothing shows that it has ended.
   */
  needsListenerId(next: Heartbeat): boolean {
    const {heartbeat} = this;
    if (!heartbeat || heartbeat.targetId === next.targetId) return false;
    return !this.ended || next.startedAtMs <= heartbeat.startedAtMs;
  }

  /** Handles a heartbeat. `listenerId` is the id of the target at the address after the heartbeat arrived, if known. */
  handleHeartbeat(next: Heartbeat, opts: {listenerId?: string | undefined} = {}): HeartbeatResult {
    const verdict = this.judge(next, opts.listenerId);
    if (verdict !== 'accepted') {
      const {listenerId} = opts;
      const {sequence} = next;
      this.opts.logger.info(
        {life: incarnationOf(next), sequence, current: this.incarnation, verdict, listenerId},
        'Ignored heartbeat',
      );
      return {accepted: false, isSuperseded: verdict === 'superseded'};
    }
    this.successorClaim.reset();
    const previous = this.heartbeat;
    const {incarnation: incarnationBefore, state: stateBefore} = this;
    if (incarnationBefore !== incarnationOf(next)) this.startIncarnation(next, previous);
    this.heartbeat = next;
    this.assumedUntilMs = -Infinity;
    this.updateReportedHolds(next, previous);
    this.heartbeatAtMs = this.opts.steadyClock.nowMs();
    this.ended = false;
    this.recordDrainOf(next, previous);
    this.recordColdOf(next);
    this.addFreed(next);
    const hasChanged = this.incarnation !== incarnationBefore || this.state !== stateBefore;
    if (hasChanged || next.freed.length > 0) this.onChange();
    this.applyGrantPlan();
    return {accepted: true, grant: this.pushedGrants ? undefined : this.createGrant()};
  }

  private recordDrainOf(next: Heartbeat, previous: Heartbeat | undefined): void {
    if (next.state !== 'draining') return;
    // A previous daemon process may have acknowledged the drain long ago.
    const isFirstHeartbeat = previous === undefined || previous.sequence < 0;
    this.statements?.beginDrain('heartbeat', isFirstHeartbeat ? this.opts.drainMs : 0);
  }

  /** The rate limit that the target names; `undefined` if it names none. */
  get rateLimit(): RateLimit | undefined {
    return this.statements?.rateLimit;
  }

  /** Factor by which work currently takes longer than usual; `undefined` when not stated recently. */
  get slowdown(): number | undefined {
    return this.statements?.slowdown;
  }

  /**
   * Requests per second that may be sent to the target; `undefined` without a limit. A restarted daemon
   * starts cautiously until the target or the leader has told it whether there is a limit.
   */
  get permittedRps(): number | undefined {
    const namedRps =
      !this.hasHeardLeader && !this.hasNotice ? UNKNOWN_LIMIT_RPS : this.rateLimit?.rps;
    const coldRps = this.coldBound?.rps;
    return coldRps === undefined ? namedRps : Math.min(coldRps, namedRps ?? Infinity);
  }

  /** The bound in force while the target is cold. */
  get coldBound(): ColdBound | undefined {
    const bound = this.opts.coldBound?.();
    return bound && (this.statements?.coldLeftMs ?? 0) > 0 ? bound : undefined;
  }

  /** Time for which the target stays cold; the full duration while that is only assumed. */
  get coldLeftMs(): number {
    const bound = this.opts.coldBound?.();
    if (!bound) return this.heartbeat?.coldLeftMs ?? 0;
    const leftMs = this.statements?.coldLeftMs ?? 0;
    return Math.round(leftMs === Infinity ? bound.durationMs : leftMs);
  }

  /**
   * The rate that the target names or, while lower, the rate that it tolerates while it is cold. The age of
   * the latter stays 0, so that no keys are moved for the few seconds for which a target is cold.
   */
  get capacityLimit(): RateLimit | undefined {
    const {rateLimit, coldBound} = this;
    if (!coldBound || (rateLimit && rateLimit.rps <= coldBound.rps)) return rateLimit;
    return {rps: coldBound.rps, ageMs: 0};
  }

  private recordColdOf({coldLeftMs}: Heartbeat): void {
    const {statements} = this;
    // A target that states nothing is not assumed to be cold for longer than the configured time.
    const isOpen = statements?.coldLeftMs === Infinity;
    const assumedMs = isOpen ? this.opts.coldBound?.()?.durationMs : undefined;
    const leftMs = coldLeftMs ?? assumedMs;
    if (leftMs !== undefined) statements?.recordCold('heartbeat', leftMs);
    this.reviewCold();
  }

  /** Records for how long the target stays cold according to a health response. */
  recordHealth(targetId: string, coldLeftMs: number): void {
    if (targetId !== this.heartbeat?.targetId) return;
    this.statements?.recordCold('health', coldLeftMs);
    this.reviewCold();
  }

  /** Assumes that the target is cold until it states otherwise. */
  assumeCold(source: ColdSource): void {
    this.statements?.recordCold(source, Infinity);
    this.reviewCold();
  }

  /** Logs and reports the start and the end of being cold. Must be called regularly. */
  reviewCold(): void {
    const bound = this.coldBound;
    if ((bound === undefined) === (this.coldSinceMs === undefined)) return;
    const nowMs = this.opts.clock.nowMs();
    const life = this.incarnation;
    const source = this.statements?.coldSource;
    if (bound) {
      const {coldLeftMs} = this;
      this.coldSinceMs = nowMs;
      this.opts.logger.info({life, source, coldLeftMs, ...bound}, 'Target is cold');
    } else {
      const coldMs = Math.round(nowMs - this.coldSinceMs!);
      this.coldSinceMs = undefined;
      this.opts.logger.info({life, source, coldMs}, 'Target is no longer cold');
    }
    this.onChange();
  }

  /** Whether a response of the current incarnation has arrived since this daemon started. */
  get hasNotice(): boolean {
    return this.statements?.hasNotice === true;
  }

  /** Records what an incarnation of the target stated about itself in a response. */
  recordNotice(incarnation: string, notice: TargetNotice): void {
    if (incarnation === this.incarnation && this.statements?.recordNotice(notice)) this.onChange();
  }

  /**
   * When the last heartbeat of the current incarnation arrived, on the steady clock; -Infinity when the
   * target was restored and has sent none yet.
   */
  get lastHeartbeatAtMs(): number {
    return (this.heartbeat?.sequence ?? -1) >= 0 ? this.heartbeatAtMs : -Infinity;
  }

  /** Starts the requests that grant or revoke keys now. Must be called regularly. */
  applyGrantPlan(): void {
    if (!this.pushedGrants || this.ended || this.lastHeartbeatAtMs === -Infinity) return;
    this.selectForTransfers();
    const {assigned, leaseUntilMs} = this;
    const isHandingOver = this.isLeavingService && this.hasSuccessors;
    this.pushedGrants.applyPlan({
      keep: isHandingOver ? [] : assigned.flatMap((range) => this.remainingRanges(range)),
      revoke: isHandingOver ? assigned : this.outgoingKeys.outgoingRanges,
      revokeImmediately: isHandingOver,
      leaseUntilMs,
    });
  }

  /**
   * Restores what the previous process of this daemon knew of its target: the target itself, until the
   * first heartbeat arrives, and that it was draining. The target keeps serving its keys while its daemon
   * restarts, and rejects requests for other keys.
   */
  restore(entry: RestoredTarget): void {
    if (this.restoreTarget(entry) && this.statements?.isDraining) this.onChange();
    const {rateLimitRps} = entry;
    if (rateLimitRps !== undefined && !this.hasNotice) {
      this.recordNotice(entry.life, {rateLimitRps, isLeaving: false});
    }
    const isDraining = entry.state === 'draining' && entry.life === this.incarnation;
    // The start of the drain is unknown, so its timeout counts as passed.
    if (isDraining && this.statements?.beginDrain('directory', this.opts.drainMs)) this.onChange();
  }

  /** Returns whether the target was restored. */
  private restoreTarget(entry: RestoredTarget): boolean {
    const startedAtMs = Number(entry.life.slice(entry.targetId.length + 1));
    const isServing = entry.state === 'ready' || entry.state === 'draining';
    if (this.heartbeat || !isServing || !Number.isFinite(startedAtMs)) return false;
    const {targetId, service, slots} = entry;
    const noHeartbeat = {coldLeftMs: undefined, sequence: -1, holds: [], freed: []};
    this.heartbeat = {
      targetId,
      startedAtMs,
      service,
      state: 'ready',
      slots,
      ...noHeartbeat,
    };
    this.statements = this.createStatements(this.heartbeat);
    this.assumeCold('restored');
    this.heartbeatAtMs = this.opts.steadyClock.nowMs();
    this.assumedUntilMs = this.opts.clock.nowMs() + MAX_GRANT_MS;
    this.opts.logger.info({life: entry.life}, 'Restored target of the previous daemon process');
    return true;
  }

  /**
   * Starts the drain of a target that announces its removal; it continues to serve its keys until `drainMs`.
   * The announcement is kept if the target is not known yet.
   */
  startDraining(targetId: string): void {
    this.removals.record(targetId);
    if (this.heartbeat?.targetId !== targetId) {
      this.opts.logger.info(
        {targetId, current: this.incarnation},
        'Target that is not known announced its removal',
      );
      return;
    }
    if (this.statements?.beginDrain('removal')) this.onChange();
  }

  /** Whether the current incarnation has this id and is draining. */
  isDraining(targetId: string): boolean {
    return this.heartbeat?.targetId === targetId && this.statements?.isDraining === true;
  }

  /**
   * Takes the target out of service or returns it. Unlike after a drain, the same incarnation can return.
   * Grants follow with the next response of the leader.
   */
  setEvacuated(isEvacuated: boolean): void {
    if (this.evacuated === isEvacuated) return;
    this.evacuated = isEvacuated;
    this.opts.logger.info(
      {life: this.incarnation, assignedRanges: this.assigned.length},
      isEvacuated ? 'Target evacuated' : 'Target returned from an evacuation',
    );
    this.onChange();
  }

  /** Records that no process listens at the target's address any more. */
  markEnded(): void {
    if (!this.heartbeat || this.ended) return;
    this.ended = true;
    this.removals.forget(this.heartbeat.targetId);
    this.pushedGrants?.reset();
    this.granted = [];
    this.grantedUntilMs = -Infinity;
    this.steadyGrantedUntilMs = -Infinity;
    this.opts.logger.info({life: this.incarnation}, 'Target process exited');
    if (!this.isLeavingService) this.onCrash(incarnationOf(this.heartbeat));
    this.onChange();
  }

  /** Applies the control leader's response to a report that was sent at `sentAtMs`. */
  applyReportResponse(response: {
    sentAtMs: number;
    leaseMs: number;
    ranges: readonly AssignedRange[];
    transfers: ReadonlyArray<{transferId: number; share: number}>;
    /** Whether another target can take over keys that this one releases. */
    hasSuccessors: boolean;
  }): void {
    this.hasHeardLeader = true;
    const isLeaseGranted = response.leaseMs > 0 && response.sentAtMs >= this.minReportSentAtMs;
    if (isLeaseGranted)
      this.leaseUntilMs = Math.max(this.leaseUntilMs, response.sentAtMs + response.leaseMs);
    else if (response.leaseMs === 0) this.leaseUntilMs = -Infinity;
    this.assigned = response.ranges.filter(({ownerLife}) => ownerLife === this.incarnation);
    const isFirstRequest = this.requestedTransfers.length === 0;
    this.requestedTransfers = this.outgoingKeys.retainTransfers(response.transfers);
    if (isFirstRequest && this.requestedTransfers.length > 0) this.rpsAtRequest = this.offeredRps;
    this.hasSuccessors = response.hasSuccessors;
    this.outgoingKeys.retainAssigned(this.assigned);
    this.applyGrantPlan();
  }

  /**
   * Must be called before a report states that the target holds no keys. The leader may then reassign
   * them, so nothing may be granted before it has responded to a later report.
   */
  invalidateLease(): void {
    this.leaseUntilMs = -Infinity;
    this.minReportSentAtMs = this.opts.clock.nowMs();
  }

  private judge(next: Heartbeat, listenerId: string | undefined): HeartbeatVerdict {
    const {heartbeat} = this;
    if (!heartbeat) return 'accepted';
    if (incarnationOf(heartbeat) !== incarnationOf(next))
      return this.judgeOther(next, heartbeat, listenerId);
    // One heartbeat may still be in flight when the end of its incarnation is detected.
    const lateHeartbeats = this.ended ? 1 : 0;
    if (this.isLaterSequence(next.sequence, heartbeat.sequence + lateHeartbeats)) return 'accepted';
    return !this.ended && next.sequence <= heartbeat.sequence ? 'superseded' : 'outdated';
  }

  /**
   * Judges a heartbeat of another incarnation. A later start proves nothing, because another writer can state any: to
   * replace the current incarnation before its end was noticed, the other one must listen at the target's address or
   * be the only one heard until the current one can no longer hold keys. One with an earlier start may be late heartbeats
   * of a predecessor and must be heard for longer.
   */
  private judgeOther(
    next: Heartbeat,
    current: Heartbeat,
    listenerId: string | undefined,
  ): HeartbeatVerdict {
    const isLaterStart = next.startedAtMs > current.startedAtMs;
    if (this.ended && isLaterStart) return 'accepted';
    if (listenerId !== undefined && next.targetId !== current.targetId) {
      if (listenerId === next.targetId) return 'accepted';
      if (listenerId === current.targetId) return 'disputed';
    }
    const claimedForMs = this.successorClaim.record(next) ?? 0;
    const silentHeartbeats = isLaterStart ? OVERDUE_AFTER_HEARTBEATS : SILENT_AFTER_HEARTBEATS;
    const isCurrentSilent = claimedForMs > silentHeartbeats * this.opts.heartbeatIntervalMs;
    if (isCurrentSilent && !this.mayHoldKeys) return 'accepted';
    return isLaterStart ? 'disputed' : 'outdated';
  }

  /**
   * Of two sequences that are too far apart, the higher one is not from the target, unless another one
   * continues it.
   */
  private isLaterSequence(sequence: number, lastSequence: number): boolean {
    const isUnknown = lastSequence <= 0;
    const step = sequence - lastSequence;
    if (isUnknown || Math.abs(step) <= MAX_SEQUENCE_STEP) return step > 0;
    const fromDoubtful = sequence - (this.doubtfulSequence ?? Infinity);
    this.doubtfulSequence = sequence;
    return step < 0 || (fromDoubtful > 0 && fromDoubtful <= MAX_SEQUENCE_STEP);
  }

  /**
   * Uses the holds that the target reports after a restart of this daemon, because a grant of the previous
   * process may still be in force. The target rejects requests for keys that it no longer holds.
   */
  private updateReportedHolds({holds}: Heartbeat, previous: Heartbeat | undefined): void {
    const isFirstHeartbeat = previous === undefined || previous.sequence < 0;
    const hasGrantedNothing = this.grantedUntilMs === -Infinity;
    const usesReport = hasGrantedNothing && (isFirstHeartbeat || this.reportedHolds.length > 0);
    this.reportedHolds = usesReport ? holds : [];
    const validityMs = REPORT_VALID_HEARTBEATS * this.opts.heartbeatIntervalMs;
    this.reportedHoldsUntilMs = this.opts.clock.nowMs() + validityMs;
  }

  /** The previous incarnation has ended, because only one process can listen at the target's address. */
  private startIncarnation(next: Heartbeat, previous: Heartbeat | undefined): void {
    this.opts.logger.info(
      {life: incarnationOf(next), former: previous && incarnationOf(previous)},
      'Target started a new incarnation',
    );
    if (previous && !this.ended && !this.isLeavingService) this.onCrash(incarnationOf(previous));
    if (previous)
      this.endedIncarnationIds = [...this.endedIncarnationIds, incarnationOf(previous)].slice(
        -MAX_REPORTED_INCARNATIONS,
      );
    // A response to a report of the previous incarnation must not renew the lease for this one.
    this.invalidateLease();
    this.coldSinceMs = undefined;
    this.statements = this.createStatements(next);
    if (previous || this.opts.isServiceServed?.())
      this.statements.recordCold('start', this.opts.coldBound?.()?.durationMs ?? 0);
    this.pushedGrants?.reset();
    this.granted = [];
    this.grantedUntilMs = -Infinity;
    this.steadyGrantedUntilMs = -Infinity;
    this.assigned = [];
    this.reportedHolds = [];
    this.requestedTransfers = [];
    this.outgoingKeys.reset();
  }

  private createStatements(heartbeat: Heartbeat): TargetStatements {
    const statements = new TargetStatements({...this.opts, incarnation: incarnationOf(heartbeat)});
    const announcedForMs = this.removals.sinceAnnouncementMs(heartbeat);
    if (announcedForMs !== undefined) statements.beginDrain('removal', announcedForMs);
    return statements;
  }

  private addFreed({freed}: Heartbeat): void {
    for (const {fromKey, toKey, handover} of freed) {
      if (!this.outgoingKeys.hasHandover(handover)) this.addRelease({fromKey, toKey}, handover);
    }
  }

  private addRelease(keys: KeyRange, handover: string): void {
    this.opts.logger.info({life: this.incarnation, ...keys}, 'Target released keys');
    const epochs = this.assigned.filter((range) => overlaps(range, keys)).map(({epoch}) => epoch);
    if (epochs.length > 0)
      this.outgoingKeys.addRelease(keys, {handover, epoch: Math.max(...epochs)});
  }

  /**
   * Selects the keys of the requested transfers; called when the target can be told, because the loads of the
   * keys are the better known the later that is.
   */
  private selectForTransfers(): void {
    if (this.requestedTransfers.length === 0) return;
    const keptRanges = this.assigned.flatMap((range) => this.remainingRanges(range));
    const factor = this.shareFactor();
    const selected = this.keyDemand?.selectRanges(
      keptRanges,
      this.requestedTransfers.map(({share}) => share * factor),
    );
    this.requestedTransfers.forEach(({transferId}, index) =>
      this.outgoingKeys.addTransfer(transferId, selected?.[index]),
    );
    this.opts.logger.info(
      {
        life: this.incarnation,
        transfers: this.requestedTransfers
          .slice(0, MAX_LOGGED_TRANSFERS)
          .map((transfer, index) => ({...transfer, ...selected?.[index]})),
        count: this.requestedTransfers.length,
        factor,
      },
      'Selected keys for transfers',
    );
    this.requestedTransfers = [];
  }

  /**
   * Factor for the requested shares. If demand has risen since the request, the leader underestimated it, and
   * the target is to keep the load that it was meant to keep, not the same part of the higher load.
   */
  private shareFactor(): number {
    const requestedShare = this.requestedTransfers.reduce((sum, {share}) => sum + share, 0);
    const nowRps = this.offeredRps;
    if (requestedShare < MIN_SCALED_SHARE || nowRps <= this.rpsAtRequest) return 1;
    const keptRps = this.rpsAtRequest * (1 - requestedShare);
    return Math.max(1, (1 - keptRps / nowRps) / requestedShare);
  }

  private createGrant(): KeyGrant | undefined {
    const nowMs = this.opts.clock.nowMs();
    const remainingMs = (this.leaseUntilMs - nowMs) * CLOCK_RATE_MARGIN;
    const holdMs = Math.floor(Math.min(MAX_GRANT_MS, this.opts.maxHoldMs, remainingMs));
    if (holdMs < MIN_GRANT_MS) return undefined;
    this.selectForTransfers();
    const isHandingOver = this.isLeavingService && this.hasSuccessors;
    const ranges = isHandingOver
      ? []
      : this.assigned.flatMap((range) => this.remainingRanges(range));
    if (ranges.length === 0 && this.granted.length === 0 && this.heartbeat?.holds.length === 0) {
      return undefined;
    }
    this.granted = ranges;
    this.reportedHolds = [];
    this.grantedUntilMs = nowMs + holdMs / CLOCK_RATE_MARGIN;
    this.steadyGrantedUntilMs = this.opts.steadyClock.nowMs() + holdMs / CLOCK_RATE_MARGIN;
    return {ranges: ranges.map((range) => this.withoutUsedHandover(range)), holdMs};
  }

  /** A target needs the handover only to acquire the keys; later it would only enlarge responses. */
  private withoutUsedHandover(range: GrantedRange): GrantedRange {
    const isHeld = this.heartbeat?.holds.some(
      ({fromKey, toKey, epoch}) =>
        epoch === range.epoch && fromKey <= range.fromKey && range.toKey <= toKey,
    );
    return isHeld ? {...range, handover: ''} : range;
  }

  /** Returns the parts of a range that the target keeps. */
  private remainingRanges(range: AssignedRange): GrantedRange[] {
    const {epoch, handover} = range;
    return this.outgoingKeys.remainingRanges(range).map((part) => ({...part, epoch, handover}));
  }
}

function incarnationOf({targetId, startedAtMs}: Heartbeat): string {
  return `${targetId}/${startedAtMs}`;
}
