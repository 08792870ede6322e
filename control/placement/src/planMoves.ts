import {POSITION_END, type Move} from '@medlarlane/model';
import {LeastLoaded} from './leastLoaded.js';
import {PLACEMENT_LIMITS, type PlacementLimits} from './limits.js';
import {buildLoadModel, piecesOf, rangeRps, type LoadModel, type Piece} from './loadModel.js';
import type {PlacementInput} from './placementInput.js';
import {waterLevel} from './waterLevel.js';

export interface PlanMovesOptions {
  /** Replaces single thresholds of `PLACEMENT_LIMITS`. */
  readonly limits?: Partial<PlacementLimits>;
}

/**
 * Plans the moves of one service. Moves are sorted by position, do not overlap, and each lies
 * within one range that is not being moved already. Pure and deterministic.
 *
 * Moves away from draining sessions are not limited by the churn budget, but use it up.
 */
export function planMoves(input: PlacementInput, opts: PlanMovesOptions = {}): Move[] {
  const limits = {...PLACEMENT_LIMITS[input.weighsMost], ...opts.limits};
  const model = buildLoadModel(input);
  const eligible = [...model.servers.keys()].filter((at) => !model.servers[at]!.draining);
  if (eligible.length === 0) return [];
  const plan = new Plan(input, model, eligible, limits);
  plan.evacuate();
  plan.balance();
  plan.returnColdRanges();
  return plan.moves();
}

/** Parts into which a range of a draining server is cut at most; smaller ones would only multiply the ranges. */
const MAX_PARTS = 20;

interface PlannedMove extends Move {
  readonly rangeIndex: number;
}

class Plan {
  private readonly planned: PlannedMove[] = [];
  /** Ranges that are not being moved, by server. */
  private readonly rangesOfServer: number[][];
  private readonly loads: Float64Array;
  /** Loads with the additional share of cold servers; destinations are chosen by these. */
  private readonly rankedLoads: Float64Array;
  /** Load of the hot keys of each server. */
  private readonly keyLoads: Float64Array;
  private readonly level: number;
  private readonly capacity: Float64Array;
  private readonly meanKeyLoad: number;
  private readonly meanDensity: number;
  private readonly minKeyRps: number;
  private readonly leastLoaded: LeastLoaded;
  private readonly leastKeyLoaded: LeastLoaded;
  /** Positions that a range still has, when part of it has been planned to move. */
  private readonly pieceCache = new Map<number, Piece[]>();
  private shareLeft: number;

  constructor(
    private readonly input: PlacementInput,
    private readonly model: LoadModel,
    private readonly eligible: readonly number[],
    private readonly limits: PlacementLimits,
  ) {
    this.loads = Float64Array.from(model.serverRps);
    this.rangesOfServer = model.servers.map(() => []);
    for (let at = 0; at < input.ranges.length; at++) {
      const server = model.serverOfRange[at]!;
      if (server >= 0 && input.ranges[at]!.nextSessionId === 0) {
        this.rangesOfServer[server]!.push(at);
      }
    }
    const {level, capacity} = waterLevel(model, eligible);
    this.level = level;
    this.capacity = capacity;
    this.minKeyRps = limits.hotKeyShare * level;
    this.keyLoads = hotKeyLoads(model, this.minKeyRps);
    this.meanKeyLoad = sum(this.keyLoads) / eligible.length;
    this.meanDensity = Math.max(0, sum(this.loads) - sum(this.keyLoads)) / POSITION_END;
    this.rankedLoads = Float64Array.from(this.loads, (load, server) => {
      const cold = model.servers[server]!.coldSinceMs !== undefined;
      return cold ? load + limits.coldShare * level : load;
    });
    this.leastLoaded = new LeastLoaded(eligible, this.rankedLoads);
    this.leastKeyLoaded = new LeastLoaded(eligible, this.keyLoads);
    const elapsedMs = Math.min(Math.max(0, input.elapsedMs), limits.maxElapsedMs);
    this.shareLeft = (limits.moveSharePerMinute * elapsedMs) / 60_000;
  }

  /** The planned moves; neighbouring ones of the same range and destination become one. */
  moves(): Move[] {
    const sorted = this.planned.sort((a, b) => a.fromPosition - b.fromPosition);
    const joined: PlannedMove[] = [];
    for (const move of sorted) {
      const last = joined.at(-1);
      if (
        last?.toPosition === move.fromPosition &&
        last.rangeIndex === move.rangeIndex &&
        last.toSessionId === move.toSessionId
      ) {
        last.toPosition = move.toPosition;
      } else {
        joined.push(move);
      }
    }
    return joined.map(({rangeIndex: _, ...move}) => move);
  }

  /** Moves every range of the draining sessions, the most loaded ranges first. */
  evacuate(): void {
    const leaving = [...this.model.servers.keys()]
      .filter((server) => this.model.servers[server]!.draining)
      .flatMap((server) => this.rangesOfServer[server]!.map((at) => ({server, at})))
      .sort((a, b) => rangeRps(this.model, b.at) - rangeRps(this.model, a.at) || a.at - b.at);
    for (const {server, at} of leaving) this.evacuateRange(server, at);
  }

  /** Moves a range to the least loaded server; one that fits nowhere is cut at its hot keys and further. */
  private evacuateRange(server: number, rangeIndex: number): void {
    const loadRps = rangeRps(this.model, rangeIndex);
    const minRoom = this.level / MAX_PARTS;
    const roomOf = (to: number): number => Math.max(this.level - this.loads[to]!, minRoom);
    const fits = loadRps <= roomOf(this.leastLoaded.peek());
    for (let piece of this.cut(rangeIndex, fits ? Infinity : this.minKeyRps)) {
      for (let parts = 1; ; parts++) {
        const to = this.destination(server);
        const whole = fits || parts === MAX_PARTS;
        const [part, rest] = whole ? [piece] : splitPiece(piece, roomOf(to));
        this.add(part, server, to);
        if (!rest) break;
        piece = rest;
      }
    }
  }

  /** Moves load from servers over their limit, and to servers far below the level. */
  balance(): void {
    const over = this.overLimit();
    for (const server of over) this.movePinnedKey(server);
    // The hottest keys first, whichever server has them, so that they find the largest gaps.
    const keys = over.flatMap((server) => this.hotPieces(server).map((piece) => ({piece, server})));
    keys.sort((a, b) => b.piece.loadRps - a.piece.loadRps || a.server - b.server);
    for (const {piece, server} of keys) this.moveKey(piece, server);
    this.moveKeysToUnderloaded();
    for (const server of this.overLimit()) this.moveRests(server);
    // A server that joined is filled by those that have most, although none is over its limit.
    const under = this.underLimit();
    if (under.size === 0) return;
    for (const server of this.byExcess(0)) this.moveRests(server, under);
  }

  private moveKeysToUnderloaded(): void {
    const under = this.underLimit();
    if (under.size === 0) return;
    for (const server of this.byExcess(0)) {
      for (const piece of this.hotPieces(server)) this.moveKeyToUnderloaded(piece, server, under);
    }
  }

  private underLimit(): Set<number> {
    const limit = this.level * (1 - this.limits.underShare);
    return new Set(this.eligible.filter((server) => this.loads[server]! < limit));
  }

  /**
   * Moves narrow ranges with little load, such as former hot keys, to the owner of a neighbouring
   * range, so that the two can be merged. Only when the service has more ranges than intended.
   */
  returnColdRanges(): void {
    const {ranges} = this.input;
    const {rangesPerServer, rangesPerService, maxReturns} = this.limits;
    const intended = rangesPerServer * this.eligible.length + rangesPerService;
    let returns = Math.min(maxReturns, ranges.length - intended);
    if (returns <= 0) return;
    const touched = new Set(this.planned.map(({rangeIndex}) => rangeIndex));
    const maxWidth = POSITION_END / (4 * intended);
    // A return is tidiness only, so it must not raise the highest load; the margin covers rounding.
    const highest = this.loads.reduce((a, b) => Math.max(a, b), 0);
    const returnLimit = Math.min(this.level + this.slack(), highest) + 5e-10 * this.level;
    for (let at = 0; at < ranges.length && returns > 0; at++) {
      if (this.model.widths[at]! > maxWidth) continue;
      if ([at - 1, at, at + 1].some((index) => touched.has(index))) continue;
      if (this.returnRange(at, returnLimit)) {
        touched.add(at);
        returns--;
      }
    }
  }

  private returnRange(rangeIndex: number, returnLimit: number): boolean {
    const {model, input} = this;
    const server = model.serverOfRange[rangeIndex]!;
    const to = this.widerNeighbour(rangeIndex);
    const loadRps = rangeRps(model, rangeIndex);
    // Half of the load at which a key is moved alone, so that it does not move to and fro.
    if (server < 0 || to < 0 || loadRps > this.minKeyRps / 2) return false;
    if (input.ranges[rangeIndex]!.nextSessionId !== 0) return false;
    const share = model.widths[rangeIndex]! / POSITION_END;
    if (share > this.shareLeft) return false;
    if (this.loads[to]! + loadRps > returnLimit) return false;
    for (const piece of this.cut(rangeIndex, Infinity)) this.add(piece, server, to);
    return true;
  }

  /** Server of the wider neighbouring range, or -1 when the range needs no move or has nowhere to go. */
  private widerNeighbour(rangeIndex: number): number {
    const {serverOfRange, servers, widths} = this.model;
    const server = serverOfRange[rangeIndex];
    const neighbours = [rangeIndex - 1, rangeIndex + 1].filter(
      (at) => at >= 0 && at < widths.length && this.input.ranges[at]!.nextSessionId === 0,
    );
    if (neighbours.some((at) => serverOfRange[at] === server)) return -1;
    const candidates = neighbours
      .filter((at) => serverOfRange[at]! >= 0 && !servers[serverOfRange[at]!]!.draining)
      .sort((a, b) => widths[b]! - widths[a]! || a - b);
    return candidates.length === 0 ? -1 : serverOfRange[candidates[0]!]!;
  }

  private overLimit(): number[] {
    return this.byExcess(this.limits.overShare);
  }

  private byExcess(share: number): number[] {
    return this.eligible
      .filter((server) => this.loads[server]! > this.capacity[server]! * (1 + share))
      .sort((a, b) => this.excess(b) - this.excess(a) || a - b);
  }

  /**
   * A key hotter than the level leaves its server when another one has less load besides. This
   * moves one position, where the server would otherwise have to give away all the others.
   */
  private movePinnedKey(server: number): void {
    const piece = this.hotPieces(server)[0];
    if (!piece || piece.loadRps <= this.level || this.full()) return;
    const to = this.leastLoaded.peek();
    const besides = this.loads[server]! - piece.loadRps;
    if (to === server || this.loads[to]! + this.slack() >= besides) return;
    this.add(piece, server, to);
    this.capacity[to] = Math.max(this.capacity[to]!, piece.loadRps);
    this.capacity[server] = Math.max(this.level, this.hotPieces(server)[0]?.loadRps ?? 0);
  }

  /**
   * Moves a hot key to the least loaded server that has room for it. Without such a server, the
   * key goes to the server with the least load of hot keys when the higher load of the two falls,
   * or when that server can pass on other positions within the budget.
   */
  private moveKey(piece: Piece, server: number): void {
    const {loadRps} = piece;
    if (this.full() || loadRps > this.excess(server) + this.slack()) return;
    const to = this.destination(server);
    if (to !== server && this.loads[to]! + loadRps <= this.level + this.slack()) {
      return this.add(piece, server, to);
    }
    const keyHost = this.leastKeyLoaded.peek();
    const capacity = Math.max(this.capacity[keyHost]!, loadRps);
    if (keyHost === server || this.keyLoads[keyHost]! + loadRps > capacity + this.slack()) return;
    const hostLoad = this.loads[keyHost]! + loadRps;
    const overflow = Math.max(0, hostLoad - capacity);
    const affordable = this.shareLeft * POSITION_END * this.meanDensity;
    if (hostLoad >= this.loads[server]! - this.slack() && overflow > affordable) return;
    this.add(piece, server, keyHost);
    this.capacity[keyHost] = capacity;
  }

  private moveKeyToUnderloaded(piece: Piece, server: number, under: Set<number>): void {
    const {loadRps} = piece;
    // The giving server stays above the limit at which it would itself receive load.
    const reserve = (this.limits.underShare / 2) * this.level;
    if (this.full() || loadRps > this.excess(server) + reserve) return;
    const to = this.destination(server);
    if (!under.has(to) || this.loads[to]! + loadRps > this.level - this.slack()) return;
    // Hot keys change soon; a server that held mostly hot keys would then be idle.
    if (this.keyLoads[to]! + loadRps > this.meanKeyLoad) return;
    this.add(piece, server, to);
  }

  /** Moves positions without hot keys, the densest ranges first, to any server or only to those of `onlyTo`. */
  private moveRests(server: number, onlyTo?: ReadonlySet<number>): void {
    const {restRps, widths} = this.model;
    const ranges = this.rangesOfServer[server]!.filter((at) => widths[at]! > 1);
    ranges.sort((a, b) => restRps[b]! / widths[b]! - restRps[a]! / widths[a]! || a - b);
    for (const at of ranges) {
      const pieces = this.pieces(at);
      for (let index = 0; index < pieces.length; index++) {
        if (this.excess(server) <= this.slack() || this.full()) return;
        const piece = pieces[index]!;
        if (isPoint(piece)) continue;
        const rest = this.moveRest(piece, server, onlyTo);
        if (rest) pieces[index] = rest;
        else pieces.splice(index--, 1);
      }
    }
  }

  /** Moves parts of a piece while that is worth its share of positions; returns what remains. */
  private moveRest(start: Piece, server: number, onlyTo?: ReadonlySet<number>): Piece | undefined {
    let piece = start;
    while (!this.full() && this.excess(server) > this.slack() / 2) {
      const width = piece.toPosition - piece.fromPosition;
      if (piece.loadRps / width < this.limits.minDensity * this.meanDensity) return piece;
      const to = this.destination(server);
      if (to === server || onlyTo?.has(to) === false) return piece;
      const maxLoad = onlyTo ? this.level - this.slack() : this.level;
      const room = maxLoad - this.loads[to]!;
      const affordable = (piece.loadRps * this.shareLeft * POSITION_END) / width;
      const loadRps = Math.min(this.excess(server), room, affordable);
      if (loadRps <= 0 || room <= this.slack() / 4) return piece;
      const [part, rest] = splitPiece(piece, loadRps);
      if (part.toPosition - part.fromPosition > this.shareLeft * POSITION_END) return piece;
      this.add(part, server, to);
      if (!rest) return undefined;
      piece = rest;
    }
    return piece;
  }

  /** Hot keys of a server, the hottest first. */
  private hotPieces(server: number): Piece[] {
    const {hotKeysOfRange, widths} = this.model;
    return this.rangesOfServer[server]!.filter((at) => widths[at] === 1 || hotKeysOfRange.has(at))
      .flatMap((at) => this.pieces(at))
      .filter((piece) => isPoint(piece) && piece.loadRps >= this.minKeyRps)
      .sort((a, b) => b.loadRps - a.loadRps || a.fromPosition - b.fromPosition);
  }

  /** What remains of a range, cut at its hot keys. */
  private pieces(rangeIndex: number): Piece[] {
    let pieces = this.pieceCache.get(rangeIndex);
    if (!pieces) {
      pieces = this.cut(rangeIndex, this.minKeyRps);
      this.pieceCache.set(rangeIndex, pieces);
    }
    return pieces;
  }

  private cut(rangeIndex: number, minKeyRps: number): Piece[] {
    return piecesOf(this.model, this.input.ranges, rangeIndex, minKeyRps);
  }

  /** The least loaded server; among nearly equal ones, one of the same availability zone. */
  private destination(fromServer: number): number {
    const candidates = this.leastLoaded.peekThree();
    const least = candidates[0]!;
    const limit = this.rankedLoads[least]! + this.slack() / 4;
    const zone = this.model.servers[fromServer]!.availabilityZone;
    const near = candidates.find(
      (server) =>
        this.rankedLoads[server]! <= limit && this.model.servers[server]!.availabilityZone === zone,
    );
    return near ?? least;
  }

  private add(piece: Piece, fromServer: number, toServer: number): void {
    const {fromPosition, toPosition, loadRps, rangeIndex} = piece;
    this.planned.push({
      fromPosition,
      toPosition,
      fromSessionId: this.model.servers[fromServer]!.sessionId,
      toSessionId: this.model.servers[toServer]!.sessionId,
      rangeIndex,
    });
    const pieces = this.pieceCache.get(rangeIndex);
    if (pieces && isPoint(piece)) pieces.splice(pieces.indexOf(piece), 1);
    this.shareLeft -= (toPosition - fromPosition) / POSITION_END;
    this.addLoad(fromServer, piece, -loadRps);
    this.addLoad(toServer, piece, loadRps);
  }

  private addLoad(server: number, piece: Piece, loadRps: number): void {
    this.loads[server]! += loadRps;
    this.rankedLoads[server]! += loadRps;
    this.leastLoaded.changed(server);
    if (!isPoint(piece) || piece.loadRps < this.minKeyRps) return;
    this.keyLoads[server]! += loadRps;
    this.leastKeyLoaded.changed(server);
  }

  private excess(server: number): number {
    return this.loads[server]! - this.capacity[server]!;
  }

  private slack(): number {
    return this.limits.settleShare * this.level;
  }

  private full(): boolean {
    return this.planned.length >= this.limits.maxMoves;
  }
}

function hotKeyLoads(model: LoadModel, minKeyRps: number): Float64Array {
  const {hotKeysOfRange, serverOfRange, servers, widths} = model;
  const loads = new Float64Array(servers.length);
  const add = (rangeIndex: number, loadRps: number): void => {
    const server = serverOfRange[rangeIndex]!;
    if (server >= 0 && loadRps >= minKeyRps) loads[server]! += loadRps;
  };
  for (let at = 0; at < widths.length; at++) if (widths[at] === 1) add(at, rangeRps(model, at));
  for (const [at, hotKeys] of hotKeysOfRange) {
    if (widths[at] !== 1) for (const {rateRps} of hotKeys) add(at, rateRps);
  }
  return loads;
}

/** Splits a piece so that the first part has about `loadRps`; single positions stay whole. */
function splitPiece(piece: Piece, loadRps: number): [Piece, Piece?] {
  const width = piece.toPosition - piece.fromPosition;
  if (piece.loadRps <= loadRps || width === 1) return [piece];
  const cutWidth = Math.max(1, Math.floor((width * loadRps) / piece.loadRps));
  if (cutWidth >= width) return [piece];
  const middle = piece.fromPosition + cutWidth;
  const share = cutWidth / width;
  return [
    {...piece, toPosition: middle, loadRps: piece.loadRps * share},
    {...piece, fromPosition: middle, loadRps: piece.loadRps * (1 - share)},
  ];
}

function isPoint(piece: Piece): boolean {
  return piece.toPosition - piece.fromPosition === 1;
}

function sum(values: Float64Array): number {
  return values.reduce((total, value) => total + value, 0);
}
