export {IdempotencyTable} from './idempotencyTable.js';
export type {
  BeginRequest,
  BeginResult,
  IdempotencyStats,
  IdempotencyTableOptions,
  MovedRange,
  Run,
  ServiceRange,
} from './idempotencyTable.js';
export type {RecordedResponse} from './recordedResponse.js';
