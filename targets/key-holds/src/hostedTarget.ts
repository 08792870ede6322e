import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import {PushedGrants} from './pushedGrants.js';
import type {GrantApi} from './pushedGrants.js';
import {KeyLoad} from './keyLoad.js';
import {DepartingKeys} from './outgoingKeys.js';
import type {ReleasedKeyRange} from './outgoingKeys.js';
import {overlaps} from './keyRange.js';
import type {KeyRange} from './keyRange.js';

/** What a target says of itself, about once a second. */
export interface Heartbeat {
  readonly targetId: string;
  /** Start of this life of the target, Unix milliseconds. */
  readonly startedAtMs: number;
  readonly service: string;
  readonly state: 'ready' | 'draining';
  readonly slots: number;
  /** How long the target stays slow after its start. */
  readonly coldLeftMs: number;
  /** Grows with each heartbeat of a life. */
  readonly sequence: number;
  readonly holds: readonly HeldRange[];
  /** Given back since the last heartbeat that was answered. */
  readonly freed: ReadonlyArray<{fromKey: number; toKey: number; handover: string}>;
}

export interface HeldRange {
  readonly fromKey: number;
  /** Inclusive. */
  readonly toKey: number;
  readonly epoch: number;
}

export interface GrantedRange extends HeldRange {
  /** Proof of the release by the last holder, or empty. */
  readonly handover: string;
}

/** Everything that the target is to hold, counted from when it sent its heartbeat. */
export interface KeyGrant {
  readonly ranges: readonly GrantedRange[];
  readonly holdMs: number;
}

export interface HostedTargetOptions {
  /** Ends leases and grants; may run ahead when the machine was suspended. */
  readonly clock: Clock;
  /** Never runs ahead; tells for how long a grant may still be in force at the target. */
  readonly steadyClock: Clock;
  readonly logger: Logger;
  /** Pause between heartbeats. */
  readonly heartbeatIntervalMs: number;
  /** A leaving target takes no new work when this time has passed since it was told so. */
  readonly drainMs: number;
  /** Longest grant that targets accept. */
  readonly maxHoldMs: number;
  /** Keys are the integers in [0, keyCount). */
  readonly keyCount: number;
  /** For a target that is granted keys by calls; else the answers to its heartbeats grant them. */
  readonly grantApi?: GrantApi;
}

export type HostedTargetState = 'ready' | 'draining' | 'silent' | 'ended';

/** A range that the control leader assigned to the current life. */
export interface AssignedRange extends GrantedRange {
  readonly ownerLife: string;
}

/** A heartbeat takes about this long to be answered and applied. */
const HEARTBEAT_SLACK_MS = 15;
/**
 * Longest grant. Covers a heartbeat that comes two seconds late; a silent target's keys are free
 * when it has run out.
 */
const HOLD_MS = 3_200;
/** A target's clock may run 2% slow, and it counts from when it sent the heartbeat. */
const CLOCK_RATE_MARGIN = 0.97;
/** A shorter grant would run out before the next heartbeat. */
const MIN_HOLD_MS = 300;
/** A grant by a call to the target on the same instance takes about this long. */
const GRANT_CALL_MS = 30;
/** Heartbeats that may be missing before the target counts as silent. */
const SILENT_AFTER_HEARTBEATS = 3;
/** Leaves room for a heartbeat that comes late; an end is noticed about this long after it. */
const OVERDUE_AFTER_HEARTBEATS = 1.3;
/** What a target said is used until its next heartbeat, which may come a little late. */
const REPORT_VALID_HEARTBEATS = 1.5;
/** Former lives that are reported; more than start between two reports that arrive. */
const REPORTED_LIVES = 8;
/** Time by which the gate closes before the drain time is over. */
const DRAIN_MARGIN_MS = 250;

/** The target beside this daemon: its life, its state and what it may hold. */
export class HostedTarget {
  private heartbeat: Heartbeat | undefined;
  private heardAtMs = -Infinity;
  private drainSinceMs: number | undefined;
  private ended = false;
  private readonly startedAtMs: number;
  private grantedUntilMs = -Infinity;
  /** The same on the steady clock. */
  private holdsUntilMs = -Infinity;
  private granted: readonly GrantedRange[] = [];
  /** Until then an adopted target is assumed to hold what is assigned to it. */
  private assumedUntilMs = -Infinity;
  /** What the target said that it holds, until this process has given it a grant. */
  private reported: readonly KeyRange[] = [];
  private reportedUntilMs = -Infinity;
  private leaseUntilMs = -Infinity;
  /** Leases from reports that were sent before do not count; see `disclaim`. */
  private leaseFloorMs = -Infinity;
  private assigned: readonly AssignedRange[] = [];
  private readonly departing = new DepartingKeys();
  private formerLives: string[] = [];
  private hasSuccessors = false;
  private keyLoad: KeyLoad | undefined;
  private readonly calledGrants: PushedGrants | undefined;
  /** Called when something changed that the control leader should learn at once. */
  onChange: () => void = () => undefined;
  /** Called when a life of the target ended without having drained. */
  onCrash: (life: string) => void = () => undefined;

  constructor(private readonly opts: HostedTargetOptions) {
    this.startedAtMs = opts.steadyClock.nowMs();
    const {grantApi: grantCalls} = opts;
    this.calledGrants =
      grantCalls &&
      new PushedGrants({
        ...opts,
        api: grantCalls,
        holdMs: Math.min(HOLD_MS, opts.maxHoldMs),
        minHoldMs: MIN_HOLD_MS,
        clockRateMargin: CLOCK_RATE_MARGIN,
        onReleased: (stretch, handover) => {
          this.takeBack(stretch, handover);
          this.onChange();
        },
      });
  }

  get incarnation(): string | undefined {
    return this.heartbeat && lifeOf(this.heartbeat);
  }

  get lastHeartbeat(): Heartbeat | undefined {
    return this.heartbeat;
  }

  get state(): HostedTargetState | undefined {
    if (!this.heartbeat) return undefined;
    if (this.ended) return 'ended';
    if (this.drainSinceMs !== undefined) return 'draining';
    const silentMs = this.opts.steadyClock.nowMs() - this.heardAtMs;
    return silentMs > SILENT_AFTER_HEARTBEATS * this.opts.heartbeatIntervalMs ? 'silent' : 'ready';
  }

  /** Whether the next heartbeat is overdue, so that it is worth asking whether the target still runs. */
  get isHeartbeatOverdue(): boolean {
    const silentMs = this.opts.steadyClock.nowMs() - this.heardAtMs;
    return (
      this.heartbeat !== undefined &&
      !this.ended &&
      silentMs > OVERDUE_AFTER_HEARTBEATS * this.opts.heartbeatIntervalMs
    );
  }

  /** Whether the target may still serve new requests. */
  get acceptsRequests(): boolean {
    const {drainSinceMs} = this;
    if (!this.heartbeat || this.ended) return false;
    if (drainSinceMs === undefined) return true;
    return this.opts.clock.nowMs() - drainSinceMs < this.opts.drainMs - DRAIN_MARGIN_MS;
  }

  /** An earlier process of this daemon may have given a grant just before it ended. */
  get mayHoldKeys(): boolean {
    const nowMs = this.opts.steadyClock.nowMs();
    const earlierProcess = nowMs < this.startedAtMs + HOLD_MS / CLOCK_RATE_MARGIN;
    const called = this.calledGrants?.mayHoldKeys === true || this.departing.hasGivenBack;
    return !this.ended && (earlierProcess || nowMs < this.holdsUntilMs || called);
  }

  /** Lives that ended for certain, for the control leader. */
  get endedIncarnations(): readonly string[] {
    return this.formerLives;
  }

  /** What the target gave back and still counts as its own at the control leader. */
  get released(): ReadonlyArray<ReleasedKeyRange & {life: string}> {
    const {incarnation: life} = this;
    if (life === undefined) return [];
    return this.departing.released.map((stretch) => ({life, ...stretch}));
  }

  /** Requests per second for the keys that the target is to keep, whether admitted or not. */
  get offeredRps(): number {
    return this.keyLoad?.rateOf(this.assigned) ?? 0;
  }

  /** Counts a request for a key. */
  recordRequest(key: number): void {
    this.keyLoad ??= new KeyLoad({clock: this.opts.clock, keyCount: this.opts.keyCount});
    this.keyLoad.recordRequest(key);
  }

  /** Time until a grant is due that includes the key; `undefined` when none is planned. */
  grantDueInMs(key: number): number | undefined {
    if (this.opts.clock.nowMs() >= this.leaseUntilMs) return undefined;
    if (this.drainSinceMs !== undefined) return undefined;
    const nowMs = this.opts.steadyClock.nowMs();
    const planned = this.assigned
      .flatMap((range) => this.remaining(range))
      .some(({fromKey, toKey}) => fromKey <= key && key <= toKey);
    if (!planned) return undefined;
    if (this.calledGrants) return GRANT_CALL_MS;
    return Math.max(0, this.heardAtMs + this.opts.heartbeatIntervalMs - nowMs) + HEARTBEAT_SLACK_MS;
  }

  /** Whether the target holds the key under a grant that is still in force. */
  holdsKey(key: number): boolean {
    if (this.calledGrants?.holdsKey(key)) return true;
    const nowMs = this.opts.clock.nowMs();
    const held = nowMs < this.grantedUntilMs ? this.granted : [];
    const assumed = nowMs < this.assumedUntilMs ? this.assigned : [];
    const reported = nowMs < this.reportedUntilMs ? this.reported : [];
    const ranges = [...held, ...assumed, ...reported];
    return ranges.some(({fromKey, toKey}) => fromKey <= key && key <= toKey);
  }

  /** Takes a heartbeat; returns the grant to answer it with, or why it was not taken. */
  handleHeartbeat(
    next: Heartbeat,
  ): {accepted: true; grant: KeyGrant | undefined} | {accepted: false} {
    if (!this.isNewer(next)) {
      this.opts.logger.info(
        {life: lifeOf(next), sequence: next.sequence, current: this.incarnation},
        'Ignored an old heartbeat',
      );
      return {accepted: false};
    }
    const former = this.heartbeat;
    if (!former || lifeOf(former) !== lifeOf(next)) this.startLife(next, former);
    const stateBefore = this.state;
    this.heartbeat = next;
    this.assumedUntilMs = -Infinity;
    this.assumeReported(next, former);
    this.heardAtMs = this.opts.steadyClock.nowMs();
    this.ended = false;
    if (next.state === 'draining' && this.drainSinceMs === undefined) {
      this.drainSinceMs = this.opts.clock.nowMs();
      this.opts.logger.info({life: lifeOf(next)}, 'Target drains');
    }
    this.takeFreed(next);
    if (this.state !== stateBefore || next.freed.length > 0) this.onChange();
    this.applyGrantPlan();
    return {accepted: true, grant: this.calledGrants ? undefined : this.grant()};
  }

  /** When the current life was last heard, on the steady clock; -Infinity when only adopted. */
  get lastHeartbeatAtMs(): number {
    return (this.heartbeat?.sequence ?? -1) >= 0 ? this.heardAtMs : -Infinity;
  }

  /** Starts the calls that grant or take back keys now; to be called regularly. */
  applyGrantPlan(): void {
    if (!this.calledGrants || this.ended || this.lastHeartbeatAtMs === -Infinity) return;
    const {assigned, leaseUntilMs} = this;
    const leaves = this.drainSinceMs !== undefined && this.hasSuccessors;
    this.calledGrants.applyPlan({
      keep: leaves ? [] : assigned.flatMap((range) => this.remaining(range)),
      revoke: leaves ? assigned : this.departing.leaving,
      revokeImmediately: leaves,
      leaseUntilMs,
    });
  }

  /**
   * Takes over what the former process of this daemon knew, until the first heartbeat comes: the
   * target goes on with its keys while its daemon restarts, and turns away what it does not hold.
   */
  restore(known: {
    targetId: string;
    life: string;
    service: string;
    state: HostedTargetState;
    slots: number;
  }): void {
    const bornMs = Number(known.life.slice(known.targetId.length + 1));
    if (this.heartbeat || known.state !== 'ready' || !Number.isFinite(bornMs)) return;
    const {targetId, service, slots} = known;
    const unheard = {coldLeftMs: 0, sequence: -1, holds: [], freed: []};
    this.heartbeat = {targetId, startedAtMs: bornMs, service, state: 'ready', slots, ...unheard};
    this.heardAtMs = this.opts.steadyClock.nowMs();
    this.assumedUntilMs = this.opts.clock.nowMs() + HOLD_MS;
    this.opts.logger.info({life: known.life}, 'Adopted the target of the former process');
  }

  /** The target says that it leaves. It serves what it has for a while. */
  startDraining(targetId: string): void {
    if (this.heartbeat?.targetId !== targetId || this.drainSinceMs !== undefined) return;
    this.drainSinceMs = this.opts.clock.nowMs();
    this.opts.logger.info({life: this.incarnation}, 'Target leaves');
    this.onChange();
  }

  /** Nothing listens at the target's address any more. */
  markEnded(): void {
    if (!this.heartbeat || this.ended) return;
    this.ended = true;
    this.calledGrants?.reset();
    this.granted = [];
    this.grantedUntilMs = -Infinity;
    this.holdsUntilMs = -Infinity;
    this.opts.logger.info({life: this.incarnation}, 'Target ended');
    if (this.drainSinceMs === undefined) this.onCrash(lifeOf(this.heartbeat));
    this.onChange();
  }

  /** Takes what the control leader answered to a report sent at `sentAtMs`. */
  applyReportResponse(answer: {
    sentAtMs: number;
    leaseMs: number;
    ranges: readonly AssignedRange[];
    transfers: ReadonlyArray<{transferId: number; share: number}>;
    /** Whether another target can take over keys that this one gives back. */
    hasSuccessors: boolean;
  }): void {
    const leased = answer.leaseMs > 0 && answer.sentAtMs >= this.leaseFloorMs;
    if (leased) this.leaseUntilMs = Math.max(this.leaseUntilMs, answer.sentAtMs + answer.leaseMs);
    else if (answer.leaseMs === 0) this.leaseUntilMs = -Infinity;
    this.assigned = answer.ranges.filter(({ownerLife}) => ownerLife === this.incarnation);
    this.departing.takeTransfers(answer.transfers, (transfer) => this.pickForTransfer(transfer));
    this.hasSuccessors = answer.hasSuccessors;
    this.departing.keepAssigned(this.assigned);
    this.applyGrantPlan();
  }

  /**
   * To be called before a report says that the target holds no keys: the leader may then give them
   * away, so that nothing may be granted before it has answered a later report.
   */
  invalidateLease(): void {
    this.leaseUntilMs = -Infinity;
    this.leaseFloorMs = this.opts.clock.nowMs();
  }

  private isNewer(next: Heartbeat): boolean {
    const {heartbeat} = this;
    if (!heartbeat) return true;
    // One heartbeat may still be under way when the end of its life is noticed.
    const late = this.ended ? 1 : 0;
    if (lifeOf(heartbeat) === lifeOf(next)) return next.sequence > heartbeat.sequence + late;
    return next.startedAtMs > heartbeat.startedAtMs;
  }

  /**
   * A grant of the former process of this daemon may still be in force, and the target knows. It turns
   * away what it does not hold any more.
   */
  private assumeReported({holds}: Heartbeat, former: Heartbeat | undefined): void {
    const adopted = former === undefined || former.sequence < 0;
    const grantedNothing = this.grantedUntilMs === -Infinity;
    const assumes = grantedNothing && (adopted || this.reported.length > 0);
    this.reported = assumes ? holds : [];
    const validMs = REPORT_VALID_HEARTBEATS * this.opts.heartbeatIntervalMs;
    this.reportedUntilMs = this.opts.clock.nowMs() + validMs;
  }

  /** One process at a time listens at the target's address, so a new life proves the former's end. */
  private startLife(next: Heartbeat, former: Heartbeat | undefined): void {
    this.opts.logger.info(
      {life: lifeOf(next), former: former && lifeOf(former)},
      'Target started a life',
    );
    if (former && !this.ended && this.drainSinceMs === undefined) this.onCrash(lifeOf(former));
    if (former) this.formerLives = [...this.formerLives, lifeOf(former)].slice(-REPORTED_LIVES);
    // An answer to a report of the former life renews nothing for this one.
    this.invalidateLease();
    this.drainSinceMs = undefined;
    this.calledGrants?.reset();
    this.granted = [];
    this.grantedUntilMs = -Infinity;
    this.holdsUntilMs = -Infinity;
    this.assigned = [];
    this.reported = [];
    this.departing.reset();
  }

  private takeFreed({freed}: Heartbeat): void {
    for (const {fromKey, toKey, handover} of freed) {
      if (!this.departing.hasHandover(handover)) this.takeBack({fromKey, toKey}, handover);
    }
  }

  private takeBack(stretch: KeyRange, handover: string): void {
    this.opts.logger.info({life: this.incarnation, ...stretch}, 'Target gave back keys');
    const owned = this.assigned.some((range) => overlaps(range, stretch));
    if (owned) this.departing.takeBack(stretch, handover);
  }

  /** The stretch whose requests come closest to the wanted share of all. */
  private pickForTransfer({
    transferId,
    share,
  }: {
    transferId: number;
    share: number;
  }): KeyRange | undefined {
    const kept = this.assigned.flatMap((range) => this.remaining(range));
    const stretch = this.keyLoad?.selectRange(kept, share);
    this.opts.logger.info(
      {life: this.incarnation, transferId, share, ...stretch},
      'Picked keys to give',
    );
    return stretch;
  }

  private grant(): KeyGrant | undefined {
    const nowMs = this.opts.clock.nowMs();
    const leftMs = (this.leaseUntilMs - nowMs) * CLOCK_RATE_MARGIN;
    const holdMs = Math.floor(Math.min(HOLD_MS, this.opts.maxHoldMs, leftMs));
    if (holdMs < MIN_HOLD_MS) return undefined;
    const leaving = this.drainSinceMs !== undefined && this.hasSuccessors;
    const ranges = leaving ? [] : this.assigned.flatMap((range) => this.remaining(range));
    if (ranges.length === 0 && this.granted.length === 0 && this.heartbeat?.holds.length === 0) {
      return undefined;
    }
    this.granted = ranges;
    this.reported = [];
    this.grantedUntilMs = nowMs + holdMs / CLOCK_RATE_MARGIN;
    this.holdsUntilMs = this.opts.steadyClock.nowMs() + holdMs / CLOCK_RATE_MARGIN;
    return {ranges: ranges.map((range) => this.withoutUsedHandover(range)), holdMs};
  }

  /** A handover counts only when the target takes the keys; later it would make answers too long. */
  private withoutUsedHandover(range: GrantedRange): GrantedRange {
    const isHeld = this.heartbeat?.holds.some(
      ({fromKey, toKey, epoch}) =>
        epoch === range.epoch && fromKey <= range.fromKey && range.toKey <= toKey,
    );
    return isHeld ? {...range, handover: ''} : range;
  }

  /** The parts of a range that the target is to keep. */
  private remaining(range: AssignedRange): GrantedRange[] {
    const {epoch, handover} = range;
    return this.departing.remaining(range).map((part) => ({...part, epoch, handover}));
  }
}

function lifeOf({targetId, startedAtMs: bornMs}: Heartbeat): string {
  return `${targetId}/${bornMs}`;
}
