import {adminChangeIdSchema} from '@medlarlane/admin-api';
import {MedlarlaneError} from '@medlarlane/errors';
import {usageError} from './operatorCommand.js';

/** Details that a user needs to send a change again after its response was lost. */
export interface ResendDetails {
  readonly changeId: string;
  readonly baseRevision?: number;
  readonly resendCommand: string;
}

/** Validates the value of `--change-id`. */
export function validateChangeId(changeId: string): string {
  if (adminChangeIdSchema.safeParse(changeId).success) return changeId;
  throw usageError('--change-id', '8 to 128 characters', changeId);
}

/** Adds the resend details to a `COMMIT_UNKNOWN` error; other errors are rethrown unchanged. */
export async function addResendDetails<T>(
  response: Promise<T>,
  resendDetails: ResendDetails,
): Promise<T> {
  try {
    return await response;
  } catch (error) {
    if (!(error instanceof MedlarlaneError) || error.code !== 'COMMIT_UNKNOWN') throw error;
    throw new MedlarlaneError('COMMIT_UNKNOWN', error.message, {
      cause: error,
      details: {...error.details, ...resendDetails},
    });
  }
}
