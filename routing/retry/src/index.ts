export {RetryBudget} from './retryBudget.js';
export type {RetryBudgetOptions} from './retryBudget.js';
export {decideRetry} from './decideRetry.js';
export type {
  FailedAttempt,
  RetryDecision,
  RetryDestination,
  RetryDenialReason,
} from './decideRetry.js';
