import {POSITION_END, type Move, type Range} from '@medlarlane/model';
import type {HotKey, PlacementInput, PlacementSession} from '@medlarlane/placement';

export interface ServiceFixture {
  readonly servers: number;
  readonly rangesPerServer?: number;
  /** Load of each range; by default 100 requests per second. */
  readonly rateRps?: (rangeIndex: number, ownerSessionId: number) => number | undefined;
  readonly hotKeys?: readonly HotKey[];
  readonly sessions?: readonly PlacementSession[];
  readonly weighsMost?: PlacementInput['weighsMost'];
  readonly elapsedMs?: number;
}

export function session(
  sessionId: number,
  fields: Partial<PlacementSession> = {},
): PlacementSession {
  return {sessionId, draining: false, availabilityZone: 'zone-a', ...fields};
}

/** A service whose sessions 1 to `servers` own ranges of equal width in rotation. */
export function serviceInput(fixture: ServiceFixture): PlacementInput {
  const {servers, rangesPerServer = 16, rateRps = () => 100} = fixture;
  const count = servers * rangesPerServer;
  const ranges = Array.from({length: count}, (_, i) => ({
    startPosition: Math.floor(POSITION_END / count) * i,
    ownerSessionId: (i % servers) + 1,
    nextSessionId: 0,
    epoch: 1,
  }));
  const rangeLoads = new Map<number, number>();
  for (const [i, {startPosition, ownerSessionId}] of ranges.entries()) {
    const rate = rateRps(i, ownerSessionId);
    if (rate !== undefined) rangeLoads.set(startPosition, rate);
  }
  return {
    ranges,
    sessions: fixture.sessions ?? Array.from({length: servers}, (_, i) => session(i + 1)),
    rangeLoads,
    hotKeys: fixture.hotKeys ?? [],
    elapsedMs: fixture.elapsedMs ?? 60_000,
    weighsMost: fixture.weighsMost ?? 'churn',
  };
}

/** The input after the moves have finished. The load of a split range is divided by width. */
export function applyMoves(input: PlacementInput, moves: readonly Move[]): PlacementInput {
  const ranges: Range[] = [];
  const rangeLoads = new Map<number, number>();
  for (const [i, range] of input.ranges.entries()) {
    const end = endOf(input.ranges, i);
    const movesInRange = moves.filter(
      ({fromPosition, toPosition}) => fromPosition >= range.startPosition && toPosition <= end,
    );
    const cuts = new Set([range.startPosition, end]);
    for (const {fromPosition, toPosition} of movesInRange) cuts.add(fromPosition).add(toPosition);
    const positions = [...cuts].sort((a, b) => a - b);
    const keys = input.hotKeys.filter(
      ({position}) => position >= range.startPosition && position < end,
    );
    const reported = input.rangeLoads.get(range.startPosition);
    const keysRps = keys.reduce((sum, {rateRps}) => sum + rateRps, 0);
    for (const [index, start] of positions.slice(0, -1).entries()) {
      const stop = positions[index + 1]!;
      const move = movesInRange.find(
        ({fromPosition, toPosition}) => fromPosition <= start && toPosition >= stop,
      );
      ranges.push({
        ...range,
        startPosition: start,
        ownerSessionId: move?.toSessionId ?? range.ownerSessionId,
      });
      if (reported === undefined) continue;
      const keysHere = keys.filter(({position}) => position >= start && position < stop);
      const baseRps =
        Math.max(0, reported - keysRps) * ((stop - start) / (end - range.startPosition));
      rangeLoads.set(
        start,
        keysHere.reduce((sum, {rateRps}) => sum + rateRps, baseRps),
      );
    }
  }
  return {...input, ranges, rangeLoads};
}

/** Load by session; a moving range counts for its destination. */
export function loadsBySession(input: PlacementInput): Map<number, number> {
  const loads = new Map(input.sessions.map(({sessionId}) => [sessionId, 0]));
  for (const {startPosition, ownerSessionId, nextSessionId} of input.ranges) {
    const id = nextSessionId || ownerSessionId;
    if (!loads.has(id)) continue;
    loads.set(id, loads.get(id)! + (input.rangeLoads.get(startPosition) ?? 0));
  }
  return loads;
}

export function maxOverMean(input: PlacementInput): number {
  const loads = loadsBySession(input);
  const activeSessions = input.sessions.filter(({draining}) => !draining);
  const total = [...loads.values()].reduce((sum, load) => sum + load, 0);
  const max = Math.max(...activeSessions.map(({sessionId}) => loads.get(sessionId)!));
  return total === 0 ? 1 : (max * activeSessions.length) / total;
}

export function movedFraction(moves: readonly Move[]): number {
  return (
    moves.reduce((sum, {fromPosition, toPosition}) => sum + toPosition - fromPosition, 0) /
    POSITION_END
  );
}

export function endOf(ranges: readonly Range[], i: number): number {
  return ranges[i + 1]?.startPosition ?? POSITION_END;
}
