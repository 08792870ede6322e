export {TargetLink} from './targetLink.js';
export type {
  LoadReport,
  ProbeObservation,
  TargetGrant,
  TargetLinkOptions,
  TargetSettings,
} from './targetLink.js';
export {waitForProcessExit} from './waitForProcessExit.js';
export type {WaitForProcessExitOptions} from './waitForProcessExit.js';
