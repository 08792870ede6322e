import {POSITION_END, type Move} from '@medlarlane/model';
import {LeastLoadedHeap} from './leastLoadedHeap.js';
import {PLACEMENT_LIMITS, type PlacementLimits} from './limits.js';
import {
  buildLoadModel,
  splitAtHotKeys,
  rangeRps,
  type LoadModel,
  type RangeSegment,
} from './loadModel.js';
import type {PlacementInput} from './placementInput.js';
import {computeFairLoad} from './computeFairLoad.js';

export interface PlanMovesOptions {
  /** Overrides individual thresholds of `PLACEMENT_LIMITS`. */
  readonly limits?: Partial<PlacementLimits>;
}

/**
 * Plans the moves of one service. Moves are sorted by position and do not overlap, and each lies
 * within one range that is not already being moved. Pure and deterministic.
 *
 * Moves away from draining sessions are not limited by the churn budget, but are charged to it.
 */
export function planMoves(input: PlacementInput, opts: PlanMovesOptions = {}): Move[] {
  const limits = {...PLACEMENT_LIMITS[input.weighsMost], ...opts.limits};
  const model = buildLoadModel(input);
  const eligible = [...model.servers.keys()].filter((i) => !model.servers[i]!.draining);
  if (eligible.length === 0) return [];
  const plan = new MovePlanner(input, model, eligible, limits);
  plan.evacuateDrainingServers();
  plan.balance();
  plan.consolidateColdRanges();
  return plan.moves();
}

/** Maximum number of parts into which a segment of a draining server is split; more would only multiply the ranges. */
const MAX_DRAIN_PARTS = 20;

interface PlannedMove extends Move {
  readonly rangeIndex: number;
}

class MovePlanner {
  private readonly plannedMoves: PlannedMove[] = [];
  /** Ranges that are not being moved, by server. */
  private readonly rangesOfServer: number[][];
  private readonly loads: Float64Array;
  /** Loads including `coldStartPenalty` of cold servers, by which destinations are compared. */
  private readonly effectiveLoads: Float64Array;
  /** Total load of the hot keys of each server. */
  private readonly hotKeyLoads: Float64Array;
  private readonly fairLoad: number;
  private readonly desiredLoads: Float64Array;
  private readonly meanHotKeyLoad: number;
  private readonly meanDensity: number;
  private readonly minHotKeyRps: number;
  private readonly leastLoaded: LeastLoadedHeap;
  private readonly leastHotKeyLoaded: LeastLoadedHeap;
  /** Segments that remain in a range after its planned moves, by range index. */
  private readonly segmentCache = new Map<number, RangeSegment[]>();
  private remainingMoveFraction: number;

  constructor(
    private readonly input: PlacementInput,
    private readonly model: LoadModel,
    private readonly eligible: readonly number[],
    private readonly limits: PlacementLimits,
  ) {
    this.loads = Float64Array.from(model.serverRps);
    this.rangesOfServer = model.servers.map(() => []);
    for (let i = 0; i < input.ranges.length; i++) {
      const server = model.serverOfRange[i]!;
      if (server >= 0 && input.ranges[i]!.nextSessionId === 0) {
        this.rangesOfServer[server]!.push(i);
      }
    }
    const {fairLoad, desiredLoads} = computeFairLoad(model, eligible);
    this.fairLoad = fairLoad;
    this.desiredLoads = desiredLoads;
    this.minHotKeyRps = limits.hotKeyLoadFraction * fairLoad;
    this.hotKeyLoads = sumHotKeyLoads(model, this.minHotKeyRps);
    this.meanHotKeyLoad = sum(this.hotKeyLoads) / eligible.length;
    this.meanDensity = Math.max(0, sum(this.loads) - sum(this.hotKeyLoads)) / POSITION_END;
    this.effectiveLoads = Float64Array.from(this.loads, (load, server) => {
      const isCold = model.servers[server]!.coldSinceMs !== undefined;
      return isCold ? load + limits.coldStartPenalty * fairLoad : load;
    });
    this.leastLoaded = new LeastLoadedHeap(eligible, this.effectiveLoads);
    this.leastHotKeyLoaded = new LeastLoadedHeap(eligible, this.hotKeyLoads);
    const elapsedMs = Math.min(Math.max(0, input.elapsedMs), limits.maxBudgetPeriodMs);
    this.remainingMoveFraction = (limits.maxMovedFractionPerMinute * elapsedMs) / 60_000;
  }

  /** Returns the planned moves, with adjacent moves of the same range and destination merged. */
  moves(): Move[] {
    const sorted = this.plannedMoves.sort((a, b) => a.fromPosition - b.fromPosition);
    const merged: PlannedMove[] = [];
    for (const move of sorted) {
      const last = merged.at(-1);
      if (
        last?.toPosition === move.fromPosition &&
        last.rangeIndex === move.rangeIndex &&
        last.toSessionId === move.toSessionId
      ) {
        last.toPosition = move.toPosition;
      } else {
        merged.push(move);
      }
    }
    return merged.map(({rangeIndex: _, ...move}) => move);
  }

  /** Moves all ranges of the draining servers, the most loaded first. */
  evacuateDrainingServers(): void {
    const drainingRanges = [...this.model.servers.keys()]
      .filter((server) => this.model.servers[server]!.draining)
      .flatMap((server) => this.rangesOfServer[server]!.map((rangeIndex) => ({server, rangeIndex})))
      .sort(
        (a, b) =>
          rangeRps(this.model, b.rangeIndex) - rangeRps(this.model, a.rangeIndex) ||
          a.rangeIndex - b.rangeIndex,
      );
    for (const {server, rangeIndex} of drainingRanges) this.evacuateRange(server, rangeIndex);
  }

  /** Moves a range to the least loaded server. A range too large for it is split at its hot keys, and further if needed. */
  private evacuateRange(server: number, rangeIndex: number): void {
    const loadRps = rangeRps(this.model, rangeIndex);
    const minSpareLoad = this.fairLoad / MAX_DRAIN_PARTS;
    const spareLoadOf = (to: number): number =>
      Math.max(this.fairLoad - this.loads[to]!, minSpareLoad);
    const fits = loadRps <= spareLoadOf(this.leastLoaded.peek());
    for (let segment of this.splitRange(rangeIndex, fits ? Infinity : this.minHotKeyRps)) {
      for (let parts = 1; ; parts++) {
        const to = this.chooseDestination(server);
        const isLastPart = fits || parts === MAX_DRAIN_PARTS;
        const [part, remainder] = isLastPart ? [segment] : splitSegment(segment, spareLoadOf(to));
        this.addMove(part, server, to);
        if (!remainder) break;
        segment = remainder;
      }
    }
  }

  /** Moves load away from overloaded servers and to underloaded servers. */
  balance(): void {
    const overloaded = this.overloadedServers();
    for (const server of overloaded) this.moveDominantKey(server);
    // The hottest keys of all servers first, while the most spare capacity is left.
    const keys = overloaded.flatMap((server) =>
      this.hotKeySegments(server).map((segment) => ({segment, server})),
    );
    keys.sort((a, b) => b.segment.loadRps - a.segment.loadRps || a.server - b.server);
    for (const {segment, server} of keys) this.moveKey(segment, server);
    this.moveKeysToUnderloaded();
    for (const server of this.overloadedServers()) this.moveBaseLoad(server);
    // An underloaded server, such as a new one, receives load from the most loaded servers even when none is overloaded.
    const underloaded = this.underloadedServers();
    if (underloaded.size === 0) return;
    for (const server of this.serversAbove(0)) this.moveBaseLoad(server, underloaded);
  }

  private moveKeysToUnderloaded(): void {
    const underloaded = this.underloadedServers();
    if (underloaded.size === 0) return;
    for (const server of this.serversAbove(0)) {
      for (const segment of this.hotKeySegments(server))
        this.moveKeyToUnderloaded(segment, server, underloaded);
    }
  }

  private underloadedServers(): Set<number> {
    const limit = this.fairLoad * (1 - this.limits.underloadMargin);
    return new Set(this.eligible.filter((server) => this.loads[server]! < limit));
  }

  /**
   * Moves narrow ranges with little load, such as those of former hot keys, to the owner of an adjacent
   * range, so that the two can be merged. Does so only when the service has more ranges than intended.
   */
  consolidateColdRanges(): void {
    const {ranges} = this.input;
    const {rangesPerServer, rangesPerService, maxConsolidations} = this.limits;
    const maxRanges = rangesPerServer * this.eligible.length + rangesPerService;
    let remainingConsolidations = Math.min(maxConsolidations, ranges.length - maxRanges);
    if (remainingConsolidations <= 0) return;
    const plannedRanges = new Set(this.plannedMoves.map(({rangeIndex}) => rangeIndex));
    const maxWidth = POSITION_END / (4 * maxRanges);
    // Consolidation does not balance load, so it must not raise the highest load; the margin covers rounding.
    const highestLoad = this.loads.reduce((a, b) => Math.max(a, b), 0);
    const maxDestinationLoad =
      Math.min(this.fairLoad + this.tolerance(), highestLoad) + 5e-10 * this.fairLoad;
    for (let i = 0; i < ranges.length && remainingConsolidations > 0; i++) {
      if (this.model.widths[i]! > maxWidth) continue;
      if ([i - 1, i, i + 1].some((index) => plannedRanges.has(index))) continue;
      if (this.consolidateRange(i, maxDestinationLoad)) {
        plannedRanges.add(i);
        remainingConsolidations--;
      }
    }
  }

  private consolidateRange(rangeIndex: number, maxDestinationLoad: number): boolean {
    const {model, input} = this;
    const server = model.serverOfRange[rangeIndex]!;
    const to = this.serverOfWiderNeighbour(rangeIndex);
    const loadRps = rangeRps(model, rangeIndex);
    // Half of the load at which a key is moved on its own, so that it does not move back and forth.
    if (server < 0 || to < 0 || loadRps > this.minHotKeyRps / 2) return false;
    if (input.ranges[rangeIndex]!.nextSessionId !== 0) return false;
    const fraction = model.widths[rangeIndex]! / POSITION_END;
    if (fraction > this.remainingMoveFraction) return false;
    if (this.loads[to]! + loadRps > maxDestinationLoad) return false;
    for (const segment of this.splitRange(rangeIndex, Infinity)) this.addMove(segment, server, to);
    return true;
  }

  /** Server of the wider adjacent range, or -1 when the range needs no move or has no possible destination. */
  private serverOfWiderNeighbour(rangeIndex: number): number {
    const {serverOfRange, servers, widths} = this.model;
    const server = serverOfRange[rangeIndex];
    const neighbours = [rangeIndex - 1, rangeIndex + 1].filter(
      (i) => i >= 0 && i < widths.length && this.input.ranges[i]!.nextSessionId === 0,
    );
    if (neighbours.some((i) => serverOfRange[i] === server)) return -1;
    const candidates = neighbours
      .filter((i) => serverOfRange[i]! >= 0 && !servers[serverOfRange[i]!]!.draining)
      .sort((a, b) => widths[b]! - widths[a]! || a - b);
    return candidates.length === 0 ? -1 : serverOfRange[candidates[0]!]!;
  }

  private overloadedServers(): number[] {
    return this.serversAbove(this.limits.overloadMargin);
  }

  private serversAbove(margin: number): number[] {
    return this.eligible
      .filter((server) => this.loads[server]! > this.desiredLoads[server]! * (1 + margin))
      .sort((a, b) => this.excess(b) - this.excess(a) || a - b);
  }

  /**
   * Moves a key hotter than the fair load when another server has less load than the server has without
   * the key. This moves a single position, where otherwise all other positions of the server would move.
   */
  private moveDominantKey(server: number): void {
    const segment = this.hotKeySegments(server)[0];
    if (!segment || segment.loadRps <= this.fairLoad || this.isFull()) return;
    const to = this.leastLoaded.peek();
    const otherLoad = this.loads[server]! - segment.loadRps;
    if (to === server || this.loads[to]! + this.tolerance() >= otherLoad) return;
    this.addMove(segment, server, to);
    this.desiredLoads[to] = Math.max(this.desiredLoads[to]!, segment.loadRps);
    this.desiredLoads[server] = Math.max(
      this.fairLoad,
      this.hotKeySegments(server)[0]?.loadRps ?? 0,
    );
  }

  /**
   * Moves a hot key to the least loaded server if that has spare capacity for it. Otherwise the key goes
   * to the server with the least load of hot keys, provided that this lowers the higher load of the two
   * or that the destination can move other positions away within the churn budget.
   */
  private moveKey(segment: RangeSegment, server: number): void {
    const {loadRps} = segment;
    if (this.isFull() || loadRps > this.excess(server) + this.tolerance()) return;
    const to = this.chooseDestination(server);
    if (to !== server && this.loads[to]! + loadRps <= this.fairLoad + this.tolerance()) {
      return this.addMove(segment, server, to);
    }
    const destination = this.leastHotKeyLoaded.peek();
    const desiredLoad = Math.max(this.desiredLoads[destination]!, loadRps);
    if (
      destination === server ||
      this.hotKeyLoads[destination]! + loadRps > desiredLoad + this.tolerance()
    )
      return;
    const destinationLoad = this.loads[destination]! + loadRps;
    const overflow = Math.max(0, destinationLoad - desiredLoad);
    const budgetedLoad = this.remainingMoveFraction * POSITION_END * this.meanDensity;
    if (destinationLoad >= this.loads[server]! - this.tolerance() && overflow > budgetedLoad)
      return;
    this.addMove(segment, server, destination);
    this.desiredLoads[destination] = desiredLoad;
  }

  private moveKeyToUnderloaded(
    segment: RangeSegment,
    server: number,
    underloaded: Set<number>,
  ): void {
    const {loadRps} = segment;
    // The source stays above the load at which it would itself receive load.
    const reserve = (this.limits.underloadMargin / 2) * this.fairLoad;
    if (this.isFull() || loadRps > this.excess(server) + reserve) return;
    const to = this.chooseDestination(server);
    if (!underloaded.has(to) || this.loads[to]! + loadRps > this.fairLoad - this.tolerance())
      return;
    // Hot keys change quickly, and a server with mostly hot keys would then be idle.
    if (this.hotKeyLoads[to]! + loadRps > this.meanHotKeyLoad) return;
    this.addMove(segment, server, to);
  }

  /** Moves segments without hot keys, the densest ranges first, to any server or only to `allowedDestinations`. */
  private moveBaseLoad(server: number, allowedDestinations?: ReadonlySet<number>): void {
    const {baseRps, widths} = this.model;
    const ranges = this.rangesOfServer[server]!.filter((i) => widths[i]! > 1);
    ranges.sort((a, b) => baseRps[b]! / widths[b]! - baseRps[a]! / widths[a]! || a - b);
    for (const i of ranges) {
      const segments = this.segmentsOf(i);
      for (let index = 0; index < segments.length; index++) {
        if (this.excess(server) <= this.tolerance() || this.isFull()) return;
        const segment = segments[index]!;
        if (isSinglePosition(segment)) continue;
        const remainder = this.moveSegment(segment, server, allowedDestinations);
        if (remainder) segments[index] = remainder;
        else segments.splice(index--, 1);
      }
    }
  }

  /** Moves parts of a segment while its load density justifies the churn. Returns the remainder. */
  private moveSegment(
    start: RangeSegment,
    server: number,
    allowedDestinations?: ReadonlySet<number>,
  ): RangeSegment | undefined {
    let segment = start;
    while (!this.isFull() && this.excess(server) > this.tolerance() / 2) {
      const width = segment.toPosition - segment.fromPosition;
      if (segment.loadRps / width < this.limits.minDensityRatio * this.meanDensity) return segment;
      const to = this.chooseDestination(server);
      if (to === server || allowedDestinations?.has(to) === false) return segment;
      const maxLoad = allowedDestinations ? this.fairLoad - this.tolerance() : this.fairLoad;
      const spareLoad = maxLoad - this.loads[to]!;
      const budgetedLoad = (segment.loadRps * this.remainingMoveFraction * POSITION_END) / width;
      const loadRps = Math.min(this.excess(server), spareLoad, budgetedLoad);
      if (loadRps <= 0 || spareLoad <= this.tolerance() / 4) return segment;
      const [part, remainder] = splitSegment(segment, loadRps);
      if (part.toPosition - part.fromPosition > this.remainingMoveFraction * POSITION_END)
        return segment;
      this.addMove(part, server, to);
      if (!remainder) return undefined;
      segment = remainder;
    }
    return segment;
  }

  /** Segments of the hot keys of a server, the hottest first. */
  private hotKeySegments(server: number): RangeSegment[] {
    const {hotKeysOfRange, widths} = this.model;
    return this.rangesOfServer[server]!.filter((i) => widths[i] === 1 || hotKeysOfRange.has(i))
      .flatMap((i) => this.segmentsOf(i))
      .filter((segment) => isSinglePosition(segment) && segment.loadRps >= this.minHotKeyRps)
      .sort((a, b) => b.loadRps - a.loadRps || a.fromPosition - b.fromPosition);
  }

  /** Remaining segments of a range, split at its hot keys. */
  private segmentsOf(rangeIndex: number): RangeSegment[] {
    let segments = this.segmentCache.get(rangeIndex);
    if (!segments) {
      segments = this.splitRange(rangeIndex, this.minHotKeyRps);
      this.segmentCache.set(rangeIndex, segments);
    }
    return segments;
  }

  private splitRange(rangeIndex: number, minKeyRps: number): RangeSegment[] {
    return splitAtHotKeys(this.model, this.input.ranges, rangeIndex, minKeyRps);
  }

  /** The least loaded server; a nearly equal one in the same availability zone is preferred. */
  private chooseDestination(fromServer: number): number {
    const candidates = this.leastLoaded.peekThree();
    const least = candidates[0]!;
    const limit = this.effectiveLoads[least]! + this.tolerance() / 4;
    const zone = this.model.servers[fromServer]!.availabilityZone;
    const sameZone = candidates.find(
      (server) =>
        this.effectiveLoads[server]! <= limit &&
        this.model.servers[server]!.availabilityZone === zone,
    );
    return sameZone ?? least;
  }

  private addMove(segment: RangeSegment, fromServer: number, toServer: number): void {
    const {fromPosition, toPosition, loadRps, rangeIndex} = segment;
    this.plannedMoves.push({
      fromPosition,
      toPosition,
      fromSessionId: this.model.servers[fromServer]!.sessionId,
      toSessionId: this.model.servers[toServer]!.sessionId,
      rangeIndex,
    });
    const segments = this.segmentCache.get(rangeIndex);
    if (segments && isSinglePosition(segment)) segments.splice(segments.indexOf(segment), 1);
    this.remainingMoveFraction -= (toPosition - fromPosition) / POSITION_END;
    this.addLoad(fromServer, segment, -loadRps);
    this.addLoad(toServer, segment, loadRps);
  }

  private addLoad(server: number, segment: RangeSegment, loadRps: number): void {
    this.loads[server]! += loadRps;
    this.effectiveLoads[server]! += loadRps;
    this.leastLoaded.reorder(server);
    if (!isSinglePosition(segment) || segment.loadRps < this.minHotKeyRps) return;
    this.hotKeyLoads[server]! += loadRps;
    this.leastHotKeyLoaded.reorder(server);
  }

  private excess(server: number): number {
    return this.loads[server]! - this.desiredLoads[server]!;
  }

  private tolerance(): number {
    return this.limits.settledMargin * this.fairLoad;
  }

  private isFull(): boolean {
    return this.plannedMoves.length >= this.limits.maxMoves;
  }
}

function sumHotKeyLoads(model: LoadModel, minKeyRps: number): Float64Array {
  const {hotKeysOfRange, serverOfRange, servers, widths} = model;
  const loads = new Float64Array(servers.length);
  const add = (rangeIndex: number, loadRps: number): void => {
    const server = serverOfRange[rangeIndex]!;
    if (server >= 0 && loadRps >= minKeyRps) loads[server]! += loadRps;
  };
  for (let i = 0; i < widths.length; i++) if (widths[i] === 1) add(i, rangeRps(model, i));
  for (const [i, hotKeys] of hotKeysOfRange) {
    if (widths[i] !== 1) for (const {rateRps} of hotKeys) add(i, rateRps);
  }
  return loads;
}

/** Splits a segment so that the first part has about `loadRps`. A single position is not split. */
function splitSegment(segment: RangeSegment, loadRps: number): [RangeSegment, RangeSegment?] {
  const width = segment.toPosition - segment.fromPosition;
  if (segment.loadRps <= loadRps || width === 1) return [segment];
  const cutWidth = Math.max(1, Math.floor((width * loadRps) / segment.loadRps));
  if (cutWidth >= width) return [segment];
  const middle = segment.fromPosition + cutWidth;
  const fraction = cutWidth / width;
  return [
    {...segment, toPosition: middle, loadRps: segment.loadRps * fraction},
    {...segment, fromPosition: middle, loadRps: segment.loadRps * (1 - fraction)},
  ];
}

function isSinglePosition(segment: RangeSegment): boolean {
  return segment.toPosition - segment.fromPosition === 1;
}

function sum(values: Float64Array): number {
  return values.reduce((total, value) => total + value, 0);
}
