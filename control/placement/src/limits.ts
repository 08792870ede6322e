/**
 * Thresholds of the planner. Loads are relative to the level: the mean load of the servers that
 * remain after keys hotter than a server are set aside.
 */
export interface PlacementLimits {
  /** A server above `1 + overShare` gives load away; kept below the stated bound of 0.15 so that it is met in spite of noise. */
  readonly overShare: number;
  /** A server that gives load away ends at `1 + settleShare`. */
  readonly settleShare: number;
  /** A server below `1 - underShare` receives load even when no server is over its limit. */
  readonly underShare: number;
  /** A key of at least this share of the level is moved as a range of its own. */
  readonly hotKeyShare: number;
  /** Least density of moved positions, relative to the mean density without hot keys. */
  readonly minDensity: number;
  /** Share of all positions that may be moved per minute for the sake of load. */
  readonly moveSharePerMinute: number;
  /** Longest elapsed time that counts, so that an idle leader does not save up its budget. */
  readonly maxElapsedMs: number;
  /** Moves of one plan for the sake of load. A plan is one log entry, which every replica applies at once. */
  readonly maxMoves: number;
  /** Ranges per server and in addition for the service, above which ranges of former hot keys are returned to their neighbours. */
  readonly rangesPerServer: number;
  readonly rangesPerService: number;
  /** Such returns per plan. */
  readonly maxReturns: number;
  /** Additional load, relative to the level, that a cold server counts with as a destination. */
  readonly coldShare: number;
}

const SHARED_LIMITS = {
  overShare: 0.1,
  settleShare: 0.03,
  underShare: 0.1,
  hotKeyShare: 0.02,
  maxElapsedMs: 60_000,
  maxMoves: 128,
  rangesPerServer: 16,
  rangesPerService: 128,
  maxReturns: 64,
};

export const PLACEMENT_LIMITS: Readonly<Record<'churn' | 'unavailable-time', PlacementLimits>> = {
  churn: {...SHARED_LIMITS, minDensity: 0.5, moveSharePerMinute: 0.1, coldShare: 0},
  'unavailable-time': {
    ...SHARED_LIMITS,
    minDensity: 0.25,
    moveSharePerMinute: 0.5,
    coldShare: 0.1,
  },
};
