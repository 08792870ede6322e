export {TargetLink} from './targetLink.js';
export type {
  LoadReport,
  ProbeObservation,
  TargetGrant,
  TargetLinkOptions,
  TargetRules,
} from './targetLink.js';
export {watchProcess} from './watchProcess.js';
export type {WatchProcessOptions} from './watchProcess.js';
