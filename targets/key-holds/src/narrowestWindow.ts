import type {KeyRange} from './keyRange.js';

/** A window may carry this many times the target load, because a hot key cannot be split. */
const MAX_LOAD_RATIO = 1.6;
/** A window must carry at least this fraction of the target load. */
const MIN_LOAD_RATIO = 0.75;

export interface LoadBounds {
  readonly minLoad: number;
  readonly maxLoad: number;
}

interface Window extends KeyRange {
  readonly load: number;
}

/**
 * Returns the narrowest key range within one of `ranges` whose load is close to `targetLoad`, and of several
 * equally narrow ones the one with the closest load. Narrow ranges carry the load with the fewest keys, and
 * each key that changes its owner has a cost. If every range carries less, returns the busy part of the one
 * that carries most, so that evenly spread load can be moved as well. Returns `undefined` if no window fits.
 */
export function narrowestWindow(
  loads: Float64Array,
  ranges: readonly KeyRange[],
  targetLoad: number,
  bounds: LoadBounds = {
    minLoad: targetLoad * MIN_LOAD_RATIO,
    maxLoad: targetLoad * MAX_LOAD_RATIO,
  },
): KeyRange | undefined {
  if (!(targetLoad > 0)) return undefined;
  let best: Window | undefined;
  for (const range of ranges) {
    for (const window of windowsOf(loads, range, bounds)) {
      if (!best || isBetter(window, best, targetLoad)) best = window;
    }
  }
  best ??= busiestWindow(loads, ranges, bounds.maxLoad);
  return best && {fromKey: best.fromKey, toKey: best.toKey};
}

/** Returns the busy part of the range that carries most, unless that is more than `maxLoad` or nothing. */
function busiestWindow(
  loads: Float64Array,
  ranges: readonly KeyRange[],
  maxLoad: number,
): Window | undefined {
  let busiest: Window | undefined;
  for (const {fromKey, toKey} of ranges) {
    let load = 0;
    let [first, last] = [toKey, fromKey];
    for (let key = fromKey; key <= toKey; key += 1) {
      if (loads[key] === 0) continue;
      load += loads[key]!;
      first = Math.min(first, key);
      last = key;
    }
    const isCandidate = load > 0 && load <= maxLoad;
    if (isCandidate && load > (busiest?.load ?? 0)) busiest = {fromKey: first, toKey: last, load};
  }
  return busiest;
}

/** Splits a window into adjacent parts that carry load in proportion to `weights`; late ones may get none. */
export function splitWindow(
  loads: Float64Array,
  {fromKey, toKey}: KeyRange,
  weights: readonly number[],
): KeyRange[] {
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  let totalLoad = 0;
  for (let key = fromKey; key <= toKey; key += 1) totalLoad += loads[key]!;
  const parts: KeyRange[] = [];
  let key = fromKey;
  let load = 0;
  let endLoad = 0;
  for (const weight of weights) {
    endLoad += (totalLoad * weight) / totalWeight;
    const start = key;
    // A key belongs to the part that contains the middle of its load.
    while (key <= toKey && (key === start || load + loads[key]! / 2 <= endLoad)) {
      load += loads[key]!;
      key += 1;
    }
    if (key > start) parts.push({fromKey: start, toKey: key - 1});
  }
  return parts;
}

/** Yields, for each busy first key, the shortest window whose load is within the bounds. */
function* windowsOf(
  loads: Float64Array,
  {fromKey, toKey}: KeyRange,
  {minLoad, maxLoad}: LoadBounds,
): Generator<Window> {
  let load = 0;
  let end = fromKey;
  for (let start = fromKey; start <= toKey; start += 1) {
    if (end < start) [end, load] = [start, 0];
    if (loads[start] === 0) continue;
    while (end <= toKey && load < minLoad) {
      load += loads[end]!;
      end += 1;
    }
    if (load >= minLoad && load <= maxLoad) yield {fromKey: start, toKey: end - 1, load};
    load = Math.max(0, load - loads[start]!);
  }
}

function isBetter(next: Window, best: Window, targetLoad: number): boolean {
  const nextWidth = next.toKey - next.fromKey;
  const bestWidth = best.toKey - best.fromKey;
  if (nextWidth !== bestWidth) return nextWidth < bestWidth;
  return Math.abs(next.load - targetLoad) < Math.abs(best.load - targetLoad);
}
