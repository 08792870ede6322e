/** A target and the load of the keys that it owns. */
export interface LoadedTarget {
  readonly life: string;
  readonly slots: number;
  /** Requests per second for the target's keys, whether admitted or not. */
  readonly offeredRps: number;
  /** Smoothed mean duration of a request at the target. */
  readonly meanMs: number;
  readonly ownsKeys: boolean;
  /** Requests per second that the target accepts, and for how long; absent if it names no limit. */
  readonly rateLimit?: {readonly rps: number; readonly ageMs: number} | undefined;
}

/** A request to move keys from `fromLife` to `toLife` that carry `share` of the requests to `fromLife`. */
export interface Transfer {
  readonly fromLife: string;
  readonly toLife: string;
  readonly share: number;
}

/** A target with a lower utilisation does not transfer keys. */
const MIN_SOURCE_UTILISATION = 0.6;
/** Smaller differences in utilisation count as balanced. */
const MIN_UTILISATION_DIFFERENCE = 0.15;
/** Moving a smaller part of a target's capacity is not worth the pause in serving the moved keys. */
const MIN_MOVED_CAPACITY_FRACTION = 0.04;
/** Keys are not moved for a limit that may be over by the time they have moved. */
const MIN_RATE_LIMIT_AGE_MS = 1_000;
/** A limit of 0 counts as this capacity, so that utilisations stay finite. */
const MIN_CAPACITY_RPS = 0.1;
/** Largest fraction of a target's load that one plan moves, because the measured loads are estimates. */
const MAX_MOVED_FRACTION = 0.7;

/**
 * Plans transfers between targets so that all have the same utilisation, that is, load in proportion
 * to capacity.
 */
export function planTransfers(targets: readonly LoadedTarget[]): Transfer[] {
  if (targets.length < 2) return [];
  const totalCapacityRps = targets.reduce((sum, target) => sum + capacityRps(target), 0);
  const totalRps = targets.reduce((sum, {offeredRps}) => sum + offeredRps, 0);
  const meanUtilisation = totalRps / totalCapacityRps;
  const excessRps = (target: LoadedTarget): number =>
    target.offeredRps - capacityRps(target) * meanUtilisation;
  const destinations = targets
    .map((target) => ({target, spareRps: -excessRps(target)}))
    .filter(({spareRps}) => spareRps > 0)
    .sort((a, b) => b.spareRps - a.spareRps);
  const transfers: Transfer[] = [];
  const targetWithoutKeys = destinations.find(({target}) => !target.ownsKeys);
  const sources = targets
    .filter((target) => {
      if (target.rateLimit && target.rateLimit.ageMs < MIN_RATE_LIMIT_AGE_MS) return false;
      // A target without keys serves no requests, so it gets its part even when the others have spare capacity.
      if (targetWithoutKeys) return target.ownsKeys && excessRps(target) > 0;
      const utilisation = target.offeredRps / capacityRps(target);
      return (
        utilisation > MIN_SOURCE_UTILISATION &&
        utilisation - meanUtilisation > MIN_UTILISATION_DIFFERENCE
      );
    })
    .sort((a, b) => excessRps(b) - excessRps(a));
  for (const source of sources) {
    let remainingRps = Math.min(excessRps(source), source.offeredRps * MAX_MOVED_FRACTION);
    while (remainingRps > 0 && destinations.length > 0) {
      const destination = destinations[0]!;
      const movedRps = Math.min(remainingRps, destination.spareRps);
      if (movedRps === destination.spareRps) destinations.shift();
      // Relative to the source's capacity, not its load: in a large fleet the spare capacity of each
      // destination is small compared to the load of an overloaded source.
      if (movedRps < capacityRps(source) * MIN_MOVED_CAPACITY_FRACTION) {
        if (movedRps === remainingRps) break;
        continue;
      }
      remainingRps -= movedRps;
      destination.spareRps -= movedRps;
      const fraction = movedRps / source.offeredRps;
      transfers.push({fromLife: source.life, toLife: destination.target.life, share: fraction});
    }
  }
  return transfers;
}

type TargetCapacity = Pick<LoadedTarget, 'slots' | 'meanMs' | 'rateLimit'>;

/** Requests per second that the slots of a target and its rate limit permit. */
function capacityRps(target: TargetCapacity): number {
  return Math.max(MIN_CAPACITY_RPS, Math.min(slotsRps(target), target.rateLimit?.rps ?? Infinity));
}

/** Fraction of a target's slots that it can use under its rate limit, above 0; 1 without a limit. */
export function usableFractionOf(target: TargetCapacity): number {
  return target.rateLimit ? Math.min(1, capacityRps(target) / slotsRps(target)) : 1;
}

function slotsRps({slots, meanMs}: TargetCapacity): number {
  return (slots * 1_000) / Math.max(1, meanMs);
}
