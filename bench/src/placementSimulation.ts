import {POSITION_END, type Move, type Range} from '@medlarlane/model';
import {assignUnownedRanges, mergeRanges, planMoves, type HotKey} from '@medlarlane/placement';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {ZipfSampler} from './zipf.js';

export interface PlacementSimulationOptions {
  readonly servers: number;
  readonly weighsMost: 'churn' | 'unavailable-time';
  readonly seed: number;
}

/** Result of one simulated planning round. */
export interface RoundResult {
  /** Ratio of the highest server load to the mean. */
  readonly maxOverMean: number;
  /**
   * Highest ratio of a server's load to its fair load. The fair load is the level, that is the mean
   * load per server without the keys that exceed it, or the load of such a key on its own server.
   */
  readonly maxOverLevel: number;
  readonly movedFraction: number;
  readonly moveCount: number;
  readonly rangeCount: number;
}

interface SimulatedSession {
  readonly sessionId: number;
  draining: boolean;
  readonly availabilityZone: string;
}

export const ROUND_MS = 5_000;
export const HOT_KEYS = 230;
const KEYS = 50_000;
const ZIPF_EXPONENT = 1.1;
/** 13,500 requests/s per daemon, as in the design, during one round. */
const REQUESTS_PER_SERVER = 67_500;
const RANGES_PER_SERVER = 16;
const RANGES_PER_SERVICE = 128;
const REPORTED_KEYS_PER_SERVER = 64;

/**
 * Simulates planning rounds of `planMoves` with random request counts. The moves of a round finish
 * before the next round.
 */
export class PlacementSimulation {
  sessions: SimulatedSession[] = [];
  ranges: Range[] = [];
  private readonly random: RandomGenerator;
  private readonly sampler = new ZipfSampler(KEYS, ZIPF_EXPONENT);
  /** Positions of the keys in ascending order. */
  private readonly positions: Float64Array;
  private readonly keyOfRank: Int32Array;
  private nextSessionId = 1;
  private epoch = 1;
  private readonly requests: number;

  constructor(private readonly opts: PlacementSimulationOptions) {
    this.random = xoroshiro128plus(opts.seed);
    this.requests = opts.servers * REQUESTS_PER_SERVER;
    this.positions = Float64Array.from({length: KEYS}, () =>
      Math.floor(uniformFloat64(this.random) * POSITION_END),
    ).sort();
    this.keyOfRank = Int32Array.from({length: KEYS}, (_, rank) => rank);
    for (let rank = 0; rank < KEYS; rank++) this.swapRanks(rank, this.randomRank());
    for (let server = 0; server < opts.servers; server++) this.addServer();
    this.assignInitialRanges();
  }

  /** Adds a server without ranges and returns its session. */
  addServer(): SimulatedSession {
    const sessionId = this.nextSessionId++;
    const session = {sessionId, draining: false, availabilityZone: `zone-${sessionId % 3}`};
    this.sessions.push(session);
    return session;
  }

  /** Swaps the popularity of the hottest keys with that of random keys. */
  changeHotKeys(): void {
    for (let rank = 0; rank < HOT_KEYS; rank++) this.swapRanks(rank, this.randomRank());
  }

  /** Samples the number of requests per key during one round. */
  sampleRequestCounts(): Float64Array {
    const byRank = this.sampler.sampleCounts(this.random, this.requests);
    const counts = new Float64Array(KEYS);
    for (let rank = 0; rank < KEYS; rank++) counts[this.keyOfRank[rank]!] = byRank[rank]!;
    return counts;
  }

  /** Samples requests, plans and applies moves. The reported imbalance is that before the moves. */
  runRound(): RoundResult {
    const counts = this.sampleRequestCounts();
    const rangeLoads = new Map<number, number>();
    const serverLoads = new Map(this.sessions.map(({sessionId}) => [sessionId, 0]));
    const keysOfServer = new Map<number, HotKey[]>();
    let key = 0;
    for (const [index, {startPosition, ownerSessionId}] of this.ranges.entries()) {
      const end = this.ranges[index + 1]?.startPosition ?? POSITION_END;
      let rateRps = 0;
      for (; key < KEYS && this.positions[key]! < end; key++) {
        rateRps += counts[key]!;
        // Keys with fewer requests are not among the hottest keys of a server.
        if (counts[key]! < REQUESTS_PER_SERVER / 1_000) continue;
        const keys = keysOfServer.get(ownerSessionId) ?? [];
        keys.push({position: this.positions[key]!, rateRps: counts[key]!});
        keysOfServer.set(ownerSessionId, keys);
      }
      rangeLoads.set(startPosition, rateRps);
      serverLoads.set(ownerSessionId, serverLoads.get(ownerSessionId)! + rateRps);
    }
    const hotKeys = [...keysOfServer.values()].flatMap((keys) =>
      keys.sort((a, b) => b.rateRps - a.rateRps).slice(0, REPORTED_KEYS_PER_SERVER),
    );
    const hottest = new Map(
      [...keysOfServer].map(([sessionId, keys]) => [
        sessionId,
        Math.max(...keys.map(({rateRps}) => rateRps)),
      ]),
    );
    const {ranges, sessions} = this;
    const {weighsMost} = this.opts;
    const moves = planMoves({
      ranges,
      sessions,
      rangeLoads,
      hotKeys,
      elapsedMs: ROUND_MS,
      weighsMost,
    });
    for (const move of moves) this.apply(move);
    this.ranges = mergeRanges(this.ranges, {
      maxRanges: RANGES_PER_SERVER * sessions.length + RANGES_PER_SERVICE,
    });
    const owners = new Set(this.ranges.map(({ownerSessionId}) => ownerSessionId));
    this.sessions = sessions.filter(({draining, sessionId}) => !draining || owners.has(sessionId));
    const max = Math.max(...serverLoads.values());
    const total = counts.reduce((sum, load) => sum + load, 0);
    return {
      maxOverMean: (max * sessions.length) / total,
      maxOverLevel: maxOverLevel(serverLoads, hottest, total),
      movedFraction: moves.reduce((sum, move) => sum + widthOf(move), 0) / POSITION_END,
      moveCount: moves.length,
      rangeCount: this.ranges.length,
    };
  }

  runRounds(count: number): RoundResult[] {
    return Array.from({length: count}, () => this.runRound());
  }

  /** Returns the fraction of the positions that a session owns. */
  ownedFraction(sessionId: number): number {
    let owned = 0;
    for (const [index, range] of this.ranges.entries()) {
      if (range.ownerSessionId !== sessionId) continue;
      owned += (this.ranges[index + 1]?.startPosition ?? POSITION_END) - range.startPosition;
    }
    return owned / POSITION_END;
  }

  /** Returns the load imbalance of consistent hashing with virtual nodes, without planned moves. */
  hashingImbalance(virtualNodes: number): number {
    const counts = this.sampleRequestCounts();
    const nodes = this.sessions
      .flatMap(({sessionId}) =>
        Array.from({length: virtualNodes}, () => ({
          position: Math.floor(uniformFloat64(this.random) * POSITION_END),
          sessionId,
        })),
      )
      .sort((a, b) => a.position - b.position);
    const loads = new Map<number, number>();
    let node = 0;
    for (let key = 0; key < KEYS; key++) {
      while (node < nodes.length && nodes[node]!.position < this.positions[key]!) node++;
      const {sessionId} = nodes[node % nodes.length]!;
      loads.set(sessionId, (loads.get(sessionId) ?? 0) + counts[key]!);
    }
    return (Math.max(...loads.values()) * this.sessions.length) / counts.reduce((a, b) => a + b, 0);
  }

  private assignInitialRanges(): void {
    const count = this.sessions.length * RANGES_PER_SERVER;
    const ranges = Array.from({length: count}, (_, index) => ({
      startPosition: Math.floor(POSITION_END / count) * index,
      ownerSessionId: 0,
      nextSessionId: 0,
      epoch: 1,
    }));
    const owners = assignUnownedRanges(ranges, [...ranges.keys()], this.sessions);
    this.ranges = ranges.map((range, index) => ({...range, ownerSessionId: owners[index]!}));
  }

  private apply({fromPosition, toPosition, fromSessionId, toSessionId}: Move): void {
    const index = this.ranges.findLastIndex(({startPosition}) => startPosition <= fromPosition);
    const range = this.ranges[index]!;
    const end = this.ranges[index + 1]?.startPosition ?? POSITION_END;
    if (range.ownerSessionId !== fromSessionId || toPosition > end) {
      throw new Error('Planned move does not match the current ranges');
    }
    const splitRanges: Range[] = [];
    if (range.startPosition < fromPosition) splitRanges.push(range);
    splitRanges.push({
      startPosition: fromPosition,
      ownerSessionId: toSessionId,
      nextSessionId: 0,
      epoch: ++this.epoch,
    });
    if (toPosition < end) splitRanges.push({...range, startPosition: toPosition});
    this.ranges.splice(index, 1, ...splitRanges);
  }

  private randomRank(): number {
    return uniformInt(this.random, 0, KEYS - 1);
  }

  private swapRanks(a: number, b: number): void {
    const key = this.keyOfRank[a]!;
    this.keyOfRank[a] = this.keyOfRank[b]!;
    this.keyOfRank[b] = key;
  }
}

function maxOverLevel(
  serverLoads: ReadonlyMap<number, number>,
  hottestKeys: ReadonlyMap<number, number>,
  total: number,
): number {
  const servers = serverLoads.size;
  let level = total / servers;
  let excludedLoad = 0;
  let excludedServers = 0;
  for (const load of [...hottestKeys.values()].sort((a, b) => b - a)) {
    if (load <= level || excludedServers + 1 >= servers) break;
    excludedLoad += load;
    excludedServers++;
    level = (total - excludedLoad) / (servers - excludedServers);
  }
  const ratios = [...serverLoads].map(
    ([sessionId, load]) => load / Math.max(level, hottestKeys.get(sessionId) ?? 0),
  );
  return Math.max(...ratios);
}

function widthOf({fromPosition, toPosition}: Move): number {
  return toPosition - fromPosition;
}
