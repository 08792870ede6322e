export {RetryBudget} from './retryBudget.js';
export type {RetryBudgetOptions} from './retryBudget.js';
export {decideRetry} from './retryDecision.js';
export type {
  FailedAttempt,
  RetryDecision,
  RetryDestination,
  RetryDenialReason,
} from './retryDecision.js';
