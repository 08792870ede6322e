import {rangeIndexAt} from '@medlarlane/key-space';
import {POSITION_END, type Range} from '@medlarlane/model';
import type {HotKey, PlacementInput, PlacementSession} from './placementInput.js';

/** A part of one range: one hot position, or the positions between hot ones. */
export interface Piece {
  readonly fromPosition: number;
  readonly toPosition: number;
  readonly loadRps: number;
  readonly rangeIndex: number;
}

/** What the planner knows about a service. Servers are sessions ordered by id. */
export interface LoadModel {
  readonly servers: readonly PlacementSession[];
  /** Destination server of each range, or -1 when no known session owns it. */
  readonly serverOfRange: Int32Array;
  /** Load of each range without its hot keys. */
  readonly restRps: Float64Array;
  readonly widths: Float64Array;
  /** Hot keys of each range that has some, by position. */
  readonly hotKeysOfRange: ReadonlyMap<number, readonly HotKey[]>;
  /** Load of each server, in-progress moves counted at their destination. */
  readonly serverRps: Float64Array;
}

/**
 * Turns reports into a load per range. A range without a usable report counts with the density of
 * its server's other ranges, or with the median density of the servers when its server reports
 * little or reports zero while the others are loaded. Without any load the width counts.
 */
export function buildLoadModel(input: PlacementInput): LoadModel {
  const servers = [...input.sessions].sort((a, b) => a.sessionId - b.sessionId);
  const indexById = new Map(servers.map(({sessionId}, index) => [sessionId, index]));
  const {ranges} = input;
  const widths = new Float64Array(ranges.length);
  const serverOfRange = new Int32Array(ranges.length);
  for (let at = 0; at < ranges.length; at++) {
    const {startPosition, ownerSessionId, nextSessionId} = ranges[at]!;
    widths[at] = (ranges[at + 1]?.startPosition ?? POSITION_END) - startPosition;
    serverOfRange[at] = indexById.get(nextSessionId || ownerSessionId) ?? -1;
  }
  const hotKeysOfRange = locateHotKeys(ranges, input.hotKeys);
  const restRps = reportedRest(input, hotKeysOfRange);
  const hasHotKeys = new Uint8Array(servers.length);
  for (const at of hotKeysOfRange.keys()) hasHotKeys[serverOfRange[at]!] = 1;
  fillMissing(restRps, widths, serverOfRange, hasHotKeys);
  const model: LoadModel = {
    servers,
    serverOfRange,
    restRps,
    widths,
    hotKeysOfRange,
    serverRps: new Float64Array(servers.length),
  };
  for (let at = 0; at < ranges.length; at++) {
    const server = serverOfRange[at]!;
    if (server >= 0) model.serverRps[server]! += rangeRps(model, at);
  }
  return model;
}

/** Load of a range with its hot keys. */
export function rangeRps(model: LoadModel, rangeIndex: number): number {
  let loadRps = model.restRps[rangeIndex]!;
  for (const key of model.hotKeysOfRange.get(rangeIndex) ?? []) loadRps += key.rateRps;
  return loadRps;
}

/** Cuts a range at its keys of at least `minKeyRps`; smaller keys are spread over the rest. */
export function piecesOf(
  model: LoadModel,
  ranges: readonly Range[],
  rangeIndex: number,
  minKeyRps: number,
): Piece[] {
  const fromPosition = ranges[rangeIndex]!.startPosition;
  const width = model.widths[rangeIndex]!;
  const toPosition = fromPosition + width;
  const loadRps = rangeRps(model, rangeIndex);
  const whole = {fromPosition, toPosition, loadRps, rangeIndex};
  if (width === 1) return [whole];
  const keys = (model.hotKeysOfRange.get(rangeIndex) ?? []).filter(
    ({rateRps}) => rateRps >= minKeyRps && rateRps > 0,
  );
  if (keys.length === 0) return [whole];
  const keysRps = keys.reduce((sum, {rateRps}) => sum + rateRps, 0);
  const density = Math.max(0, loadRps - keysRps) / Math.max(1, width - keys.length);
  const pieces: Piece[] = [];
  let at = fromPosition;
  const addRest = (end: number): void => {
    if (end <= at) return;
    pieces.push({
      fromPosition: at,
      toPosition: end,
      loadRps: (end - at) * density,
      rangeIndex,
    });
  };
  for (const {position, rateRps} of keys) {
    addRest(position);
    pieces.push({
      fromPosition: position,
      toPosition: position + 1,
      loadRps: rateRps,
      rangeIndex,
    });
    at = position + 1;
  }
  addRest(toPosition);
  return pieces;
}

function locateHotKeys(
  ranges: readonly Range[],
  hotKeys: readonly HotKey[],
): Map<number, HotKey[]> {
  const located = new Map<number, HotKey[]>();
  const sorted = hotKeys
    .filter(({position, rateRps}) => isUsable(rateRps) && isPosition(position))
    .sort((a, b) => a.position - b.position);
  let previous = -1;
  for (const key of sorted) {
    const at = rangeIndexAt(ranges, key.position);
    if (at < 0) continue;
    const keys = located.get(at) ?? [];
    if (key.position === previous) {
      const last = keys.pop()!;
      keys.push(last.rateRps >= key.rateRps ? last : key);
    } else {
      keys.push(key);
    }
    previous = key.position;
    located.set(at, keys);
  }
  return located;
}

/** Reported load minus hot keys; NaN where no usable report exists. */
function reportedRest(
  input: PlacementInput,
  hotKeysOfRange: ReadonlyMap<number, readonly HotKey[]>,
): Float64Array {
  const restRps = new Float64Array(input.ranges.length);
  for (let at = 0; at < restRps.length; at++) {
    const reported = input.rangeLoads.get(input.ranges[at]!.startPosition);
    restRps[at] = isUsable(reported) ? reported : Number.NaN;
  }
  for (const [at, hotKeys] of hotKeysOfRange) {
    for (const {rateRps} of hotKeys) restRps[at] = Math.max(0, restRps[at]! - rateRps);
  }
  return restRps;
}

function fillMissing(
  restRps: Float64Array,
  widths: Float64Array,
  serverOfRange: Int32Array,
  hasHotKeys: Uint8Array,
): void {
  const serverCount = hasHotKeys.length;
  const knownRps = new Float64Array(serverCount);
  const knownWidth = new Float64Array(serverCount);
  const ownedWidth = new Float64Array(serverCount);
  for (let at = 0; at < restRps.length; at++) {
    const server = serverOfRange[at]!;
    if (server < 0) continue;
    ownedWidth[server]! += widths[at]!;
    if (Number.isNaN(restRps[at]!)) continue;
    knownRps[server]! += restRps[at]!;
    knownWidth[server]! += widths[at]!;
  }
  const median = medianDensity(knownRps, knownWidth);
  const anyLoad = knownRps.some((rps) => rps > 0);
  // Zero for all positions is more often a fault of the target than the truth.
  const lies = Array.from(knownRps, (rps, server) => rps === 0 && !hasHotKeys[server]);
  // A server that reports most of its positions is the best estimate for its other ones.
  const density = Array.from(knownRps, (rps, server) =>
    !lies[server] && knownWidth[server]! > ownedWidth[server]! / 2
      ? rps / knownWidth[server]!
      : median,
  );
  for (let at = 0; at < restRps.length; at++) {
    const server = serverOfRange[at]!;
    if (!anyLoad) restRps[at] = widths[at]! / POSITION_END;
    else if (server < 0) restRps[at] = 0;
    else if (lies[server] || Number.isNaN(restRps[at]!))
      restRps[at] = widths[at]! * density[server]!;
  }
}

function medianDensity(knownRps: Float64Array, knownWidth: Float64Array): number {
  const densities: number[] = [];
  for (const [server, width] of knownWidth.entries()) {
    // Servers that own only isolated keys say nothing about the density of other positions.
    if (width > 1024) densities.push(knownRps[server]! / width);
  }
  densities.sort((a, b) => a - b);
  return densities[densities.length >> 1] ?? 0;
}

function isUsable(rateRps: number | undefined): rateRps is number {
  return rateRps !== undefined && Number.isFinite(rateRps) && rateRps >= 0;
}

function isPosition(position: number): boolean {
  return Number.isSafeInteger(position) && position >= 0 && position < POSITION_END;
}
