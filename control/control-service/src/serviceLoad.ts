import {POSITION_END} from '@medlarlane/model';
import type {Range, Session} from '@medlarlane/model';

/** Highest load divided by the mean load of the sessions, or `undefined` when no load is reported. */
export function computeImbalance(
  ranges: readonly Range[],
  sessions: readonly Session[],
  rangeLoads: ReadonlyMap<number, number>,
): number | undefined {
  const loads = new Map(sessions.map(({sessionId}) => [sessionId, 0]));
  for (const {startPosition, ownerSessionId} of ranges) {
    const load = loads.get(ownerSessionId);
    if (load === undefined) continue;
    loads.set(ownerSessionId, load + (rangeLoads.get(startPosition) ?? 0));
  }
  const values = [...loads.values()];
  const total = values.reduce((sum, load) => sum + load, 0);
  return total === 0 ? undefined : (Math.max(...values) * values.length) / total;
}

/** Fraction of the key space that a session owns, from 0 to 1. */
export function ownedFraction(ranges: readonly Range[], sessionId: number): number {
  const width = ranges.reduce((sum, {startPosition, ownerSessionId}, index) => {
    const endPosition = ranges[index + 1]?.startPosition ?? POSITION_END;
    return ownerSessionId === sessionId ? sum + endPosition - startPosition : sum;
  }, 0);
  return width / POSITION_END;
}
