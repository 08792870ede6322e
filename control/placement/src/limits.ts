/**
 * Thresholds of the planner. Loads are relative to the fair load: the mean load of the servers, not
 * counting keys hotter than that mean and one server for each of them.
 */
export interface PlacementLimits {
  /** A server above `1 + overloadMargin` is overloaded; below the documented bound of 0.15, so that the bound is met despite noise. */
  readonly overloadMargin: number;
  /** Tolerance for the loads that a plan aims for: an overloaded server is brought down to `1 + settledMargin`. */
  readonly settledMargin: number;
  /** A server below `1 - underloadMargin` receives load even when no server is overloaded. */
  readonly underloadMargin: number;
  /** A key with at least this fraction of the fair load is moved as a range of its own. */
  readonly hotKeyLoadFraction: number;
  /** Minimum load density of moved positions, relative to the mean density without hot keys. */
  readonly minDensityRatio: number;
  /** Churn budget: fraction of all positions that may be moved per minute to balance load. */
  readonly maxMovedFractionPerMinute: number;
  /** Longest elapsed time for which churn budget accrues, so that an idle leader does not accumulate it. */
  readonly maxBudgetPeriodMs: number;
  /** Maximum number of moves per plan to balance load. A plan is one log entry, which every replica applies at once. */
  readonly maxMoves: number;
  /**
   * Number of ranges per server, plus `rangesPerService` for the service. Above their sum, the ranges of
   * former hot keys are consolidated with their neighbours.
   */
  readonly rangesPerServer: number;
  readonly rangesPerService: number;
  /** Maximum number of consolidations per plan. */
  readonly maxConsolidations: number;
  /** Load relative to the fair load that is added to a server in its cold start when destinations are compared. */
  readonly coldStartPenalty: number;
}

const COMMON_LIMITS = {
  overloadMargin: 0.1,
  settledMargin: 0.03,
  underloadMargin: 0.1,
  hotKeyLoadFraction: 0.02,
  maxBudgetPeriodMs: 60_000,
  maxMoves: 128,
  rangesPerServer: 16,
  rangesPerService: 128,
  maxConsolidations: 64,
};

export const PLACEMENT_LIMITS: Readonly<Record<'churn' | 'unavailable-time', PlacementLimits>> = {
  churn: {
    ...COMMON_LIMITS,
    minDensityRatio: 0.5,
    maxMovedFractionPerMinute: 0.1,
    coldStartPenalty: 0,
  },
  'unavailable-time': {
    ...COMMON_LIMITS,
    minDensityRatio: 0.25,
    maxMovedFractionPerMinute: 0.5,
    coldStartPenalty: 0.1,
  },
};
