import {KEY_COUNT} from '@medlarlane/site-state';
import type {KeyAssignment, KeyRange} from '@medlarlane/site-state';

/** A target that may own keys. */
export interface CandidateTarget {
  readonly life: string;
}

export interface KeyPlanInput {
  readonly ranges: readonly KeyRange[];
  /** Targets that take new keys. */
  readonly targets: readonly CandidateTarget[];
  /** Whether the keys of this life may be given away now. */
  readonly isLeaseExpired: (life: string) => boolean;
  /** Whether the target still takes part; its keys stay with it. */
  readonly isServing: (life: string) => boolean;
}

export interface KeyPlan {
  readonly assignments: KeyAssignment[];
}

/** Stripes of a service in its first division; bounds the size of the directory. */
const MAX_STRIPES = 512;
/** Bounds the answer to a heartbeat, which names each range of its target, to about a kilobyte. */
const MAX_STRIPES_PER_TARGET = 32;

/**
 * Gives the keys that nobody holds to the targets with the fewest keys, in stripes. Busy keys are often
 * neighbours, so that stripes spread their load before anything is known of it, and spread the work that
 * a lost target leaves over all others.
 */
export function planKeys({
  ranges,
  targets,
  isLeaseExpired: mayTakeFrom,
  isServing,
}: KeyPlanInput): KeyPlan {
  if (targets.length === 0) return {assignments: []};
  const free = ranges.filter(({ownerLife}) => !isServing(ownerLife) && mayTakeFrom(ownerLife));
  const keys = new Map(targets.map(({life}) => [life, 0]));
  for (const {ownerLife, fromKey, toKey} of ranges) {
    const owned = keys.get(ownerLife);
    if (owned !== undefined) keys.set(ownerLife, owned + toKey - fromKey + 1);
  }
  const perTarget = Math.max(
    1,
    Math.min(MAX_STRIPES_PER_TARGET, Math.floor(MAX_STRIPES / targets.length)),
  );
  const stripeKeys = KEY_COUNT / (targets.length * perTarget);
  const assignments: KeyAssignment[] = [];
  for (const range of free) {
    for (const {fromKey, toKey} of stripesOf(range, stripeKeys)) {
      const [life, owned] = [...keys].reduce((least, next) => (next[1] < least[1] ? next : least));
      assignments.push({
        fromKey,
        toKey,
        ownerLife: life,
        handover: range.handover,
        previousOwnerLife: range.ownerLife,
      });
      keys.set(life, owned + toKey - fromKey + 1);
    }
  }
  return {assignments};
}

/** Cuts a range into stripes of about the wanted length, all alike. */
function stripesOf(
  {fromKey, toKey}: KeyRange,
  stripeKeys: number,
): Array<{fromKey: number; toKey: number}> {
  const length = toKey - fromKey + 1;
  const count = Math.max(1, Math.round(length / stripeKeys));
  const startOf = (index: number): number => fromKey + Math.floor((index * length) / count);
  return Array.from({length: count}, (_, index) => ({
    fromKey: startOf(index),
    toKey: startOf(index + 1) - 1,
  }));
}
