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
  /** Whether keys of the target are being moved, or were just now, so that it gives none away. */
  readonly isSettling?: boolean;
  /** Whether keys of the target were moved recently, so that it gives more away only if overloaded. */
  readonly hasMovedKeys?: boolean;
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
/** Excess within this many standard deviations of the measured load is noise. */
const MIN_EXCESS_DEVIATIONS = 3;
/** Time constant of the measured loads. */
const LOAD_DECAY_S = 1.5;
/** Keys are not moved for a limit that may be over by the time they have moved. */
const MIN_RATE_LIMIT_AGE_MS = 1_000;
/** A limit of 0 counts as this capacity, so that utilisations stay finite. */
const MIN_CAPACITY_RPS = 0.1;
/** Largest fraction of a target's load that one plan moves, because the measured loads are estimates. */
const MAX_MOVED_FRACTION = 0.7;
/** From this utilisation on a source is overloaded: its load is divided among all others at once. */
const OVERLOADED_UTILISATION = 1.3;
/** An overloaded target keeps its part of the load also when that is small. */
const MAX_MOVED_FRACTION_OVERLOADED = 0.95;
/**
 * Minimum part of an overloaded source's capacity in one transfer. Each transfer adds a range to the
 * directory.
 */
const MIN_MOVED_FRACTION_OVERLOADED = 0.08;
/** Number of targets that give keys to one without any; few, because all moved keys pause. */
const MAX_SOURCES_PER_NEWCOMER = 6;
const MAX_FRACTION_FOR_NEWCOMER = 0.5;

interface Destination {
  readonly target: LoadedTarget;
  spareRps: number;
}

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
  const sources = targets
    .filter((target) => {
      if (target.rateLimit && target.rateLimit.ageMs < MIN_RATE_LIMIT_AGE_MS) return false;
      return target.ownsKeys && target.isSettling !== true;
    })
    .sort((a, b) => excessRps(b) - excessRps(a));
  // A target without keys serves no requests, so it gets its part even when the others have spare capacity.
  const newcomers = destinations.filter(({target}) => !target.ownsKeys && !target.isSettling);
  const toNewcomers = supplyNewcomers(newcomers, sources);
  const givers = new Set(toNewcomers.map(({fromLife}) => fromLife));
  const balanced = sources
    .filter((source) => {
      const utilisation = source.offeredRps / capacityRps(source);
      const deviationRps = Math.sqrt(source.offeredRps / (2 * LOAD_DECAY_S));
      return (
        !givers.has(source.life) &&
        utilisation > (source.hasMovedKeys ? OVERLOADED_UTILISATION : MIN_SOURCE_UTILISATION) &&
        utilisation - meanUtilisation > MIN_UTILISATION_DIFFERENCE &&
        excessRps(source) > MIN_EXCESS_DEVIATIONS * deviationRps
      );
    })
    .flatMap((source) =>
      !source.rateLimit && source.offeredRps / capacityRps(source) > OVERLOADED_UTILISATION
        ? divideLoad(source, excessRps(source), destinations)
        : fillSpareCapacity(source, excessRps(source), destinations),
    );
  return [...toNewcomers, ...balanced];
}

/** Moves a part of the load of the busiest sources to targets without keys. Each source gives once. */
function supplyNewcomers(
  newcomers: readonly Destination[],
  sources: readonly LoadedTarget[],
): Transfer[] {
  const perNewcomer = Math.min(
    MAX_SOURCES_PER_NEWCOMER,
    Math.max(1, Math.floor(sources.length / Math.max(1, newcomers.length))),
  );
  return newcomers.flatMap((newcomer, index) =>
    sources
      .slice(index * perNewcomer, (index + 1) * perNewcomer)
      .filter(({offeredRps}) => offeredRps > 0)
      .map((source) => {
        const movedRps = Math.min(
          newcomer.spareRps / perNewcomer,
          source.offeredRps * MAX_FRACTION_FOR_NEWCOMER,
        );
        return transferOf(source, newcomer, movedRps);
      }),
  );
}

/**
 * Divides the excess of an overloaded source among all destinations in proportion to their spare capacity.
 * A measured load is too low just after it has risen; the proportions are still right then.
 */
function divideLoad(
  source: LoadedTarget,
  excessRps: number,
  destinations: readonly Destination[],
): Transfer[] {
  const totalRps = Math.min(excessRps, source.offeredRps * MAX_MOVED_FRACTION_OVERLOADED);
  const minMovedRps = capacityRps(source) * MIN_MOVED_FRACTION_OVERLOADED;
  const count = Math.max(1, Math.floor(totalRps / minMovedRps));
  const chosen = [...destinations].sort((a, b) => b.spareRps - a.spareRps).slice(0, count);
  const totalSpareRps = chosen.reduce((sum, {spareRps}) => sum + Math.max(0, spareRps), 0);
  const movedRps = Math.min(totalRps, totalSpareRps);
  return chosen
    .filter(({spareRps}) => spareRps > 0)
    .map((destination) =>
      transferOf(source, destination, (movedRps * destination.spareRps) / totalSpareRps),
    );
}

/** Moves the excess of a source to the destinations with the most spare capacity. */
function fillSpareCapacity(
  source: LoadedTarget,
  excessRps: number,
  destinations: Destination[],
): Transfer[] {
  const transfers: Transfer[] = [];
  let remainingRps = Math.min(excessRps, source.offeredRps * MAX_MOVED_FRACTION);
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
    transfers.push(transferOf(source, destination, movedRps));
  }
  return transfers;
}

function transferOf(source: LoadedTarget, destination: Destination, movedRps: number): Transfer {
  destination.spareRps -= movedRps;
  return {
    fromLife: source.life,
    toLife: destination.target.life,
    share: movedRps / source.offeredRps,
  };
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
