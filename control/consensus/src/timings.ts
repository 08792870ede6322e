/** Durations and limits of a replica. All replicas of a group use the same ones. */
export interface ReplicaTimings {
  readonly heartbeatIntervalMs: number;
  /** A leader acts only while a majority acknowledged a message sent less than this ago. */
  readonly leaderLeaseMs: number;
  /** A replica refuses votes for this time after contact with a leader and after its start. */
  readonly voteRefusalMs: number;
  /** The election timeout is drawn from this interval. */
  readonly electionTimeoutMinMs: number;
  readonly electionTimeoutMaxMs: number;
  /** Bound of a vote or heartbeat call. */
  readonly callTimeoutMs: number;
  /** Bound of a call that carries entries; the follower syncs them before it answers. */
  readonly appendTimeoutMs: number;
  readonly snapshotTimeoutMs: number;
}

export const DEFAULT_TIMINGS: ReplicaTimings = {
  heartbeatIntervalMs: 80,
  // 50 ms below the vote refusal, which allows clocks to differ in rate by 12%.
  leaderLeaseMs: 350,
  voteRefusalMs: 400,
  electionTimeoutMinMs: 400,
  electionTimeoutMaxMs: 700,
  // An answer that takes longer than the lease no longer counts for it.
  callTimeoutMs: 350,
  appendTimeoutMs: 2_000,
  snapshotTimeoutMs: 30_000,
};

/** Bounds of one append message. */
export const MAX_APPEND_ENTRIES = 1024;
export const MAX_APPEND_BYTES = 1_048_576;
/** Entries by which a replica may trail the commit index and still count as caught up. */
export const CAUGHT_UP_LAG_ENTRIES = 64;
