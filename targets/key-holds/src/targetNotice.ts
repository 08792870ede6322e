/** What a cold target tolerates. */
export interface ColdBound {
  /** Time for which a target is assumed to be cold after its start if it does not state any. */
  readonly durationMs: number;
  /** Rate at which requests are sent. */
  readonly rps: number;
  /** Requests that may arrive in any one second. */
  readonly maxPerSecond: number;
}

/** What a target states about itself in a response. */
export interface TargetNotice {
  /** Requests per second that the target accepts in total; `undefined` if it names no limit. */
  readonly rateLimitRps: number | undefined;
  /** Whether the target is about to leave. */
  readonly isLeaving: boolean;
  /** Absent if the target does not state its load. */
  readonly load?: StatedLoad;
}

/** The load that a target states in a response. */
export interface StatedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Factor by which work currently takes longer than usual; absent if the target does not state it. */
  readonly slowdown?: number;
}
