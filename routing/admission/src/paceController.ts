import type {Clock} from '@medlarlane/lifecycle';
import type {ClassDurations} from './classDurations.js';

/** Why the pace of a target begins, changes or ends. */
export type PaceReason = 'cold' | 'failures' | 'failure' | 'well' | 'slow' | 'slower' | 'open';

export interface PaceChange {
  readonly reason: PaceReason;
  /** Requests that the target gets at the same time. */
  readonly level: number;
  readonly levelBefore: number;
  /** Median duration of the last round relative to the usual one. */
  readonly ratio: number | undefined;
}

export interface PaceControllerOptions {
  readonly clock: Clock;
  readonly slots: number;
  /** Usual durations, which are learned while the pace has no effect. */
  readonly durations: ClassDurations;
  readonly onChange?: (change: PaceChange) => void;
}

/** A response or the lack of one, for a request that was sent to the target. */
export interface PaceOutcome {
  readonly requestClass: string;
  readonly startedAtMs: number;
  readonly workMs: number;
  readonly hasFailed: boolean;
  /** Duration to compare with while the class has no usual one. */
  readonly fallbackMs: number;
}

const MS_PER_S = 1_000;
/**
 * Fraction of the slots at the start. A quarter left targets idle whose keys are also cold: their responses take
 * several times as long, so that the level grows by one in a second.
 */
const START_FRACTION = 0.5;
/**
 * Failures in a row after which a target counts as recovering. A target that fails 40% of its requests at
 * random has as many in a row once in 1,500 requests, and would only lose capacity.
 */
const FAILURES_TO_BEGIN = 8;
/** Failures in a row after which the level is cut; a single one may be the request's own. */
const FAILURES_TO_CUT = 2;
/** Up to this ratio of the usual duration, a target is well; neighbours on its machine slow it at times. */
const WELL_RATIO = 1.5;
/** A higher ratio than at a lower level by this factor shows that the level itself slows the target. */
const RISE_FACTOR = 1.25;
/** If a cut does not shorten the responses by this factor, the level is not what slows the target. */
const RELIEF_FACTOR = 0.9;
const CUT_ON_RISE = 0.7;
const CUT_ON_FAILURE = 0.5;
/** Responses that complete a round; at low levels, as many as the level. */
const MAX_ROUND_RESPONSES = 4;
/** The rate only bounds targets that fail immediately; a well one may be faster than usual. */
const RATE_HEADROOM = 1.5;

/**
 * Finds how many requests at a time a starting or recovering target can take, from its responses. Each round
 * of requests at one level decides on the next: the level doubles while responses take about as long as
 * usual, because a well target is to be full within a second. It grows by one while they take longer but
 * not because of the level, and is cut when they get longer with the level and on failures. After a
 * good round with all slots, the pace has no effect until the next begin.
 */
export class PaceController {
  /** `undefined` while the pace has no effect. */
  private currentLevel: number | undefined;
  private roundStartedAtMs = -Infinity;
  private ratios: number[] = [];
  /** Ratio that is attributed to the target itself and not to the level. */
  private ownRatio = Infinity;
  private previousRatio: number | undefined;
  private wasCutForRise = false;
  /** Whether a cut has shortened the responses, after which doubling would overshoot again. */
  private isLevelLimited = false;
  private failuresInRow = 0;

  constructor(private readonly opts: PaceControllerOptions) {}

  /** Requests at a time; `undefined` while the pace has no effect. */
  get level(): number | undefined {
    return this.currentLevel;
  }

  get concurrency(): number {
    return this.currentLevel ?? this.opts.slots;
  }

  /** Rate at which a target that responds as usual is busy at this level; Infinity without effect. */
  get rateRps(): number {
    const {meanMs} = this.opts.durations;
    if (this.currentLevel === undefined || meanMs === undefined) return Infinity;
    return (this.currentLevel * MS_PER_S * RATE_HEADROOM) / Math.max(1, meanMs);
  }

  /** Starts slowly, because the target has become cold or failed. */
  begin(reason: 'cold' | 'failures'): void {
    const {slots} = this.opts;
    const level = Math.max(1, Math.ceil(slots * START_FRACTION));
    if (level >= slots) return;
    this.ownRatio = Infinity;
    this.previousRatio = undefined;
    this.wasCutForRise = false;
    this.isLevelLimited = false;
    this.setLevel(Math.min(level, this.concurrency), reason);
  }

  record(outcome: PaceOutcome): void {
    this.failuresInRow = outcome.hasFailed ? this.failuresInRow + 1 : 0;
    if (this.currentLevel === undefined) this.recordUnpaced(outcome);
    else if (outcome.startedAtMs >= this.roundStartedAtMs) this.recordPaced(outcome);
  }

  private recordUnpaced({requestClass, workMs, hasFailed}: PaceOutcome): void {
    if (!hasFailed) this.opts.durations.record(requestClass, workMs);
    else if (this.failuresInRow >= FAILURES_TO_BEGIN) this.begin('failures');
  }

  /** Counts only requests that were sent at the current level. */
  private recordPaced({requestClass, workMs, hasFailed, fallbackMs}: PaceOutcome): void {
    if (hasFailed) {
      if (this.failuresInRow >= FAILURES_TO_CUT)
        this.setLevel(Math.floor(this.concurrency * CUT_ON_FAILURE), 'failure');
      return;
    }
    const usualMs = this.opts.durations.of(requestClass) ?? fallbackMs;
    this.ratios.push(workMs / Math.max(1, usualMs));
    if (this.ratios.length >= Math.min(this.concurrency, MAX_ROUND_RESPONSES)) this.endRound();
  }

  private endRound(): void {
    const ratio = medianOf(this.ratios);
    if (this.wasCutForRise) {
      const isRelieved = ratio <= (this.previousRatio ?? Infinity) * RELIEF_FACTOR;
      if (isRelieved) this.isLevelLimited = true;
      else this.ownRatio = ratio;
    }
    this.wasCutForRise = false;
    this.previousRatio = ratio;
    const {concurrency: level} = this;
    const isWell = ratio <= WELL_RATIO;
    if (isWell || ratio <= this.ownRatio * RISE_FACTOR) {
      this.ownRatio = Math.min(this.ownRatio, ratio);
      if (level >= this.opts.slots) this.end(ratio);
      else if (isWell && !this.isLevelLimited) this.setLevel(level * 2, 'well', ratio);
      else this.setLevel(level + 1, isWell ? 'well' : 'slow', ratio);
    } else {
      this.wasCutForRise = true;
      this.setLevel(Math.floor(level * CUT_ON_RISE), 'slower', ratio);
    }
  }

  private setLevel(level: number, reason: PaceReason, ratio?: number): void {
    const {clock, slots, onChange} = this.opts;
    const levelBefore = this.concurrency;
    const bounded = Math.max(1, Math.min(slots, level));
    this.currentLevel = bounded;
    this.ratios = [];
    this.roundStartedAtMs = clock.nowMs();
    if (bounded !== levelBefore) onChange?.({reason, level: bounded, levelBefore, ratio});
  }

  private end(ratio: number): void {
    const {slots, onChange} = this.opts;
    this.currentLevel = undefined;
    onChange?.({reason: 'open', level: slots, levelBefore: slots, ratio});
  }
}

function medianOf(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)]!;
}
