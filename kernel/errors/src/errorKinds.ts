/** Whether a failed request ran: `no` guarantees that it did not, `unknown` guarantees nothing. */
export type ExecutionStatus = 'no' | 'unknown';

/** Public properties of an error kind. */
export interface ErrorKind {
  /** HTTP status of the response to a caller or operator. */
  readonly status: number;
  readonly ran: ExecutionStatus;
  /** Exit code of the command-line tool. */
  readonly exitCode: number;
  readonly title: string;
  /** What the caller or operator can do next. */
  readonly nextStep: string;
}

/** All error kinds by code. `docs/operations/errors.md` is generated from this table. */
export const ERROR_KINDS = {
  // Settings and documents.
  SETTINGS_INVALID: defineKind(400, 'no', 2, 'Settings are invalid', 'Correct the named flags.'),
  DOCUMENT_INVALID: defineKind(422, 'no', 2, 'Document is invalid', 'Correct the named fields.'),
  REQUEST_INVALID: defineKind(400, 'no', 2, 'Request is invalid', 'Correct the named fields.'),

  // Operators.
  REVISION_CONFLICT: defineKind(
    409,
    'no',
    3,
    'Another change came first',
    'Fetch the current document, merge, apply again.',
  ),
  CHANGE_ID_REUSED: defineKind(
    409,
    'no',
    3,
    'Change id belongs to another change',
    'Use a new change id for a new change.',
  ),
  TEAM_UNKNOWN: defineKind(
    404,
    'no',
    4,
    'Team is not claimed',
    'Claim the team with its key first.',
  ),
  TEAM_TAKEN: defineKind(
    409,
    'no',
    3,
    'Team is claimed by another key',
    'Choose another team name.',
  ),
  SIGNATURE_INVALID: defineKind(
    403,
    'no',
    5,
    'Signature does not match the key of the team',
    "Sign with the team's private key.",
  ),
  SERVICE_UNKNOWN: defineKind(404, 'no', 4, 'Service has no document', 'Apply a document first.'),
  REVISION_UNKNOWN: defineKind(
    404,
    'no',
    4,
    'Revision is not kept',
    'List the kept revisions with medlarlane history.',
  ),
  MEMBER_UNKNOWN: defineKind(
    404,
    'no',
    4,
    'Replica is not a member',
    'List the members with medlarlane members list.',
  ),
  TOKEN_INVALID: defineKind(
    401,
    'no',
    5,
    'Operator token is missing or wrong',
    'Pass the token of the daemon with --token-file.',
  ),
  NOT_IN_FORCE: defineKind(
    504,
    'unknown',
    7,
    'Change is committed but not confirmed by every daemon',
    'Look at the named daemons; the change needs no resend.',
  ),
  ENDPOINT_UNREACHABLE: defineKind(
    503,
    'no',
    6,
    'No admin endpoint is reachable',
    'Name the admin address of a running daemon with --endpoint.',
  ),
  INSTANCE_UNKNOWN: defineKind(
    404,
    'no',
    4,
    'Instance is unknown',
    'List the targets of the service.',
  ),

  // Control replicas.
  NOT_LEADER: defineKind(
    503,
    'no',
    6,
    'This replica is not the leader',
    'Retry at the named leader.',
  ),
  NO_LEADER: defineKind(
    503,
    'no',
    6,
    'No control leader is reachable',
    'Retry after the election.',
  ),
  COMMIT_UNKNOWN: defineKind(
    504,
    'unknown',
    7,
    'The change may or may not be committed',
    'Resend with the same change id.',
  ),
  MEMBER_CHANGE_PENDING: defineKind(
    409,
    'no',
    3,
    'Another member change is in progress',
    'Retry when it has finished.',
  ),
  REPLICA_BEHIND: defineKind(409, 'no', 3, 'Learner has not caught up', 'Retry when it has.'),
  LOG_CORRUPT: defineKind(
    500,
    'unknown',
    8,
    'Data folder is damaged',
    'Replace this replica; never edit the files.',
  ),
  LOG_LOCKED: defineKind(500, 'no', 8, 'Data folder is in use', 'Stop the other process first.'),
  LOG_FORMAT: defineKind(
    500,
    'no',
    8,
    'Data folder has an unknown format',
    'Use a matching version.',
  ),
  LOG_WRITE_FAILED: defineKind(
    503,
    'unknown',
    8,
    'Log cannot be written',
    'Free or replace the disk, then restart the replica.',
  ),
  SESSION_ENDED: defineKind(409, 'no', 6, 'Session has ended', 'Register again.'),

  // Callers.
  NOT_OWNER: defineKind(421, 'no', 6, 'Another daemon owns the key', 'Send to the named owner.'),
  NO_OWNER: defineKind(503, 'no', 6, 'No server owns the key now', 'Retry shortly.'),
  NO_TARGET: defineKind(503, 'no', 6, 'No target can serve the request', 'Retry shortly.'),
  LEASE_EXPIRED: defineKind(503, 'no', 6, 'Lease of the owner has expired', 'Retry shortly.'),
  STALE_CONFIGURATION: defineKind(
    503,
    'no',
    6,
    'Configuration of this daemon may be out of date',
    'Send to another daemon.',
  ),
  KEY_MISSING: defineKind(
    400,
    'no',
    2,
    'Request names no key',
    'Send the key as the document says.',
  ),
  IDEMPOTENCY_KEY_REQUIRED: defineKind(
    400,
    'no',
    2,
    'Request needs an Idempotency-Key',
    'Send a UUIDv7 in the Idempotency-Key header.',
  ),
  IDEMPOTENCY_KEY_REUSED: defineKind(
    422,
    'no',
    3,
    'Idempotency-Key belongs to another request',
    'Use a new key for a new request.',
  ),
  OUTCOME_UNKNOWN: defineKind(
    409,
    'unknown',
    7,
    'An earlier attempt may have run',
    'Check the outcome before a new request.',
  ),
  REQUEST_TOO_LARGE: defineKind(
    413,
    'no',
    2,
    'Request body is too large',
    'Send less than the configured limit.',
  ),
  OVERLOADED: defineKind(503, 'no', 6, 'Target has no room', 'Retry after the Retry-After header.'),
  DRAINING: defineKind(503, 'no', 6, 'Target is leaving', 'Retry shortly.'),
  DEADLINE_EXCEEDED: defineKind(504, 'no', 7, 'Deadline passed before the request ran', 'Retry.'),
  TARGET_TIMEOUT: defineKind(
    504,
    'unknown',
    7,
    'Target did not answer in time',
    'Resend with the same Idempotency-Key.',
  ),
  TARGET_FAILED: defineKind(
    502,
    'unknown',
    7,
    'Connection to the target failed',
    'Resend with the same Idempotency-Key.',
  ),
  PEER_FAILED: defineKind(
    502,
    'unknown',
    7,
    'Connection to the owning daemon failed',
    'Resend with the same Idempotency-Key.',
  ),
  POISON_REQUEST: defineKind(
    422,
    'no',
    3,
    'Request crashed several targets',
    'Change the request; see medlarlane status.',
  ),
  CANCELLED: defineKind(499, 'unknown', 7, 'Caller cancelled the request', 'None.'),
  INTERNAL: defineKind(500, 'unknown', 1, 'Internal error', 'Report it with the logs.'),
} as const satisfies Record<string, ErrorKind>;

/** A stable upper-case error code. */
export type ErrorCode = keyof typeof ERROR_KINDS;

/** Whether `code` is a code of `ERROR_KINDS`. */
export function isErrorCode(code: string): code is ErrorCode {
  return Object.hasOwn(ERROR_KINDS, code);
}

function defineKind(
  status: number,
  ran: ExecutionStatus,
  exitCode: number,
  title: string,
  nextStep: string,
): ErrorKind {
  return {status, ran, exitCode, title, nextStep};
}
