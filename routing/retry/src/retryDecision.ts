import type {ErrorCode, ExecutionStatus} from '@medlarlane/errors';

export interface FailedAttempt {
  /** Whether the request may run more than once. */
  readonly idempotent: boolean;
  /** What the failure says about the attempt. */
  readonly ran: ExecutionStatus;
  /** 1 for the first attempt of the caller's request. */
  readonly attempt: number;
  readonly code: ErrorCode;
  /** Time left until the caller's deadline. */
  readonly remainingMs: number;
}

/** Where a retry can succeed: at the present owner, or only at an instance other than the one tried. */
export type RetryDestination = 'owner' | 'other-instance';

export type RetryDecision =
  | {readonly retry: false; readonly reason: RetryDenialReason}
  | {readonly retry: true; readonly destination: RetryDestination; readonly delayMs: number};

export type RetryDenialReason = 'error-kind' | 'attempts' | 'may-have-run' | 'deadline';

interface RetryRule {
  readonly destination: RetryDestination;
  /** Wait before the retry, so that an ownership change in progress can arrive. */
  readonly delayMs: number;
}

const MAX_ATTEMPTS = 2;
// A retry with less time than this only adds load; one hop there and back takes up to 16 ms.
const MIN_REMAINING_MS = 20;

const AT_ONCE: RetryRule = {destination: 'owner', delayMs: 0};
const AFTER_CHANGE: RetryRule = {destination: 'owner', delayMs: 100};
const ELSEWHERE: RetryRule = {destination: 'other-instance', delayMs: 0};
const NEVER = undefined;

/** The rule of each error kind. */
const RETRY_RULES: Readonly<Record<ErrorCode, RetryRule | undefined>> = {
  NOT_OWNER: AT_ONCE,
  NO_OWNER: AFTER_CHANGE,
  NO_TARGET: AFTER_CHANGE,
  LEASE_EXPIRED: AFTER_CHANGE,
  SESSION_ENDED: AFTER_CHANGE,
  DRAINING: AFTER_CHANGE,
  STALE_CONFIGURATION: ELSEWHERE,
  OVERLOADED: ELSEWHERE,
  TARGET_FAILED: AT_ONCE,
  TARGET_TIMEOUT: AT_ONCE,
  PEER_FAILED: AT_ONCE,

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

/** Decides whether the entry daemon may send a failed request again. The budget is asked separately. */
export function decideRetry(failed: FailedAttempt): RetryDecision {
  const rule = RETRY_RULES[failed.code];
  if (!rule) return {retry: false, reason: 'error-kind'};
  if (failed.attempt >= MAX_ATTEMPTS) return {retry: false, reason: 'attempts'};
  if (failed.ran !== 'no' && !failed.idempotent) return {retry: false, reason: 'may-have-run'};
  if (failed.remainingMs < rule.delayMs + MIN_REMAINING_MS) {
    return {retry: false, reason: 'deadline'};
  }
  return {retry: true, ...rule};
}
