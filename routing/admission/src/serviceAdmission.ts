import type {Clock} from '@medlarlane/lifecycle';
import {DecayingRate} from './decayingRate.js';

/** Demand and completed work of one priority, summed over the gates and entries of a service. */
export interface PriorityDemand {
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Requests per second that callers sent for the first time, whether admitted or not. */
  readonly newRps: number;
  /** Requests per second of callers that returned after a refusal. */
  readonly returnedRps: number;
  readonly completedRps: number;
  /** Mean number of slots that completed requests held. */
  readonly busySlots: number;
  /** Requests per second that gates refused although no other target would be tried. */
  readonly refusedRps: number;
}

export interface ServiceDemand {
  readonly usableSlots: number;
  readonly busySlots: number;
  readonly byPriority: readonly PriorityDemand[];
}

interface PriorityState {
  /** Fraction of the requests to admit, 0 to 1. */
  level: number;
  /** Slow mean of the slots that new requests of this and higher priorities need. */
  usualSlots: number;
  /** Mean work of a request, in slot seconds. */
  workS: number;
  /** Fractional admissions that are due to new and to returning requests. */
  newCredit: number;
  returningCredit: number;
  readonly newRequests: DecayingRate;
  readonly returningRequests: DecayingRate;
}

/** A service with a smaller fraction of its slots busy refuses nothing, and its demand is not reported. */
export const NEAR_CAPACITY_FRACTION = 0.85;
/** The level has full effect from this fraction of busy slots; in between, its effect grows linearly. */
const FULL_EFFECT_FRACTION = 0.95;
/** Share of refused requests from which the level has full effect. */
const FULL_EFFECT_REFUSED_SHARE = 0.01;
/**
 * Demand is admitted up to this multiple of the slots, because targets with less than their share of the
 * requests would otherwise idle. Gates refuse what does not fit.
 */
const OVERCOMMIT = 1.05;
/** Weight of a new level; damps oscillation, because the effect of a level is measured a report later. */
const LEVEL_SMOOTHING = 0.5;
/** Sums arrive every 400 ms. Older levels end, so that a loss of control does not keep callers out. */
const MAX_LEVEL_AGE_MS = 1_500;
const LEVEL_DECAY_MS = 1_000;
/** Without sums for this time, the service was below its capacity. */
const AT_REST_MS = 3_000;
/** Time constant of the usual demand, which predicts the free capacity after a burst of a few seconds. */
const USUAL_DEMAND_TIME_CONSTANT_MS = 10_000;
const ENTRY_RATE_TIME_CONSTANT_MS = 1_000;

/**
 * Admission level of one service by priority, computed from the demand of all its gates and entries. While
 * demand exceeds the slots, the least urgent requests are refused first. Fails open without fresh sums.
 */
export class ServiceAdmission {
  private readonly states = new Map<number, PriorityState>();
  private usableSlots = 0;
  private updatedAtMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Whether the sums are fresh enough to tell the free capacity. */
  get isActive(): boolean {
    return this.clock.nowMs() - this.updatedAtMs < MAX_LEVEL_AGE_MS;
  }

  update({usableSlots, busySlots, byPriority}: ServiceDemand): void {
    // Requests of one priority have no more urgent ones to yield to: the gates decide about them.
    if (byPriority.length < 2) {
      this.reset();
      return;
    }
    const nowMs = this.clock.nowMs();
    const sinceUpdateMs = nowMs - this.updatedAtMs;
    const effect = Math.min(effectOf(busySlots, usableSlots), refusalEffectOf(byPriority));
    const meanWorkS = meanWork(byPriority);
    let freeSlots = usableSlots * OVERCOMMIT;
    let usualSlots = 0;
    for (const demand of [...byPriority].sort((a, b) => a.priority - b.priority)) {
      const state = this.stateOf(demand.priority);
      state.workS = workOf(demand) ?? (state.workS || meanWorkS);
      const neededSlots = (demand.newRps + demand.returnedRps) * state.workS;
      const fraction = neededSlots > freeSlots ? Math.max(0, freeSlots) / neededSlots : 1;
      const level = 1 - (1 - fraction) * effect;
      // A level of 1 applies immediately, so that free slots are never refused.
      const isSmoothed = this.isActive && level < 1;
      state.level = isSmoothed ? mix(state.level, level, LEVEL_SMOOTHING) : level;
      freeSlots -= neededSlots;
      usualSlots += demand.newRps * state.workS;
      // A service that was at rest used less than the fraction from which demand is reported.
      const initialSlots = Math.min(usualSlots, usableSlots * NEAR_CAPACITY_FRACTION);
      const weight = 1 - Math.exp(-sinceUpdateMs / USUAL_DEMAND_TIME_CONSTANT_MS);
      state.usualSlots =
        sinceUpdateMs > AT_REST_MS ? initialSlots : mix(state.usualSlots, usualSlots, weight);
    }
    this.usableSlots = usableSlots;
    this.updatedAtMs = nowMs;
  }

  /** Fraction of the requests of this priority that is admitted; 1 at rest and without fresh sums. */
  level(priority: number): number {
    const ageMs = this.clock.nowMs() - this.updatedAtMs;
    const level = this.states.get(priority)?.level ?? 1;
    if (ageMs <= MAX_LEVEL_AGE_MS) return level;
    return mix(level, 1, Math.min(1, (ageMs - MAX_LEVEL_AGE_MS) / LEVEL_DECAY_MS));
  }

  /** Admission levels below 1 by priority. */
  get levels(): Array<readonly [priority: number, level: number]> {
    return [...this.states.keys()]
      .map((priority) => [priority, this.level(priority)] as const)
      .filter(([, level]) => level < 1);
  }

  /**
   * Decides about one request. Callers that return after a refusal are admitted before new ones of their
   * priority; both together get the level. Fractions are carried over, so that no randomness is needed.
   */
  tryAdmit(priority: number, {isReturning}: {isReturning: boolean}): boolean {
    if (this.updatedAtMs === -Infinity) return true;
    const level = this.level(priority);
    if (level >= 1) return true;
    const nowMs = this.clock.nowMs();
    const state = this.stateOf(priority);
    (isReturning ? state.returningRequests : state.newRequests).record(nowMs);
    const returningRps = state.returningRequests.at(nowMs);
    const totalRps = returningRps + state.newRequests.at(nowMs);
    const admittedRps = totalRps * level;
    if (isReturning) {
      state.returningCredit += Math.min(1, admittedRps / returningRps);
      if (state.returningCredit < 1) return false;
      state.returningCredit -= 1;
      return true;
    }
    state.newCredit += Math.max(0, admittedRps - returningRps) / (totalRps - returningRps);
    if (state.newCredit < 1) return false;
    state.newCredit -= 1;
    return true;
  }

  /**
   * Requests per second of this priority for which slots are usually free: those that new requests of
   * this and higher priorities do not need. 0 while a lasting overload leaves none.
   */
  freeRps(priority: number): number {
    const state = this.states.get(priority);
    if (!state || state.workS === 0) return 0;
    return Math.max(0, this.usableSlots - state.usualSlots) / state.workS;
  }

  /** Mean time that a request of this priority holds a slot. */
  workMs(priority: number): number {
    return (this.states.get(priority)?.workS ?? 0) * 1_000;
  }

  private reset(): void {
    this.states.clear();
    this.updatedAtMs = -Infinity;
  }

  private stateOf(priority: number): PriorityState {
    const known = this.states.get(priority);
    if (known) return known;
    const state = {
      level: 1,
      usualSlots: 0,
      workS: 0,
      newCredit: 0,
      returningCredit: 0,
      newRequests: new DecayingRate(ENTRY_RATE_TIME_CONSTANT_MS),
      returningRequests: new DecayingRate(ENTRY_RATE_TIME_CONSTANT_MS),
    };
    this.states.set(priority, state);
    return state;
  }
}

/** 0 while the service has free slots, so that its level refuses nothing, up to 1 without free slots. */
function effectOf(busySlots: number, usableSlots: number): number {
  if (usableSlots <= 0) return 0;
  const span = FULL_EFFECT_FRACTION - NEAR_CAPACITY_FRACTION;
  return Math.min(1, Math.max(0, (busySlots / usableSlots - NEAR_CAPACITY_FRACTION) / span));
}

/**
 * 0 while the queues of the gates take all requests: a short burst of a class with a late latency target
 * is served in time from them.
 */
function refusalEffectOf(byPriority: readonly PriorityDemand[]): number {
  const refusedRps = byPriority.reduce((sum, demand) => sum + demand.refusedRps, 0);
  const completedRps = byPriority.reduce((sum, demand) => sum + demand.completedRps, 0);
  if (refusedRps <= 0) return 0;
  return Math.min(1, refusedRps / (refusedRps + completedRps) / FULL_EFFECT_REFUSED_SHARE);
}

function workOf({busySlots, completedRps}: PriorityDemand): number | undefined {
  return completedRps > 0 && busySlots > 0 ? busySlots / completedRps : undefined;
}

function meanWork(byPriority: readonly PriorityDemand[]): number {
  const busySlots = byPriority.reduce((sum, demand) => sum + demand.busySlots, 0);
  const completedRps = byPriority.reduce((sum, demand) => sum + demand.completedRps, 0);
  return completedRps > 0 ? busySlots / completedRps : 0;
}

function mix(from: number, to: number, weight: number): number {
  return from + (to - from) * weight;
}
