import {adminChangeIdSchema} from '@medlarlane/admin-api';
import {MedlarlaneError} from '@medlarlane/errors';
import {usageError} from './operatorCommand.js';

/** What a user needs to send a change again whose answer was lost. */
export interface ResendFacts {
  readonly changeId: string;
  readonly baseRevision?: number;
  readonly resendCommand: string;
}

/** Checks the value of `--change-id`. */
export function checkChangeId(changeId: string): string {
  if (adminChangeIdSchema.safeParse(changeId).success) return changeId;
  throw usageError('--change-id', '8 to 128 characters', changeId);
}

/** Adds the facts to a `COMMIT_UNKNOWN`; other errors pass. */
export async function explainLostAnswer<T>(answer: Promise<T>, facts: ResendFacts): Promise<T> {
  try {
    return await answer;
  } catch (error) {
    if (!(error instanceof MedlarlaneError) || error.code !== 'COMMIT_UNKNOWN') throw error;
    throw new MedlarlaneError('COMMIT_UNKNOWN', error.message, {
      cause: error,
      details: {...error.details, ...facts},
    });
  }
}
