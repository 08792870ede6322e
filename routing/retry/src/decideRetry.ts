import type {ErrorCode, ExecutionStatus} from '@medlarlane/errors';

export interface FailedAttempt {
  /** Whether the request can safely run more than once. */
  readonly idempotent: boolean;
  /** Whether the failed attempt may have been executed. */
  readonly ran: ExecutionStatus;
  /** Number of the attempt, starting from 1. */
  readonly attempt: number;
  readonly code: ErrorCode;
  /** Time remaining until the caller's deadline. */
  readonly remainingMs: number;
}

/** Where a retry can succeed: at the current owner, or only at an instance that was not tried yet. */
export type RetryDestination = 'owner' | 'other-instance';

export type RetryDecision =
  | {readonly retry: false; readonly reason: RetryDenialReason}
  | {readonly retry: true; readonly destination: RetryDestination; readonly delayMs: number};

export type RetryDenialReason = 'error-kind' | 'attempts' | 'may-have-run' | 'deadline';

interface RetryRule {
  readonly destination: RetryDestination;
  /** Delay before the retry, so that an ownership change in progress can complete. */
  readonly delayMs: number;
}

const MAX_ATTEMPTS = 2;
// A retry with less time left only adds load, because the round trip of one hop takes up to 16 ms.
const MIN_REMAINING_MS = 20;

const RETRY_IMMEDIATELY: RetryRule = {destination: 'owner', delayMs: 0};
const RETRY_AFTER_CHANGE: RetryRule = {destination: 'owner', delayMs: 100};
const RETRY_ELSEWHERE: RetryRule = {destination: 'other-instance', delayMs: 0};
const NEVER = undefined;

/** Retry rule of each error code; `undefined` means that the request is not retried. */
const RETRY_RULES: Readonly<Record<ErrorCode, RetryRule | undefined>> = {
  NOT_OWNER: RETRY_IMMEDIATELY,
  NO_OWNER: RETRY_AFTER_CHANGE,
  NO_TARGET: RETRY_AFTER_CHANGE,
  LEASE_EXPIRED: RETRY_AFTER_CHANGE,
  SESSION_ENDED: RETRY_AFTER_CHANGE,
  DRAINING: RETRY_AFTER_CHANGE,
  STALE_CONFIGURATION: RETRY_ELSEWHERE,
  OVERLOADED: RETRY_ELSEWHERE,
  TARGET_FAILED: RETRY_IMMEDIATELY,
  TARGET_TIMEOUT: RETRY_IMMEDIATELY,
  PEER_FAILED: RETRY_IMMEDIATELY,

  REVISION_UNKNOWN: NEVER,
  MEMBER_UNKNOWN: NEVER,
  TOKEN_INVALID: NEVER,
  NOT_IN_FORCE: NEVER,
  ENDPOINT_UNREACHABLE: NEVER,
  SETTINGS_INVALID: NEVER,
  DOCUMENT_INVALID: NEVER,
  REQUEST_INVALID: NEVER,
  REQUEST_TOO_LARGE: NEVER,
  REVISION_CONFLICT: NEVER,
  CHANGE_ID_REUSED: NEVER,
  TEAM_UNKNOWN: NEVER,
  TEAM_TAKEN: NEVER,
  SIGNATURE_INVALID: NEVER,
  SERVICE_UNKNOWN: NEVER,
  INSTANCE_UNKNOWN: NEVER,
  NOT_LEADER: NEVER,
  NO_LEADER: NEVER,
  COMMIT_UNKNOWN: NEVER,
  MEMBER_CHANGE_PENDING: NEVER,
  REPLICA_BEHIND: NEVER,
  LOG_CORRUPT: NEVER,
  LOG_LOCKED: NEVER,
  LOG_FORMAT: NEVER,
  LOG_WRITE_FAILED: NEVER,
  KEY_MISSING: NEVER,
  IDEMPOTENCY_KEY_REQUIRED: NEVER,
  IDEMPOTENCY_KEY_REUSED: NEVER,
  OUTCOME_UNKNOWN: NEVER,
  DEADLINE_EXCEEDED: NEVER,
  POISON_REQUEST: NEVER,
  CANCELLED: NEVER,
  INTERNAL: NEVER,
};

/** Decides whether the entry daemon may retry a failed request. The caller checks the retry budget. */
export function decideRetry(failedAttempt: FailedAttempt): RetryDecision {
  const rule = RETRY_RULES[failedAttempt.code];
  if (!rule) return {retry: false, reason: 'error-kind'};
  if (failedAttempt.attempt >= MAX_ATTEMPTS) return {retry: false, reason: 'attempts'};
  if (failedAttempt.ran !== 'no' && !failedAttempt.idempotent)
    return {retry: false, reason: 'may-have-run'};
  if (failedAttempt.remainingMs < rule.delayMs + MIN_REMAINING_MS) {
    return {retry: false, reason: 'deadline'};
  }
  return {retry: true, ...rule};
}
