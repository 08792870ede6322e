import {rangeIndexAt} from '@medlarlane/key-space';
import {POSITION_END, type Range} from '@medlarlane/model';
import type {HotKey, PlacementInput, PlacementSession} from './placementInput.js';

/** A segment of a range: the position of one hot key, or the positions between hot keys. */
export interface RangeSegment {
  readonly fromPosition: number;
  readonly toPosition: number;
  readonly loadRps: number;
  readonly rangeIndex: number;
}

/** Loads of a service as the planner sees them. Servers are sessions ordered by id and referred to by index. */
export interface LoadModel {
  readonly servers: readonly PlacementSession[];
  /** Destination server of each range, or -1 when no known session owns it. */
  readonly serverOfRange: Int32Array;
  /** Load of each range, excluding its hot keys. */
  readonly baseRps: Float64Array;
  readonly widths: Float64Array;
  /** Hot keys of each range that has some, by position. */
  readonly hotKeysOfRange: ReadonlyMap<number, readonly HotKey[]>;
  /** Load of each server; ranges that are being moved count for their destination. */
  readonly serverRps: Float64Array;
}

/**
 * Builds the load model from reports. The load of a range without a valid report is estimated from the
 * load density of its server's other ranges, or from the median density of all servers when its server
 * reports little, or reports zero while others are loaded. Without any load the width counts as load.
 */
export function buildLoadModel(input: PlacementInput): LoadModel {
  const servers = [...input.sessions].sort((a, b) => a.sessionId - b.sessionId);
  const indexById = new Map(servers.map(({sessionId}, index) => [sessionId, index]));
  const {ranges} = input;
  const widths = new Float64Array(ranges.length);
  const serverOfRange = new Int32Array(ranges.length);
  for (let i = 0; i < ranges.length; i++) {
    const {startPosition, ownerSessionId, nextSessionId} = ranges[i]!;
    widths[i] = (ranges[i + 1]?.startPosition ?? POSITION_END) - startPosition;
    serverOfRange[i] = indexById.get(nextSessionId || ownerSessionId) ?? -1;
  }
  const hotKeysOfRange = locateHotKeys(ranges, input.hotKeys);
  const baseRps = reportedBaseLoad(input, hotKeysOfRange);
  const hasHotKeys = new Uint8Array(servers.length);
  for (const i of hotKeysOfRange.keys()) hasHotKeys[serverOfRange[i]!] = 1;
  estimateMissingLoads(baseRps, widths, serverOfRange, hasHotKeys);
  const model: LoadModel = {
    servers,
    serverOfRange,
    baseRps,
    widths,
    hotKeysOfRange,
    serverRps: new Float64Array(servers.length),
  };
  for (let i = 0; i < ranges.length; i++) {
    const server = serverOfRange[i]!;
    if (server >= 0) model.serverRps[server]! += rangeRps(model, i);
  }
  return model;
}

/** Load of a range, including its hot keys. */
export function rangeRps(model: LoadModel, rangeIndex: number): number {
  let loadRps = model.baseRps[rangeIndex]!;
  for (const key of model.hotKeysOfRange.get(rangeIndex) ?? []) loadRps += key.rateRps;
  return loadRps;
}

/** Splits a range at its hot keys of at least `minKeyRps`; the load of other keys is spread over the remaining segments. */
export function splitAtHotKeys(
  model: LoadModel,
  ranges: readonly Range[],
  rangeIndex: number,
  minKeyRps: number,
): RangeSegment[] {
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
  const segments: RangeSegment[] = [];
  let segmentStart = fromPosition;
  const addSegmentUntil = (end: number): void => {
    if (end <= segmentStart) return;
    segments.push({
      fromPosition: segmentStart,
      toPosition: end,
      loadRps: (end - segmentStart) * density,
      rangeIndex,
    });
  };
  for (const {position, rateRps} of keys) {
    addSegmentUntil(position);
    segments.push({
      fromPosition: position,
      toPosition: position + 1,
      loadRps: rateRps,
      rangeIndex,
    });
    segmentStart = position + 1;
  }
  addSegmentUntil(toPosition);
  return segments;
}

function locateHotKeys(
  ranges: readonly Range[],
  hotKeys: readonly HotKey[],
): Map<number, HotKey[]> {
  const hotKeysOfRange = new Map<number, HotKey[]>();
  const sorted = hotKeys
    .filter(({position, rateRps}) => isValidRate(rateRps) && isValidPosition(position))
    .sort((a, b) => a.position - b.position);
  let previous = -1;
  for (const key of sorted) {
    const i = rangeIndexAt(ranges, key.position);
    if (i < 0) continue;
    const keys = hotKeysOfRange.get(i) ?? [];
    if (key.position === previous) {
      const last = keys.pop()!;
      keys.push(last.rateRps >= key.rateRps ? last : key);
    } else {
      keys.push(key);
    }
    previous = key.position;
    hotKeysOfRange.set(i, keys);
  }
  return hotKeysOfRange;
}

/** Reported load minus hot keys; NaN where there is no valid report. */
function reportedBaseLoad(
  input: PlacementInput,
  hotKeysOfRange: ReadonlyMap<number, readonly HotKey[]>,
): Float64Array {
  const baseRps = new Float64Array(input.ranges.length);
  for (let i = 0; i < baseRps.length; i++) {
    const reported = input.rangeLoads.get(input.ranges[i]!.startPosition);
    baseRps[i] = isValidRate(reported) ? reported : Number.NaN;
  }
  for (const [i, hotKeys] of hotKeysOfRange) {
    for (const {rateRps} of hotKeys) baseRps[i] = Math.max(0, baseRps[i]! - rateRps);
  }
  return baseRps;
}

function estimateMissingLoads(
  baseRps: Float64Array,
  widths: Float64Array,
  serverOfRange: Int32Array,
  hasHotKeys: Uint8Array,
): void {
  const serverCount = hasHotKeys.length;
  const knownRps = new Float64Array(serverCount);
  const knownWidth = new Float64Array(serverCount);
  const ownedWidth = new Float64Array(serverCount);
  for (let i = 0; i < baseRps.length; i++) {
    const server = serverOfRange[i]!;
    if (server < 0) continue;
    ownedWidth[server]! += widths[i]!;
    if (Number.isNaN(baseRps[i]!)) continue;
    knownRps[server]! += baseRps[i]!;
    knownWidth[server]! += widths[i]!;
  }
  const median = medianDensity(knownRps, knownWidth);
  const anyLoad = knownRps.some((rps) => rps > 0);
  // A load of zero for all positions is more often a fault of the target than correct.
  const isImplausible = Array.from(knownRps, (rps, server) => rps === 0 && !hasHotKeys[server]);
  // When a server reports most of its positions, their density is the best estimate for its other positions.
  const density = Array.from(knownRps, (rps, server) =>
    !isImplausible[server] && knownWidth[server]! > ownedWidth[server]! / 2
      ? rps / knownWidth[server]!
      : median,
  );
  for (let i = 0; i < baseRps.length; i++) {
    const server = serverOfRange[i]!;
    if (!anyLoad) baseRps[i] = widths[i]! / POSITION_END;
    else if (server < 0) baseRps[i] = 0;
    else if (isImplausible[server] || Number.isNaN(baseRps[i]!))
      baseRps[i] = widths[i]! * density[server]!;
  }
}

function medianDensity(knownRps: Float64Array, knownWidth: Float64Array): number {
  const densities: number[] = [];
  for (const [server, width] of knownWidth.entries()) {
    // Servers that own only isolated hot keys are not representative of the density of other positions.
    if (width > 1024) densities.push(knownRps[server]! / width);
  }
  densities.sort((a, b) => a - b);
  return densities[densities.length >> 1] ?? 0;
}

function isValidRate(rateRps: number | undefined): rateRps is number {
  return rateRps !== undefined && Number.isFinite(rateRps) && rateRps >= 0;
}

function isValidPosition(position: number): boolean {
  return Number.isSafeInteger(position) && position >= 0 && position < POSITION_END;
}
