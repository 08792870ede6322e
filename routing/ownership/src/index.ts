export {Lease} from './lease.js';
export {Ownership} from './ownership.js';
export type {
  OwnershipCheck,
  OwnershipGrant,
  OwnershipRefusal,
  RunningRequest,
} from './ownership.js';
export {RangeReleaser} from './rangeReleaser.js';
export type {RangeReleaserOptions, ReleasedRange} from './rangeReleaser.js';
