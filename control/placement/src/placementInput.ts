import type {Range} from '@medlarlane/model';

export interface PlacementSession {
  readonly sessionId: number;
  readonly draining: boolean;
  readonly availabilityZone: string;
  /** Monotonic time since which the target is warming up; absent once it is warm. */
  readonly coldSinceMs?: number;
}

/** Position and load of one of the hottest keys. */
export interface HotKey {
  readonly position: number;
  readonly rateRps: number;
}

export interface PlacementInput {
  /** All ranges of the service, sorted by start position. */
  readonly ranges: readonly Range[];
  /** All live sessions of the service. */
  readonly sessions: readonly PlacementSession[];
  /** Requests per second by start position of the range. May be incomplete or stale. */
  readonly rangeLoads: ReadonlyMap<number, number>;
  readonly hotKeys: readonly HotKey[];
  /** Time since the previous plan for the service; the churn budget grows with it. */
  readonly elapsedMs: number;
  readonly weighsMost: 'churn' | 'unavailable-time';
}
