import {POSITION_END, type Move} from '@medlarlane/model';
import {LeastLoaded} from './leastLoaded.js';
import {PLACEMENT_LIMITS, type PlacementLimits} from './limits.js';
import {buildLoadModel, piecesOf, rangeRps, type LoadModel, type Piece} from './loadModel.js';
import type {PlacementInput} from './placementInput.js';

export interface PlanOptions {
  /** Replaces single thresholds of `PLACEMENT_LIMITS`. */
  readonly limits?: Partial<PlacementLimits>;
}

/**
 * Plans the moves of one service. Moves are sorted by position, do not overlap, and each lies
 * within one range that is not being moved already. Pure and deterministic.
 *
 * Moves away from draining sessions are not limited by the churn budget, but use it up.
 */
export function planMoves(input: PlacementInput, opts: PlanOptions = {}): Move[] {
  const limits = {...PLACEMENT_LIMITS[input.weighsMost], ...opts.limits};
  const model = buildLoadModel(input);
  const eligible = [...model.servers.keys()].filter((at) => !model.servers[at]!.draining);
  if (eligible.length === 0) return [];
  const plan = new Plan(input, model, eligible, limits);
  plan.evacuate();
  plan.balance();
  return plan.moves();
}

class Plan {
  private readonly planned: Array<Move & {rangeIndex: number}> = [];
  private readonly rangesOfServer: number[][];
  private readonly loads: Float64Array;
  /** Loads with the additional share of cold servers; destinations are chosen by these. */
  private readonly rankedLoads: Float64Array;
  private readonly level: number;
  private readonly capacity: Float64Array;
  private readonly receivers: LeastLoaded;
  private shareLeft: number;

  constructor(
    private readonly input: PlacementInput,
    private readonly model: LoadModel,
    private readonly eligible: readonly number[],
    private readonly limits: PlacementLimits,
  ) {
    this.loads = Float64Array.from(model.serverRps);
    this.rangesOfServer = model.servers.map(() => []);
    for (const [at, range] of input.ranges.entries()) {
      const server = model.serverOfRange[at]!;
      if (server >= 0 && range.nextSessionId === 0) this.rangesOfServer[server]!.push(at);
    }
    const {level, capacity} = waterLevel(model, eligible);
    this.level = level;
    this.capacity = capacity;
    this.rankedLoads = Float64Array.from(this.loads, (load, server) => {
      const cold = model.servers[server]!.coldSinceMs !== undefined;
      return cold ? load + limits.coldShare * level : load;
    });
    this.receivers = new LeastLoaded(eligible, this.rankedLoads);
    const elapsedMs = Math.min(Math.max(0, input.elapsedMs), limits.maxElapsedMs);
    this.shareLeft = (limits.moveSharePerMinute * elapsedMs) / 60_000;
  }

  moves(): Move[] {
    const sorted = this.planned.sort((a, b) => a.fromPosition - b.fromPosition);
    const joined: Array<Move & {rangeIndex: number}> = [];
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

  private evacuateRange(server: number, rangeIndex: number): void {
    const loadRps = rangeRps(this.model, rangeIndex);
    const fits = loadRps <= Math.max(this.headroom(this.receivers.peek()!), 0.05 * this.level);
    const pieces = piecesOf(
      this.model,
      this.input.ranges,
      rangeIndex,
      fits ? Infinity : this.limits.hotKeyShare * this.level,
    );
    for (let piece of pieces) {
      for (;;) {
        const to = this.destination(server);
        const room = Math.max(this.headroom(to), 0.05 * this.level);
        const [part, rest] = fits ? [piece, undefined] : cutPiece(piece, room);
        this.add(part, server, to);
        if (!rest) break;
        piece = rest;
      }
    }
  }

  /** Moves load from servers above their capacity to the least loaded ones, within the budget. */
  balance(): void {
    const donors = this.donors();
    for (const server of donors) this.relieve(server);
  }

  private donors(): number[] {
    const over = (server: number, share: number): boolean =>
      this.loads[server]! > this.capacity[server]! * (1 + share);
    const anyUnder = this.eligible.some(
      (server) => this.loads[server]! < this.level * (1 - this.limits.underShare),
    );
    // Servers at the level give nothing; a server that joins is filled by those above it.
    const share = anyUnder ? 0 : this.limits.overShare;
    return this.eligible
      .filter((server) => over(server, share))
      .sort((a, b) => this.excess(b) - this.excess(a) || a - b);
  }

  private relieve(server: number): void {
    const minKeyRps = this.limits.hotKeyShare * this.level;
    const pieces = this.rangesOfServer[server]!.flatMap((at) =>
      piecesOf(this.model, this.input.ranges, at, minKeyRps),
    );
    const isPoint = (piece: Piece): boolean => piece.toPosition - piece.fromPosition === 1;
    const points = pieces.filter((piece) => isPoint(piece) && piece.loadRps >= minKeyRps);
    const rests = pieces.filter((piece) => !isPoint(piece));
    points.sort((a, b) => b.loadRps - a.loadRps || a.fromPosition - b.fromPosition);
    rests.sort((a, b) => densityOf(b) - densityOf(a) || a.fromPosition - b.fromPosition);
    for (const piece of points) this.movePoint(piece, server);
    for (const piece of rests) this.moveRest(piece, server);
  }

  private movePoint(piece: Piece, server: number): void {
    if (this.full() || piece.loadRps > this.excess(server) + this.slack()) return;
    const to = this.destination(server);
    if (to === server || piece.loadRps > this.headroom(to) + this.slack()) return;
    this.add(piece, server, to);
  }

  private moveRest(start: Piece, server: number): void {
    const serverShare = 1 / this.eligible.length;
    let piece = start;
    while (!this.full() && this.excess(server) > this.slack()) {
      const shareOfPiece = (piece.toPosition - piece.fromPosition) / POSITION_END;
      const gain = piece.loadRps / this.level / (shareOfPiece / serverShare);
      if (gain < this.limits.minGain || this.shareLeft <= 0) return;
      const to = this.destination(server);
      const room = Math.min(this.excess(server), this.headroom(to));
      if (to === server || room <= this.slack() / 2) return;
      const affordable = piece.loadRps * Math.min(1, this.shareLeft / shareOfPiece);
      const [part, rest] = cutPiece(piece, Math.min(room, affordable));
      if ((part.toPosition - part.fromPosition) / POSITION_END > this.shareLeft) return;
      this.add(part, server, to);
      if (!rest) return;
      piece = rest;
    }
  }

  /** The least loaded server; among nearly equal ones, one of the same availability zone. */
  private destination(fromServer: number): number {
    const candidates = this.receivers.peekThree();
    const least = candidates[0]!;
    const limit = this.rankedLoads[least]! + this.slack() / 2;
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
    this.shareLeft -= (toPosition - fromPosition) / POSITION_END;
    this.loads[fromServer]! -= loadRps;
    this.loads[toServer]! += loadRps;
    this.rankedLoads[toServer]! += loadRps;
    this.receivers.grew(toServer);
  }

  private excess(server: number): number {
    return this.loads[server]! - this.capacity[server]!;
  }

  private headroom(server: number): number {
    return this.level - this.loads[server]!;
  }

  private slack(): number {
    return this.limits.settleShare * this.level;
  }

  private full(): boolean {
    return this.planned.length >= this.limits.maxMoves;
  }
}

/**
 * The load that each server should have. A key hotter than that cannot be split: it fills one
 * server alone, and the other servers share the remaining load.
 */
function waterLevel(
  model: LoadModel,
  eligible: readonly number[],
): {level: number; capacity: Float64Array} {
  const total = model.serverRps.reduce((sum, load) => sum + load, 0);
  const keys: Array<{loadRps: number; server: number}> = [];
  for (const [at, server] of model.serverOfRange.entries()) {
    if (server < 0) continue;
    if (model.widths[at] === 1) keys.push({loadRps: rangeRps(model, at), server});
    else {
      for (const key of model.hotKeysOfRange.get(at) ?? []) {
        keys.push({loadRps: key.rateRps, server});
      }
    }
  }
  keys.sort((a, b) => b.loadRps - a.loadRps || a.server - b.server);
  let level = total / eligible.length;
  const capacity = new Float64Array(model.servers.length);
  let pinnedRps = 0;
  let pinned = 0;
  for (const {loadRps, server} of keys) {
    if (loadRps <= level || pinned + 1 >= eligible.length) break;
    pinned++;
    pinnedRps += loadRps;
    level = (total - pinnedRps) / (eligible.length - pinned);
    capacity[server] ||= loadRps;
  }
  for (const [server, load] of capacity.entries()) capacity[server] = Math.max(load, level);
  return {level, capacity};
}

/** Cuts a piece so that the first part has about `loadRps`; single positions stay whole. */
function cutPiece(piece: Piece, loadRps: number): [Piece, Piece | undefined] {
  const width = piece.toPosition - piece.fromPosition;
  if (piece.loadRps <= loadRps || width === 1) return [piece, undefined];
  const cutWidth = Math.max(1, Math.floor((width * loadRps) / piece.loadRps));
  if (cutWidth >= width) return [piece, undefined];
  const middle = piece.fromPosition + cutWidth;
  const share = cutWidth / width;
  return [
    {...piece, toPosition: middle, loadRps: piece.loadRps * share},
    {...piece, fromPosition: middle, loadRps: piece.loadRps * (1 - share)},
  ];
}

function densityOf(piece: Piece): number {
  return piece.loadRps / (piece.toPosition - piece.fromPosition);
}
