import {POSITION_END, type Range} from '@medlarlane/model';
import {LeastLoaded} from './leastLoaded.js';

export interface OwnerCandidate {
  readonly sessionId: number;
  readonly draining: boolean;
}

/**
 * Chooses an owner for each range that has none.
 *
 * Ranges go to the sessions with the least load, the largest range first. Without `rangeLoads`
 * the width in positions counts as load. Draining sessions receive ranges only when every session
 * is draining. The result depends on the arguments alone, because every replica computes it.
 *
 * @param orphanIndexes Indexes into `ranges`; the owners that these ranges still name are ignored.
 * @param rangeLoads Requests per second by start position.
 * @returns One owner session id per element of `orphanIndexes`; 0 when there is no session.
 */
export function assignUnownedRanges(
  ranges: readonly Range[],
  orphanIndexes: readonly number[],
  sessions: readonly OwnerCandidate[],
  rangeLoads?: ReadonlyMap<number, number>,
): number[] {
  const staying = sessions.filter(({draining}) => !draining);
  const candidates = (staying.length > 0 ? staying : [...sessions]).sort(
    (a, b) => a.sessionId - b.sessionId,
  );
  if (candidates.length === 0) return orphanIndexes.map(() => 0);
  const weights = rangeWeights(ranges, rangeLoads);
  const loads = candidateLoads(ranges, orphanIndexes, candidates, weights);
  const least = new LeastLoaded([...candidates.keys()], loads);
  const owners = new Array<number>(orphanIndexes.length).fill(0);
  const order = [...orphanIndexes.keys()].sort(
    (a, b) => weights[orphanIndexes[b]!]! - weights[orphanIndexes[a]!]! || a - b,
  );
  for (const at of order) {
    const chosen = least.peek();
    owners[at] = candidates[chosen]!.sessionId;
    loads[chosen]! += weights[orphanIndexes[at]!]!;
    least.changed(chosen);
  }
  return owners;
}

/** Load of each range; ranges without a load count with the mean density of the others. */
function rangeWeights(
  ranges: readonly Range[],
  rangeLoads: ReadonlyMap<number, number> | undefined,
): Float64Array {
  const weights = Float64Array.from(ranges, (range, at) => widthOf(ranges, at, range));
  if (!rangeLoads) return weights;
  let knownLoad = 0;
  let knownWidth = 0;
  for (const [at, range] of ranges.entries()) {
    const load = rangeLoads.get(range.startPosition);
    if (!isLoad(load)) continue;
    knownLoad += load;
    knownWidth += weights[at]!;
  }
  if (knownLoad === 0) return weights;
  const density = knownLoad / knownWidth;
  for (const [at, range] of ranges.entries()) {
    const load = rangeLoads.get(range.startPosition);
    weights[at] = isLoad(load) ? load : weights[at]! * density;
  }
  return weights;
}

function candidateLoads(
  ranges: readonly Range[],
  orphanIndexes: readonly number[],
  candidates: readonly OwnerCandidate[],
  weights: Float64Array,
): Float64Array {
  const indexById = new Map(candidates.map(({sessionId}, index) => [sessionId, index]));
  const orphans = new Set(orphanIndexes);
  const loads = new Float64Array(candidates.length);
  for (const [at, range] of ranges.entries()) {
    if (orphans.has(at)) continue;
    const index = indexById.get(range.nextSessionId || range.ownerSessionId);
    if (index !== undefined) loads[index]! += weights[at]!;
  }
  return loads;
}

function widthOf(ranges: readonly Range[], at: number, range: Range): number {
  return (ranges[at + 1]?.startPosition ?? POSITION_END) - range.startPosition;
}

function isLoad(load: number | undefined): load is number {
  return load !== undefined && Number.isFinite(load) && load >= 0;
}
