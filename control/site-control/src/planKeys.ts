import {KEY_COUNT} from '@medlarlane/site-state';
import type {KeyAssignment, KeyRange} from '@medlarlane/site-state';

/** A target that may own keys. */
export interface PlanTarget {
  readonly life: string;
}

export interface PlanInput {
  readonly ranges: readonly KeyRange[];
  /** Targets that take new keys. */
  readonly targets: readonly PlanTarget[];
  /** Whether the keys of this life may be given away now. */
  readonly mayTakeFrom: (life: string) => boolean;
  /** Whether the target still takes part; its keys stay with it. */
  readonly isServing: (life: string) => boolean;
}

export interface KeyPlan {
  readonly assignments: KeyAssignment[];
}

/**
 * Gives the keys that nobody holds to the targets with the fewest keys. Work that a target loses
 * spreads over all others, so that none of them takes more than its part.
 */
export function planKeys({ranges, targets, mayTakeFrom, isServing}: PlanInput): KeyPlan {
  if (targets.length === 0) return {assignments: []};
  const free = ranges.filter(({ownerLife}) => !isServing(ownerLife) && mayTakeFrom(ownerLife));
  const keys = new Map(targets.map(({life}) => [life, 0]));
  for (const {ownerLife, fromKey, toKey} of ranges) {
    const owned = keys.get(ownerLife);
    if (owned !== undefined) keys.set(ownerLife, owned + toKey - fromKey + 1);
  }
  const assignments: KeyAssignment[] = [];
  const share = KEY_COUNT / targets.length;
  for (const range of free) {
    let {fromKey} = range;
    while (fromKey <= range.toKey) {
      const [life, owned] = [...keys].reduce((least, next) => (next[1] < least[1] ? next : least));
      const room = Math.max(1, Math.ceil(share - owned));
      const toKey = Math.min(range.toKey, fromKey + room - 1);
      assignments.push({
        fromKey,
        toKey,
        ownerLife: life,
        handover: range.handover,
        previousOwnerLife: range.ownerLife,
      });
      keys.set(life, owned + toKey - fromKey + 1);
      fromKey = toKey + 1;
    }
  }
  return {assignments};
}
