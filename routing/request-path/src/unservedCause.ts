import type {ErrorCode} from '@medlarlane/errors';

/** Why a caller's request got no successful response; a closed list, for metrics. */
export type UnservedCause =
  | 'caller-left-before-offer'
  | 'caller-left'
  | 'daemon-overloaded'
  | 'no-room'
  | 'no-room-again'
  | 'no-owner'
  | 'no-target'
  | 'daemon-unreachable'
  | 'target-lost'
  | 'timeout'
  | 'run-failed'
  | 'stopping'
  | 'no-configuration'
  | 'invalid'
  | 'other';

export interface UnservedRequest {
  readonly status: number;
  /** Absent if the response is that of a target. */
  readonly code?: ErrorCode | undefined;
  readonly isDisconnected: boolean;
  /** Number of offers made for the request. */
  readonly offers: number;
  /** Whether the request was refused because the daemon had no processor time for it. */
  readonly isDaemonOverloaded: boolean;
  /** Whether the caller has returned after a refusal. */
  readonly isReturning: boolean;
}

const FIRST_CLIENT_ERROR_STATUS = 400;
const FIRST_SERVER_ERROR_STATUS = 500;
const CAUSE_BY_CODE: Partial<Record<ErrorCode, UnservedCause>> = {
  NO_OWNER: 'no-owner',
  NOT_OWNER: 'no-owner',
  NO_TARGET: 'no-target',
  PEER_FAILED: 'daemon-unreachable',
  TARGET_FAILED: 'target-lost',
  TARGET_TIMEOUT: 'timeout',
  DEADLINE_EXCEEDED: 'timeout',
  DRAINING: 'stopping',
  STALE_CONFIGURATION: 'no-configuration',
  SERVICE_UNKNOWN: 'invalid',
  REQUEST_INVALID: 'invalid',
  REQUEST_TOO_LARGE: 'invalid',
};

/** Returns the one cause of a request that was not served; `undefined` if it was served. */
export function unservedCauseOf(request: UnservedRequest): UnservedCause | undefined {
  const {status, code, isDisconnected, offers} = request;
  if (isDisconnected) return offers === 0 ? 'caller-left-before-offer' : 'caller-left';
  if (code === 'OVERLOADED') return overloadCauseOf(request);
  if (code !== undefined) return CAUSE_BY_CODE[code] ?? 'other';
  if (status >= FIRST_SERVER_ERROR_STATUS) return 'run-failed';
  return status >= FIRST_CLIENT_ERROR_STATUS ? 'invalid' : undefined;
}

function overloadCauseOf({isDaemonOverloaded, isReturning}: UnservedRequest): UnservedCause {
  if (isDaemonOverloaded) return 'daemon-overloaded';
  return isReturning ? 'no-room-again' : 'no-room';
}
