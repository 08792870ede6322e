/** Thresholds of the planner. Loads are relative to the level, the mean load of the servers that remain after unsplittable keys are set aside. */
export interface PlacementLimits {
  /** A server above `1 + overShare` gives load away. Below 0.15, the stated bound, by a margin for noise. */
  readonly overShare: number;
  /** A server below `1 - underShare` receives load even when no server is above its limit. */
  readonly underShare: number;
  /** A rebalanced server may remain above the level by this share. */
  readonly settleShare: number;
  /** A key of at least this share of the level is moved as a range of its own. */
  readonly hotKeyShare: number;
  /** A move of positions needs at least this load share per position share. */
  readonly minGain: number;
  /** Share of all positions that may be moved per minute for the sake of load. */
  readonly moveSharePerMinute: number;
  /** Longest elapsed time that counts, so that an idle leader does not save up its budget. */
  readonly maxElapsedMs: number;
  /** Moves of one plan; each is a handover between two daemons. */
  readonly maxMoves: number;
  /** Load share that a cold server counts in addition when a destination is chosen. */
  readonly coldShare: number;
}

const SHARED_LIMITS = {
  overShare: 0.1,
  underShare: 0.25,
  settleShare: 0.02,
  hotKeyShare: 0.02,
  maxElapsedMs: 60_000,
  maxMoves: 4096,
};

export const PLACEMENT_LIMITS: Readonly<Record<'churn' | 'unavailable-time', PlacementLimits>> = {
  churn: {...SHARED_LIMITS, minGain: 0.5, moveSharePerMinute: 0.1, coldShare: 0},
  'unavailable-time': {
    ...SHARED_LIMITS,
    minGain: 0.25,
    moveSharePerMinute: 0.5,
    coldShare: 0.1,
  },
};
