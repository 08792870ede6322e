import {POSITION_END, type Range} from '@medlarlane/model';
import {LeastLoadedHeap} from './leastLoadedHeap.js';

export interface OwnerCandidate {
  readonly sessionId: number;
  readonly draining: boolean;
}

/**
 * Chooses an owner for each unowned range.
 *
 * Assigns ranges in descending order of load, each to the session with the least load. Without
 * `rangeLoads` the width in positions counts as load. Draining sessions receive ranges only when every
 * session is draining. Deterministic, because every replica computes the result.
 *
 * @param unownedIndexes Indexes into `ranges`; the current owners of these ranges are ignored.
 * @param rangeLoads Requests per second by start position.
 * @returns One owner session id per element of `unownedIndexes`; 0 when there is no session.
 */
export function assignUnownedRanges(
  ranges: readonly Range[],
  unownedIndexes: readonly number[],
  sessions: readonly OwnerCandidate[],
  rangeLoads?: ReadonlyMap<number, number>,
): number[] {
  const activeSessions = sessions.filter(({draining}) => !draining);
  const candidates = (activeSessions.length > 0 ? activeSessions : [...sessions]).sort(
    (a, b) => a.sessionId - b.sessionId,
  );
  if (candidates.length === 0) return unownedIndexes.map(() => 0);
  const weights = rangeWeights(ranges, rangeLoads);
  const loads = candidateLoads(ranges, unownedIndexes, candidates, weights);
  const leastLoaded = new LeastLoadedHeap([...candidates.keys()], loads);
  const owners = new Array<number>(unownedIndexes.length).fill(0);
  const order = [...unownedIndexes.keys()].sort(
    (a, b) => weights[unownedIndexes[b]!]! - weights[unownedIndexes[a]!]! || a - b,
  );
  for (const i of order) {
    const chosen = leastLoaded.peek();
    owners[i] = candidates[chosen]!.sessionId;
    loads[chosen]! += weights[unownedIndexes[i]!]!;
    leastLoaded.reorder(chosen);
  }
  return owners;
}

/** Load of each range. A range without a load is estimated from the mean load density of the others. */
function rangeWeights(
  ranges: readonly Range[],
  rangeLoads: ReadonlyMap<number, number> | undefined,
): Float64Array {
  const weights = Float64Array.from(ranges, (range, i) => rangeWidth(ranges, i, range));
  if (!rangeLoads) return weights;
  let knownLoad = 0;
  let knownWidth = 0;
  for (const [i, range] of ranges.entries()) {
    const load = rangeLoads.get(range.startPosition);
    if (!isValidLoad(load)) continue;
    knownLoad += load;
    knownWidth += weights[i]!;
  }
  if (knownLoad === 0) return weights;
  const density = knownLoad / knownWidth;
  for (const [i, range] of ranges.entries()) {
    const load = rangeLoads.get(range.startPosition);
    weights[i] = isValidLoad(load) ? load : weights[i]! * density;
  }
  return weights;
}

function candidateLoads(
  ranges: readonly Range[],
  unownedIndexes: readonly number[],
  candidates: readonly OwnerCandidate[],
  weights: Float64Array,
): Float64Array {
  const indexById = new Map(candidates.map(({sessionId}, index) => [sessionId, index]));
  const unowned = new Set(unownedIndexes);
  const loads = new Float64Array(candidates.length);
  for (const [i, range] of ranges.entries()) {
    if (unowned.has(i)) continue;
    const index = indexById.get(range.nextSessionId || range.ownerSessionId);
    if (index !== undefined) loads[index]! += weights[i]!;
  }
  return loads;
}

function rangeWidth(ranges: readonly Range[], i: number, range: Range): number {
  return (ranges[i + 1]?.startPosition ?? POSITION_END) - range.startPosition;
}

function isValidLoad(load: number | undefined): load is number {
  return load !== undefined && Number.isFinite(load) && load >= 0;
}
