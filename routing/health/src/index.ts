export {HealthTracker} from './healthTracker.js';
export type {
  HealthReason,
  HealthState,
  HealthTrackerOptions,
  HealthStatus,
} from './healthTracker.js';
export type {LoadEstimate, LoadReport} from './loadReportValidator.js';
export type {PassiveOutcome, PassiveOutcomeKind} from './outcomeWindow.js';
export type {ProbeResult} from './probeHistory.js';
