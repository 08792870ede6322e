import {KEY_COUNT} from '@medlarlane/site-state';
import type {KeyAssignment, KeyRange} from '@medlarlane/site-state';

/** A target that can be assigned keys. */
export interface CandidateTarget {
  readonly life: string;
  /** Fraction of its slots that the target can use under its rate limit, above 0; 1 without a limit. */
  readonly usableFraction: number;
}

export interface KeyPlanInput {
  readonly ranges: readonly KeyRange[];
  /** Targets that accept new keys. */
  readonly targets: readonly CandidateTarget[];
  /** Whether the lease of this owner has expired, so that its keys may be reassigned. */
  readonly isLeaseExpired: (incarnation: string) => boolean;
  /** Whether the target is still serving and so keeps its keys. */
  readonly isServing: (incarnation: string) => boolean;
}

export interface KeyPlan {
  readonly assignments: KeyAssignment[];
}

/** Maximum number of stripes in the initial assignment of a service; bounds the size of the directory. */
const MAX_INITIAL_STRIPES = 512;
/** Bounds a heartbeat response, which lists every range of the target, to about 1 kB. */
const MAX_STRIPES_PER_TARGET = 32;

/**
 * Assigns unowned keys to the targets with the fewest keys relative to their usable slots, in stripes.
 * Busy keys are often adjacent, so stripes spread their load before any load is measured. They also
 * spread the load of a lost target over all others.
 */
export function planKeys({ranges, targets, isLeaseExpired, isServing}: KeyPlanInput): KeyPlan {
  if (targets.length === 0) return {assignments: []};
  const reassignableRanges = ranges.filter(
    ({ownerLife}) => !isServing(ownerLife) && isLeaseExpired(ownerLife),
  );
  const usableFractions = new Map(targets.map(({life, usableFraction}) => [life, usableFraction]));
  const keyCounts = new Map(targets.map(({life}) => [life, 0]));
  for (const {ownerLife, fromKey, toKey} of ranges) {
    const owned = keyCounts.get(ownerLife);
    if (owned !== undefined) keyCounts.set(ownerLife, owned + toKey - fromKey + 1);
  }
  const stripesPerTarget = Math.max(
    1,
    Math.min(MAX_STRIPES_PER_TARGET, Math.floor(MAX_INITIAL_STRIPES / targets.length)),
  );
  const keysPerStripe = KEY_COUNT / (targets.length * stripesPerTarget);
  const assignments: KeyAssignment[] = [];
  for (const range of reassignableRanges) {
    for (const {fromKey, toKey} of stripesOf(range, keysPerStripe)) {
      const fill = ([life, owned]: [string, number]): number => owned / usableFractions.get(life)!;
      const [incarnation, owned] = [...keyCounts].reduce((least, next) =>
        fill(next) < fill(least) ? next : least,
      );
      assignments.push({
        fromKey,
        toKey,
        ownerLife: incarnation,
        handover: range.handover,
        previousOwnerLife: range.ownerLife,
      });
      keyCounts.set(incarnation, owned + toKey - fromKey + 1);
    }
  }
  return {assignments};
}

/** Splits a range into stripes of nearly equal length, about `keysPerStripe` each. */
function stripesOf(
  {fromKey, toKey}: KeyRange,
  keysPerStripe: number,
): Array<{fromKey: number; toKey: number}> {
  const length = toKey - fromKey + 1;
  const count = Math.max(1, Math.round(length / keysPerStripe));
  const startOf = (index: number): number => fromKey + Math.floor((index * length) / count);
  return Array.from({length: count}, (_, index) => ({
    fromKey: startOf(index),
    toKey: startOf(index + 1) - 1,
  }));
}
