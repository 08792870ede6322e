export {RetryBudget} from './retryBudget.js';
export type {RetryBudgetOptions} from './retryBudget.js';
export {retryDecision} from './retryDecision.js';
export type {FailedAttempt, RetryDecision, RetryPlace, RetryRefusal} from './retryDecision.js';
