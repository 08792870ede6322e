/** Intervals and timeouts of a replica. All replicas of a group must use the same values. */
export interface ReplicaTimings {
  readonly heartbeatIntervalMs: number;
  /**
   * A leader acts only while a majority acknowledged a message that was sent within this duration.
   */
  readonly leaderLeaseMs: number;
  /** A replica refuses votes for this long after contact with a leader and after its own start. */
  readonly voteRefusalMs: number;
  /** The election timeout is chosen at random between the minimum and the maximum. */
  readonly electionTimeoutMinMs: number;
  readonly electionTimeoutMaxMs: number;
  /** Timeout of a vote or heartbeat call. */
  readonly callTimeoutMs: number;
  /** Timeout of a call that carries entries; the follower syncs them before it responds. */
  readonly appendTimeoutMs: number;
  readonly snapshotTimeoutMs: number;
}

export const DEFAULT_TIMINGS: ReplicaTimings = {
  heartbeatIntervalMs: 80,
  // 50 ms below `voteRefusalMs`, which tolerates clock rates that differ by 12%.
  leaderLeaseMs: 350,
  voteRefusalMs: 400,
  electionTimeoutMinMs: 400,
  electionTimeoutMaxMs: 700,
  // A response that takes longer than the lease can no longer extend it.
  callTimeoutMs: 350,
  appendTimeoutMs: 2_000,
  snapshotTimeoutMs: 30_000,
};

/** Limits of one append message. */
export const MAX_APPEND_ENTRIES = 1024;
export const MAX_APPEND_BYTES = 1_048_576;
/** Maximum lag behind the commit index at which a replica still counts as caught up. */
export const CAUGHT_UP_LAG_ENTRIES = 64;
